"""Regenerates the tables of the pages on capacity and distribution from measurements.

Figures for the fleet size expected in two years are extrapolated by a linear fit
through the measured points; the fit and its largest residual are shown beside them.
The prose of the pages is written by hand. The tables are placed between the markers
``<!-- table NAME -->`` and ``<!-- end -->``.
"""

import json
import re
import sys

import numpy

from tools.fleet import ROOT
from tools.measure import DATA_FOLDER

PAGE = ROOT / "docs" / "CAPACITY.md"
# Size and load expected in two years.
NODES = 810
DOMAINS = 7
CALLS_PER_S = 240_000
CHANGES_PER_DAY = 490
LIST_CHANGES_PER_DAY = 295
SECONDS_PER_DAY = 86_400
WATCHES_PER_DOMAIN = 4  # two watchers for each of two channels

BUDGET_CORE_PERCENT = 4.1  # of one core, for control work
BUDGET_MEMORY_MB = 128
BUDGET_CONTROL_BYTES_S = 9000
BUDGET_ADDED_LATENCY_MS = 0.31
BUDGET_CONVERGENCE_S = 5.0
# Accepted percentage of calls refused although a target of the service has free slots.
BUDGET_AVOIDABLE_REFUSALS_PERCENT = 0.1


def read_data(name):
    """Return the decoded content of a JSON file in the data folder."""
    return json.loads((DATA_FOLDER / name).read_text())


def fit(xs, ys):
    """Return intercept, slope and largest absolute residual of a linear fit."""
    slope, intercept = numpy.polyfit(xs, ys, 1)
    residual = max(abs(y - intercept - slope * x) for x, y in zip(xs, ys))
    return float(intercept), float(slope), float(residual)


def make_table(header, rows):
    """Return a Markdown table."""
    lines = ["| " + " | ".join(header) + " |", "| " + " | ".join("---" for _ in header)]
    lines[1] += " |"
    lines += ["| " + " | ".join(map(str, row)) + " |" for row in rows]
    return "\n".join(lines)


def format_verdict(value, budget, unit):
    """Return whether a figure is within its budget, as text for a table cell."""
    if value <= budget:
        return "holds"
    return f"short by {value - budget:.3g} {unit}"


def describe_source(name, content):
    """Return the command, date, revision and machine that produced a data file."""
    run = content["run"]
    return (
        f"`data/{name}`: `{run['command']}`, {run['date']}, revision "
        f"{run['revision']}, {run['machine']}, Python {run['python']}"
    )


def select(results, variant):
    """Return the rows of one distribution variant, sorted by number of nodes."""
    rows = [row for row in results if row["variant"] == variant]
    return sorted(rows, key=lambda row: row["nodes"])


def table_variants(distribution, costs, requests, policy):
    """Return the table of measured figures of each distribution variant."""
    rows = []
    for variant in ("direct", "tree", "gossip"):
        for row in select(distribution["results"], variant):
            rest, changes, herd = row["rest"], row["changes"], row["herd"]
            rows.append(
                (
                    variant,
                    row["nodes"],
                    f"{changes['median_s'] * 1000:.0f}",
                    f"{changes['p99_s'] * 1000:.0f}",
                    f"{rest['control_bytes_per_node_s']:.0f}",
                    f"{rest['source_reads_per_s']:.1f}",
                    f"{rest['core_share_per_node'] * 100:.2f}",
                    f"{row['memory_bytes'] / 1e6:.0f}",
                    f"{changes['bytes_per_change_and_node']:.0f}",
                    herd["busiest_second_reads"],
                    f"{herd['ready_s']:.1f}",
                )
            )
    header = (
        "variant",
        "nodes",
        "median ms",
        "worst ms",
        "rest B/s a node",
        "source reads/s",
        "core %",
        "MB",
        "B a change and node",
        "herd reads in a second",
        "herd ready s",
    )
    return make_table(header, rows)


def compute_watches_per_node(rows):
    """Return the average number of source watches per node for each row."""
    return [row["domains"] * WATCHES_PER_DOMAIN / row["nodes"] for row in rows]


