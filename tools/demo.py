"""A demonstration with real processes: Lakeshore on eight nodes, with failures.

Prints an account and one last line of JSON; exits with 1 if a promise broke.
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
LOAD_S = 18.0
CHARGE_EVERY = 4
ATTEMPTS = 24
RESEND_S = 0.2
WATCH_S = 0.05
CONVERGENCE_BOUND_S = 5.0
REST_S = 5.0


class RevisionWatch(threading.Thread):
    """Polls all nodes and counts moves back to an older revision."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.newest = {}
        self.moves_back = 0
        self.running = True

    def run(self):
        """Poll until ``running`` is False."""
        while self.running:
            for vm, status in self.fleet.fetch_statuses().items():
                channels = status["channels"]
                life = (vm, self._get_pid(vm))
                seen = self.newest.get(life, {})
                now = {name: item["revision"] for name, item in channels.items()}
                self.moves_back += any(now[name] < seen.get(name, 0) for name in now)
                self.newest[life] = now
            time.sleep(WATCH_S)

    def _get_pid(self, vm):
        return next(m.process.pid for m in self.fleet.members if m.vm == vm)


async def call_until_answered(caller, fleet, number, due_s):
    """Make one call as a patient caller would, and return its last result.

    A charge is resent under its key, so it may be sent again after any end.
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
        await asyncio.sleep(max(RESEND_S, min(1.0, result.retry_after_s)))
    return result


def account(text):
    """Print a line of the account at once."""
    print(text, flush=True)


async def run_story(fleet):
    """Edit, cut, kill and restart while calls run; return times of convergence."""
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

    async def do(function, *arguments):
        return await loop.run_in_executor(None, function, *arguments)

    times = []
    await asyncio.sleep(3)
    times.append(await do(converge, "/tickets/"))
    account(f"edited a workspace parameter: everywhere in {times[-1] * 1000:.0f} ms")
    await do(fleet.administrate, "mode/down")
    account("the platform is cut off")
    await asyncio.sleep(2)
    victim = fleet.members[3]
    victim.process.send_signal(signal.SIGKILL)
    await do(victim.process.wait)
    account(f"killed the node of {victim.vm}")
    await asyncio.sleep(2)
    await do(fleet.start_node, victim)
    await do(fleet.wait_ready)
    status = await do(fleet.fetch_status, victim)
    revision = status["channels"]["config"]["revision"]
    account(f"restarted it: runs revision {revision} from its peers, platform down")
    await do(fleet.administrate, "mode/")
    await asyncio.sleep(1)
    times.append(await do(converge, "/tickets"))
    account(f"platform back, edited again: everywhere in {times[-1] * 1000:.0f} ms")
    return times


async def run_demo(fleet):
    """Run calls and story together; return results and convergence times."""
    caller = Caller()
    load = asyncio.ensure_future(
        caller.load(
            CALLS_PER_S,
            LOAD_S,
            lambda number, due_s: call_until_answered(caller, fleet, number, due_s),
        )
    )
    times = await run_story(fleet)
    return await load, times


def measure_rest(fleet):
    """Return control bytes per node and source reads, per second, at rest."""

    def total():
        counters = [fleet.fetch_counters(member) for member in fleet.running()]
        return sum(item.get("control_bytes", 0) for item in counters)

    before, reads = total(), fleet.administrate("counts")["reads"]
    time.sleep(REST_S)
    after, reads_after = total(), fleet.administrate("counts")["reads"]
    return (after - before) / NODES / REST_S, (reads_after - reads) / REST_S


def main(argv=None):
    """Run the demonstration and return the exit code."""
    folder = Path(ROOT) / "examples" / "lakeshore"
    with Fleet(folder, NODES) as fleet:
        fleet.start()
        account(f"{NODES} nodes in 4 failure domains are ready")
        watch = RevisionWatch(fleet)
        watch.start()
        results, times = asyncio.run(run_demo(fleet))
        watch.running = False
        watch.join()
        control_bytes, reads = measure_rest(fleet)
        runs = fleet.fetch_runs()
        unknown = sum(result.outcome == "unknown" for result in results)
        broken = sum(result.outcome in (BROKEN, FOREIGN) for result in results)
        account(f"{unknown} charges ended as unknown, {broken} answers were not whole")
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
            "versions_back": watch.moves_back,
        }
    kept = (
        broken == report["duplicated"] == report["versions_back"] == 0
        and max(times) <= CONVERGENCE_BOUND_S
    )
    account("every promise held" if kept else "a promise broke")
    print(json.dumps(report))
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
