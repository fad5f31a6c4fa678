"""A demonstration with real processes: Lakeshore on eight nodes, with failures.

Prints its progress and a last line of JSON; exits with 1 if a guarantee was violated.
"""

import asyncio
import json
import signal
import sys
import threading
import time
from pathlib import Path

from balsamdeal.net.servers import make_request_id
from standins.caller import BROKEN, FOREIGN, Caller
from tools.fleet import ROOT, Fleet

NODES = 8
CALLS_PER_S = 60
LOAD_DURATION_S = 18.0
CHARGE_EVERY = 4
ATTEMPTS = 24
RESEND_DELAY_S = 0.2
POLL_INTERVAL_S = 0.05
CONVERGENCE_BOUND_S = 5.0
IDLE_S = 5.0


class RevisionWatch(threading.Thread):
    """Polls all nodes and counts their returns to an older revision.

    A restarted node is counted as new, so its first revision may be older.
    """

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.last_revisions = {}
        self.regressions = 0
        self.running = True

    def run(self):
        """Poll until ``running`` is False."""
        while self.running:
            for vm, status in self.fleet.fetch_statuses().items():
                channels = status["channels"]
                process_key = (vm, self._get_pid(vm))
                previous = self.last_revisions.get(process_key, {})
                current = {name: item["revision"] for name, item in channels.items()}
                self.regressions += any(
                    current[name] < previous.get(name, 0) for name in current
                )
                self.last_revisions[process_key] = current
            time.sleep(POLL_INTERVAL_S)

    def _get_pid(self, vm):
        return next(m.process.pid for m in self.fleet.members if m.vm == vm)


async def call_until_answered(caller, fleet, number, due_s):
    """Send a call until it is answered, up to ATTEMPTS times; return the last result.

    Each time it is sent to the next node. A charge keeps its idempotency key, so it can
    be resent after any outcome.
    """
    charge = number % CHARGE_EVERY == 0
    run_id = make_request_id()
    for attempt in range(ATTEMPTS):
        member = fleet.members[(number + attempt) % NODES]
        result = await caller.call(
            member.caller_address,
            "member-counters",
            "POST" if charge else "GET",
            "/charges" if charge else f"/tickets/{number}",
            run_id=run_id,
            key=run_id if charge else "",
            timeout_s=3.0,
            since_s=due_s,
        )
        if result.outcome == "answered" and result.status == 200:
            return result
        await asyncio.sleep(max(RESEND_DELAY_S, min(1.0, result.retry_after_s)))
    return result


def print_progress(text):
    """Print a line and flush it."""
    print(text, flush=True)


async def run_scenario(fleet):
    """Publish edits, cut off the platform, kill and restart a node; return the
    convergence times of the edits, in seconds.
    """
    loop = asyncio.get_running_loop()

    def publish(tickets_path):
        text = (
            "templates: [counter, pickup]\nshare: 4\nparameters:\n"
            f"  desk: counter-desk\n  tickets_path: {tickets_path}\n"
        )
        published_s = time.time()
        revision = fleet.publish(**{"workspaces/member-counters.yaml": text})
        return revision, published_s

    def converge(tickets_path):
        revision, published_s = publish(tickets_path)
        return fleet.measure_convergence(revision, published_s)

    async def run_blocking(function, *arguments):
        return await loop.run_in_executor(None, function, *arguments)

    times = []
    await asyncio.sleep(3)
    times.append(await run_blocking(converge, "/tickets/"))
    print_progress(
        f"edited a workspace parameter: everywhere in {times[-1] * 1000:.0f} ms"
    )
    await run_blocking(fleet.administrate, "mode/down")
    print_progress("the platform is cut off")
    await asyncio.sleep(2)
    killed_member = fleet.members[3]
    killed_member.process.send_signal(signal.SIGKILL)
    await run_blocking(killed_member.process.wait)
    print_progress(f"killed the node of {killed_member.vm}")
    await asyncio.sleep(2)
    await run_blocking(fleet.start_node, killed_member)
    await run_blocking(fleet.wait_ready)
    status = await run_blocking(fleet.fetch_status, killed_member)
    revision = status["channels"]["config"]["revision"]
    print_progress(
        f"restarted it: revision {revision} received from peers, platform down"
    )
    await run_blocking(fleet.administrate, "mode/")
    await asyncio.sleep(1)
    times.append(await run_blocking(converge, "/tickets"))
    print_progress(
        f"platform back, edited again: everywhere in {times[-1] * 1000:.0f} ms"
    )
    return times


async def run_demo(fleet):
    """Run load and scenario concurrently; return call results and convergence times."""
    caller = Caller()
    load = asyncio.ensure_future(
        caller.load(
            CALLS_PER_S,
            LOAD_DURATION_S,
            lambda number, due_s: call_until_answered(caller, fleet, number, due_s),
        )
    )
    times = await run_scenario(fleet)
    return await load, times


def measure_idle(fleet):
    """Return control bytes per node and second, and source reads per second, without
    calls or edits.
    """

    def sum_control_bytes():
        counters = [fleet.fetch_counters(member) for member in fleet.running()]
        return sum(item.get("control_bytes", 0) for item in counters)

    before, reads = sum_control_bytes(), fleet.administrate("counts")["reads"]
    time.sleep(IDLE_S)
    after, reads_after = sum_control_bytes(), fleet.administrate("counts")["reads"]
    return (after - before) / NODES / IDLE_S, (reads_after - reads) / IDLE_S


def main(argv=None):
    """Run the demonstration and return the exit code."""
    folder = Path(ROOT) / "examples" / "lakeshore"
    with Fleet(folder, NODES) as fleet:
        fleet.start()
        print_progress(f"{NODES} nodes in 4 failure domains are ready")
        watch = RevisionWatch(fleet)
        watch.start()
        results, times = asyncio.run(run_demo(fleet))
        watch.running = False
        watch.join()
        control_bytes, reads = measure_idle(fleet)
        runs = fleet.fetch_runs()
        unknown = sum(result.outcome == "unknown" for result in results)
        broken = sum(result.outcome in (BROKEN, FOREIGN) for result in results)
        print_progress(
            f"{unknown} charges of unknown outcome, {broken} answers broken or wrong"
        )
        report = {
            "nodes": NODES,
            "requests": len(results),
            "failed": sum(r.outcome != "answered" or r.status != 200 for r in results),
            "duplicated": sum(
                runs.get(result.key, 0) > 1 for result in results if result.key
            ),
            "converged_ms": round(max(times) * 1000),
            "control_bytes_per_node_s": round(control_bytes),
            "source_reads_per_s": round(reads, 2),
            "versions_back": watch.regressions,
        }
    guarantees_hold = (
        broken == report["duplicated"] == report["versions_back"] == 0
        and max(times) <= CONVERGENCE_BOUND_S
    )
    print_progress(
        "all guarantees held" if guarantees_hold else "a guarantee was violated"
    )
    print(json.dumps(report))
    return 0 if guarantees_hold else 1


if __name__ == "__main__":
    sys.exit(main())