def table_roles(distribution, costs, requests, policy):
    """Return the table of control costs per role at the size expected in two years."""
    rows = select(distribution["results"], "tree")
    watches_per_node = compute_watches_per_node(rows)
    base, per_watch, residual = fit(
        watches_per_node, [row["rest"]["control_bytes_per_node_s"] for row in rows]
    )
    core, core_watch, core_residual = fit(
        watches_per_node, [row["rest"]["core_share_per_node"] * 100 for row in rows]
    )
    nodes = [row["nodes"] for row in rows]
    memory, memory_slope, memory_residual = fit(
        nodes, [row["memory_bytes"] / 1e6 for row in rows]
    )
    size_mb = memory + memory_slope * NODES
    largest = costs["lists"][-1]
    delta_bytes, document_bytes = largest["delta_bytes"], largest["document_bytes"]
    delta_bytes_s = LIST_CHANGES_PER_DAY * delta_bytes / SECONDS_PER_DAY
    document_bytes_s = LIST_CHANGES_PER_DAY * document_bytes / SECONDS_PER_DAY
    bytes_per_config_change = rows[-1]["changes"]["bytes_per_change_and_node"]
    config_bytes_s = CHANGES_PER_DAY * bytes_per_config_change / SECONDS_PER_DAY
    table = []
    for role, watches, list_bytes in (
        ("ordinary node", 0, delta_bytes_s),
        ("relay (8 children)", 0, delta_bytes_s * 9),
        ("watcher of one channel", 1, document_bytes_s + delta_bytes_s * 9),
        ("watcher of both", 2, document_bytes_s + delta_bytes_s * 9),
    ):
        total = base + watches * per_watch + list_bytes + config_bytes_s
        core_total = core + watches * core_watch
        table.append(
            (
                role,
                f"{total:.0f}",
                format_verdict(total, BUDGET_CONTROL_BYTES_S, "B/s"),
                f"{core_total:.2f}",
                format_verdict(core_total, BUDGET_CORE_PERCENT, "%"),
                f"{size_mb:.0f}",
                format_verdict(size_mb, BUDGET_MEMORY_MB, "MB"),
            )
        )
    notes = (
        f"Bytes at rest: {base:.0f} + {per_watch:.0f} a watch, largest residual "
        f"{residual:.0f} B/s. Core: {core:.2f} % + {core_watch:.2f} % a watch, "
        f"residual {core_residual:.2f} %. Memory: {memory:.1f} MB + "
        f"{memory_slope:.3f} MB a node, residual {memory_residual:.1f} MB. "
        f"VM list at {NODES}: {delta_bytes} B a change of one domain, "
        f"{document_bytes} B whole. "
        f"Measured at {nodes[0]} to {nodes[-1]} nodes; {NODES} is extrapolated."
    )
    header = (
        "role",
        "control B/s",
        "against 9 KB/s",
        "core %",
        "against 4.1 %",
        "MB",
        "against 128 MB",
    )
    return make_table(header, table) + "\n\n" + notes


def table_convergence(distribution, costs, requests, policy):
    """Return the table of convergence time and source load expected in two years."""
    rows = select(distribution["results"], "tree")
    nodes = [row["nodes"] for row in rows]
    base, slope, residual = fit(nodes, [row["changes"]["p99_s"] for row in rows])
    convergence_s = base + slope * NODES
    reads = DOMAINS * WATCHES_PER_DOMAIN / 2.0
    busiest = max(row["herd"]["busiest_second_reads"] for row in rows)
    table = [
        (
            "change in force everywhere",
            f"{convergence_s:.2f} s",
            f"{base * 1000:.0f} ms + {slope * 1000:.2f} ms a node, residual "
            f"{residual * 1000:.0f} ms",
            format_verdict(convergence_s, BUDGET_CONVERGENCE_S, "s"),
        ),
        (
            "source reads at rest",
            f"{reads:.0f} a second",
            f"{rows[-1]['rest']['source_reads_per_s']:.1f} at {nodes[-1]} nodes in 4 "
            "domains, whatever the nodes",
            format_verdict(reads, 200, "a second"),
        ),
        (
            "source reads, all nodes start at once",
            "160 a second on average",
            f"at most {busiest} in a second at up to {nodes[-1]} nodes",
            "holds up to the size measured",
        ),
    ]
    header = ("figure", f"at {NODES} nodes", "measured", "verdict")
    return make_table(header, table)


def table_content(distribution, costs, requests, policy):
    """Return the table of costs by size of configuration and of VM list."""
    rows = []
    for row in costs["configs"]:
        rows.append(
            (
                f"{row['routes']} routes of {row['workspaces']} workspaces",
                f"{row['document_bytes']}",
                f"{row['delta_bytes']}",
                f"{row['change_ms']:.1f}",
                f"{row['render_ms']:.0f}",
                f"{row['memory_bytes'] / 1e6:.2f}",
            )
        )
    for row in costs["lists"]:
        rows.append(
            (
                f"{row['vms']} VMs",
                f"{row['document_bytes']}",
                f"{row['delta_bytes']}",
                f"{row['apply_ms']:.1f}",
                f"{row['apply_ms']:.1f}",
                f"{row['memory_bytes'] / 1e6:.2f}",
            )
        )
    header = ("content", "bytes", "delta bytes", "change ms", "whole ms", "MB")
    return make_table(header, rows)


