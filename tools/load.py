"""Measures requests with real processes: added latency, overload, extra attempts.

The load is open loop: calls start on schedule regardless of earlier answers, so a
stall shows in the tail latency. Latencies are recorded in HDR histograms by class.
"""

import argparse
import asyncio
import json
import sys
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from standins.caller import Caller
from tools.fleet import ROOT, Fleet, read_usage
from tools.measure import DATA_FOLDER, describe_run

LAKESHORE = ROOT / "examples" / "lakeshore"
MAX_LATENCY_US = 60_000_000
DURATION_S = 5.0


def summarize(latencies_s):
    """Return the count, and the median and 99th percentile in milliseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for latency_s in latencies_s:
        histogram.record_value(max(1, int(latency_s * 1e6)))
    return {
        "count": histogram.get_total_count(),
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
    }


def list_answered_latencies(results):
    """Return the latencies in seconds of calls that a target answered."""
    return [r.latency_s for r in results if r.outcome == "answered"]


async def run_lookups(address, rate, path="/tickets/1", workspace="member-counters"):
    """Send lookups to one address at a constant rate; return the results.

    :param rate: calls per second.
    """
    caller = Caller()
    return await caller.load(
        rate,
        DURATION_S,
        lambda number, due_s: caller.call(
            address, workspace, "GET", path, since_s=due_s
        ),
    )


def measure_added(fleet):
    """Return the latency that a node adds, compared to calling the target directly."""
    rows = []
    member = fleet.members[0]
    for rate in (50, 100, 200, 300):
        direct = summarize(
            list_answered_latencies(
                asyncio.run(run_lookups(member.target_address, rate))
            )
        )
        row = {"calls_per_s": rate, "direct": direct}
        for name, path, workspace in (
            ("own_target", "/tickets/1", "member-counters"),
            ("other_vm", "/ready/1", "customers"),
        ):
            before, _ = read_usage(member.process)
            results = asyncio.run(
                run_lookups(member.caller_address, rate, path, workspace)
            )
            after, _ = read_usage(member.process)
            figures = summarize(list_answered_latencies(results))
            figures["added_p50_ms"] = figures["p50_ms"] - direct["p50_ms"]
            figures["added_p99_ms"] = figures["p99_ms"] - direct["p99_ms"]
            figures["processor_ms_per_call"] = (after - before) / len(results) * 1000
            row[name] = figures
        rows.append(row)
        print(json.dumps(row), flush=True)
    return rows


async def run_mixed_load(address, rate, duration_s):
    """Send lookups and nightly tallies alternately at a constant rate.

    :param rate: calls per second, of both kinds together.
    """
    caller = Caller()

    def make_call(number, due_s):
        tally = number % 2 == 1
        return caller.call(
            address,
            "nightly-tally" if tally else "member-counters",
            "GET",
            "/history/1" if tally else "/tickets/1",
            since_s=due_s,
            timeout_s=25.0,
        )

    return await caller.load(rate, duration_s, make_call)


def measure_overload(fleet, capacity):
    """Return goodput and latencies by class at multiples of the capacity.

    :param capacity: calls per second that the target can process.
    """
    rows = []
    for multiple in (0.5, 1, 2, 5):
        started_s = time.monotonic()
        results = asyncio.run(
            run_mixed_load(
                fleet.members[0].caller_address, capacity * multiple, DURATION_S
            )
        )
        elapsed_s = time.monotonic() - started_s
        lookups, tallies = results[0::2], results[1::2]
        row = {
            "multiple": multiple,
            "offered_per_s": capacity * multiple,
            "goodput_per_s": len(list_answered_latencies(results)) / elapsed_s,
            "lookup": summarize(list_answered_latencies(lookups)),
            "tally": summarize(list_answered_latencies(tallies)),
        }
        rows.append(row)
        print(json.dumps(row), flush=True)
        time.sleep(1)
    return rows


def measure_failing_third(fleet):
    """Return the extra attempts per call while a third of the targets fails."""
    for member in fleet.members[:2]:
        fleet.switch_target(member, "mode/fail")
    before = count_extra_attempts(fleet)
    calls = 0
    failed = 0
    for member in fleet.members:
        results = asyncio.run(run_lookups(member.caller_address, 100))
        calls += len(results)
        failed += sum(r.status != 200 for r in results)
    extra = count_extra_attempts(fleet) - before
    row = {"calls": calls, "extra": extra, "share": extra / calls, "failed": failed}
    print(json.dumps(row), flush=True)
    return row


def count_extra_attempts(fleet):
    """Return the sum of retries and hedges over all nodes."""
    counters = [fleet.fetch_counters(member) for member in fleet.members]
    return sum(item.get("retries", 0) + item.get("hedges", 0) for item in counters)


def start_fleet(nodes, services, work_ms):
    """Return a started fleet whose members are assigned the services in turn."""
    fleet = Fleet(LAKESHORE, nodes)
    for number, member in enumerate(fleet.members):
        member.service = services[number % len(services)]
    fleet.start(work_ms=work_ms)
    return fleet


def parse_arguments(argv=None):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", default=str(DATA_FOLDER / "requests.json"))
    return parser.parse_args(argv)


def main(argv=None):
    """Run all measurements and write them as JSON."""
    arguments = parse_arguments(argv)
    content = {"run": describe_run("tools.load")}
    with start_fleet(2, ("counter-desk", "pickup-board"), 1.0) as fleet:
        content["added"] = measure_added(fleet)
    with start_fleet(1, ("counter-desk",), 100.0) as fleet:
        content["overload"] = measure_overload(fleet, 20 / 0.1)
    with start_fleet(6, ("counter-desk",), 5.0) as fleet:
        content["failing_third"] = measure_failing_third(fleet)
    Path(arguments.output).write_text(json.dumps(content, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
