"""Measures distribution with real processes on loopback; writes JSON and plots.

For each variant and number of nodes: convergence time of single changes, control
bytes and source reads when idle and per change, processor time and memory of a node,
and a simultaneous restart of all nodes.
"""

import argparse
import json
import platform
import subprocess
import sys
import time
from datetime import datetime, timezone
from pathlib import Path

from tools.fleet import ROOT, Fleet, read_usage

DATA_FOLDER = ROOT / "data"
IDLE_S = 10.0
CHANGE_GAP_S = 0.3
READY_TIMEOUT_S = 60.0


def quantile(values, share):
    """Return the quantile at a share between 0 and 1, without interpolation."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def read_totals(fleet):
    """Return control bytes and processor seconds, summed over all nodes."""
    control = sum(
        fleet.fetch_counters(member).get("control_bytes", 0)
        for member in fleet.running()
    )
    processor = sum(read_usage(member.process)[0] for member in fleet.running())
    return control, processor


def measure_idle(fleet):
    """Return rates without changes: bytes and core share per node, source reads."""
    before, processor = read_totals(fleet)
    reads = fleet.administrate("counts")["reads"]
    started_s = time.monotonic()
    time.sleep(IDLE_S)
    reads_after = fleet.administrate("counts")["reads"]
    elapsed_s = time.monotonic() - started_s
    after, processor_after = read_totals(fleet)
    nodes = len(fleet.running())
    return {
        "control_bytes_per_node_s": (after - before) / nodes / elapsed_s,
        "core_share_per_node": (processor_after - processor) / nodes / elapsed_s,
        "source_reads_per_s": (reads_after - reads) / elapsed_s,
    }


def measure_changes(fleet, changes, rest):
    """Return convergence times and bytes of single changes of one parameter.

    :param rest: the result of ``measure_idle``; its bytes are subtracted.
    """
    times = []
    before, _ = read_totals(fleet)
    started_s = time.monotonic()
    for number in range(changes):
        text = fleet.parts["workspaces/customers.yaml"].replace(
            "share: 2", f"share: {3 + number}"
        )
        published_s = time.time()
        revision = fleet.publish(**{"workspaces/customers.yaml": text})
        times.append(fleet.measure_convergence(revision, published_s))
        fleet.parts["workspaces/customers.yaml"] = text.replace(
            f"share: {3 + number}", "share: 2"
        )
        time.sleep(CHANGE_GAP_S)
    elapsed_s = time.monotonic() - started_s
    after, _ = read_totals(fleet)
    idle_bytes = rest["control_bytes_per_node_s"] * elapsed_s
    return {
        "converged_s": times,
        "median_s": quantile(times, 0.5),
        "p99_s": quantile(times, 0.99),
        "bytes_per_change_and_node": (
            ((after - before) / len(fleet.running()) - idle_bytes) / changes
        ),
    }


def measure_restart_of_all(fleet):
    """Kill all nodes and restart them at once; return the time until they are ready
    and the peak rate of source reads.
    """
    for member in fleet.running():
        member.process.kill()
    for member in fleet.members:
        member.process.wait()
    time.sleep(1.5)
    first = fleet.administrate("counts")["now"]
    started_s = time.monotonic()
    for member in fleet.members:
        fleet.start_node(member)
    spawned_s = time.monotonic() - started_s
    fleet.wait_ready(READY_TIMEOUT_S)
    ready_s = time.monotonic() - started_s
    by_second = fleet.administrate("counts")["by_second"]
    herd = [count for second, count in by_second.items() if int(second) >= first]
    return {
        "spawned_s": spawned_s,
        "ready_s": ready_s,
        "busiest_second_reads": max(herd, default=0),
    }


def measure_fleet(folder, variant, nodes, changes):
    """Return all figures for one variant and number of nodes."""
    with Fleet(folder, nodes, variant) as fleet:
        fleet.start(targets=False)
        time.sleep(4)
        rest = measure_idle(fleet)
        result = {
            "variant": variant,
            "nodes": nodes,
            "domains": len({member.failure_domain for member in fleet.members}),
            "rest": rest,
            "changes": measure_changes(fleet, changes, rest),
            "memory_bytes": max(read_usage(m.process)[1] for m in fleet.running()),
        }
        result["herd"] = measure_restart_of_all(fleet)
    return result


def describe_run(module="tools.measure"):
    """Return command, machine, date and revision, as stored with a module's results."""
    revision = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    ).stdout.strip()
    return {
        "machine": f"{platform.machine()}, {platform.system()}, 8 cores, one host",
        "python": platform.python_version(),
        "date": datetime.now(timezone.utc).date().isoformat(),
        "revision": revision,
        "command": " ".join([f"python -m {module}", *sys.argv[1:]]),
    }


def plot(results, path):
    """Plot convergence time and idle bytes against nodes, one line per variant."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    for variant in sorted({item["variant"] for item in results}):
        rows = [item for item in results if item["variant"] == variant]
        nodes = [item["nodes"] for item in rows]
        left.plot(
            nodes,
            [item["changes"]["p99_s"] * 1000 for item in rows],
            marker="o",
            label=variant,
        )
        right.plot(
            nodes,
            [item["rest"]["control_bytes_per_node_s"] for item in rows],
            marker="o",
            label=variant,
        )
    left.set(xlabel="nodes", ylabel="ms", title="Change in force everywhere, slowest")
    right.set(xlabel="nodes", ylabel="bytes/s", title="Control bytes per node at rest")
    for axes in (left, right):
        axes.set_ylim(bottom=0)
        axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def print_row(item):
    """Print the figures of one fleet in one line."""
    rest, changes, herd = item["rest"], item["changes"], item["herd"]
    print(
        f"{item['variant']:7} {item['nodes']:4} nodes: "
        f"median {changes['median_s'] * 1000:.0f} ms, "
        f"p99 {changes['p99_s'] * 1000:.0f} ms, "
        f"rest {rest['control_bytes_per_node_s']:.0f} B/s, "
        f"{rest['source_reads_per_s']:.1f} reads/s, "
        f"core {rest['core_share_per_node'] * 100:.2f} %, "
        f"change {changes['bytes_per_change_and_node']:.0f} B, "
        f"memory {item['memory_bytes'] / 1e6:.0f} MB, "
        f"herd {herd['busiest_second_reads']} reads/s, "
        f"ready {herd['ready_s']:.1f} s (spawned {herd['spawned_s']:.1f} s)",
        flush=True,
    )


def parse_arguments(argv=None):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", default=str(ROOT / "examples" / "lakeshore"))
    parser.add_argument("--nodes", default="8,16,32,64")
    parser.add_argument("--variants", default="direct,tree,gossip")
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--output", default=str(DATA_FOLDER / "distribution.json"))
    return parser.parse_args(argv)


def main(argv=None):
    """Measure all combinations; rewrite the output file after each."""
    arguments = parse_arguments(argv)
    output = Path(arguments.output)
    output.parent.mkdir(exist_ok=True)
    results = []
    for nodes in map(int, arguments.nodes.split(",")):
        for variant in arguments.variants.split(","):
            item = measure_fleet(arguments.folder, variant, nodes, arguments.changes)
            results.append(item)
            print_row(item)
            content = {"run": describe_run(), "results": results}
            output.write_text(json.dumps(content, indent=1) + "\n")
    plot(results, output.with_suffix(".png"))
    return 0


if __name__ == "__main__":
    sys.exit(main())