def table_requests(distribution, costs, requests, policy):
    """Return the table of latency and processor time that a node adds to a call."""
    rows = []
    for row in requests["added"]:
        for name, label in (("own_target", "own target"), ("other_vm", "other VM")):
            item = row[name]
            rows.append(
                (
                    row["calls_per_s"],
                    label,
                    f"{item['added_p50_ms']:.2f}",
                    f"{item['added_p99_ms']:.2f}",
                    format_verdict(item["added_p99_ms"], BUDGET_ADDED_LATENCY_MS, "ms"),
                    f"{item['processor_ms_per_call']:.2f}",
                )
            )
    header = (
        "calls/s a node",
        "target",
        "added median ms",
        "added p99 ms",
        "against 0.31 ms",
        "processor ms a call",
    )
    last = requests["added"][-1]
    per_call = last["other_vm"]["processor_ms_per_call"]
    calls = CALLS_PER_S / NODES
    note = (
        f"At {CALLS_PER_S} calls a second over {NODES} nodes each is the ingress of "
        f"{calls:.0f} a second: {calls * per_call / 1000:.2f} of a core as ingress "
        "alone, and the target's nodes take a like part."
    )
    return make_table(header, rows) + "\n\n" + note


def table_overload(distribution, costs, requests, policy):
    """Return the table of goodput and latencies under overload."""
    rows = [
        (
            row["multiple"],
            f"{row['offered_per_s']:.0f}",
            f"{row['goodput_per_s']:.0f}",
            f"{row['lookup']['p50_ms']:.0f}",
            f"{row['lookup']['p99_ms']:.0f}",
            f"{row['lookup']['count']}",
            f"{row['tally']['p99_ms']:.0f}",
            f"{row['tally']['count']}",
        )
        for row in requests["overload"]
    ]
    third = requests["failing_third"]
    note = (
        f"A failing third of the targets: {third['extra']} extra attempts on "
        f"{third['calls']} calls, {third['share'] * 100:.1f} %; {third['failed']} "
        "calls got no good answer."
    )
    header = (
        "times capacity",
        "offered/s",
        "answered/s",
        "lookup p50 ms",
        "lookup p99 ms",
        "lookups answered",
        "tally p99 ms",
        "tally answered",
    )
    return make_table(header, rows) + "\n\n" + note


def table_sources(distribution, costs, requests, policy):
    """Return a list that names the origin of each data file."""
    files = (
        ("distribution.json", distribution),
        ("costs.json", costs),
        ("requests.json", requests),
        ("policy.json", policy),
    )
    return "\n".join(f"- {describe_source(name, item)}" for name, item in files)


def table_policy(distribution, costs, requests, policy):
    """Return the table of figures of simulated fleets, by size."""
    rows = [
        (
            row["nodes"],
            row["domains"],
            row["services"],
            f"{row['busiest_to_mean']:.2f}",
            f"{row['refused_calm'] * 100:.2f}",
            f"{row['refused_slow'] * 100:.2f}",
            f"{row['refused_beside_room'] * 100:.2f}",
            format_verdict(
                row["refused_beside_room"] * 100, BUDGET_AVOIDABLE_REFUSALS_PERCENT, "%"
            ),
            f"{row['attempts_calm']:.2f}",
            f"{row['attempts_over']:.2f}",
            f"{row['in_time_over']:.2f}",
            f"{row['settled_step_s']:.2f}",
            f"{row['settled_slow_s']:.2f}",
            f"{row['report_bytes_node_s']:.0f}",
            f"{row['crossings']:.2f}",
        )
        for row in policy["results"]
    ]
    header = (
        "nodes",
        "domains",
        "services",
        "busiest target to mean",
        "refused calm %",
        "refused, a tenth slow %",
        "beside room %",
        "against 0.1 %",
        "asks a call",
        "asks a call, overload",
        "in time, overload",
        "settled after a step s",
        "after slow targets s",
        "reports B/s a node",
        "crossings",
    )
    return make_table(header, rows)


TABLES = {
    "variants": table_variants,
    "roles": table_roles,
    "spread": table_convergence,
    "content": table_content,
    "requests": table_requests,
    "overload": table_overload,
    "policy": table_policy,
    "sources": table_sources,
}


def rebuild(text, data):
    """Return a page with its tables regenerated.

    :param text: the page in Markdown.
    :param data: contents of the data files, in the parameter order of the table
        functions.
    """

    def replace(match):
        name = match.group(1)
        return f"<!-- table {name} -->\n\n{TABLES[name](*data)}\n\n<!-- end -->"

    return re.sub(r"<!-- table (\w+) -->.*?<!-- end -->", replace, text, flags=re.S)


def main(argv=None):
    """Regenerate the tables of the capacity page and of the page on distribution."""
    names = ("distribution.json", "costs.json", "requests.json", "policy.json")
    data = [read_data(name) for name in names]
    for page in (PAGE, ROOT / "docs" / "design" / "distribution.md"):
        page.write_text(rebuild(page.read_text(), data))
        print(f"rebuilt {page.relative_to(ROOT)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
