"""A burst of uploads, each far smaller than the configuration allows.

Requesters of one machine upload scans with their bookings, three a second, one after
the other. In the burst there are five a second, which come together. The platform kills
a process whose memory exceeds ``memory-mb``. Lookups on kept connections of the same
machine, which run at other machines, must be answered all the while.
"""

import asyncio
import os
import random
import sys
from collections import Counter
from pathlib import Path

from review.stand.deployment import run_case
from review.stand.requester import open_link, send, send_on_kept

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
BOOKING, SCHEDULE = "rezervace", "rozvrh"
PLAN = [
    ("hala-neredin", SCHEDULE),
    ("hala-neredin", BOOKING),
    ("hala-hodolany", BOOKING),
    ("hala-prostejov", BOOKING),
]
MEMORY_MB = 150  # memory-mb of msol-skok
UPLOAD_BYTES = 8_000_000  # max-body-bytes is 67,108,864
USUAL_PER_S, BURST_PER_S = 3, 5
USUAL_S, BURST_S, AFTER_S = 6, 3, 6
KEPT = 12
DEADLINE_S = 3.0


def get_work_s(path):
    """Return how long a server works on a request."""
    return 0.16 if path.startswith("/bookings/") else 0.12


def make_routes():
    """Return the route of bookings and that of lookups."""
    common = {"host": HOST, "service": BOOKING, "max-attempts": 2}
    return [
        {
            "name": "booking-confirm",
            "path-prefix": "/bookings/",
            "kind": "unsafe",
            "timeout-s": 3,
            "target-latency-s": 0.5,
            "priority": 1,
            **common,
        },
        {
            "name": "slot-lookup",
            "path-prefix": "/slots/",
            "kind": "safe",
            "timeout-s": 2.5,
            "target-latency-s": 0.4,
            "priority": 2,
            **common,
        },
    ]


def make_body(path):
    """Return the body of the answer to a path."""
    return f"slot {path} ".encode() * 100


def read_memory_mb(process):
    """Return the resident memory of a process in MB, and the part of it without files.

    The first is None once the process has ended.
    """
    try:
        text = Path(f"/proc/{process.pid}/status").read_text()
    except FileNotFoundError:
        return None, None
    fields = dict(line.split(":", 1) for line in text.splitlines())
    if "VmRSS" not in fields:
        return None, None
    return tuple(int(fields[name].split()[0]) / 1024 for name in ("VmRSS", "RssAnon"))


async def limit_memory(deployment, kills, peaks):
    """Kill nodes over ``memory-mb``, as the platform does, and start them again."""
    while True:
        for machine in deployment.machines:
            total_mb, own_mb = read_memory_mb(machine.process)
            if total_mb is None:
                continue
            peaks[machine.name] = max(total_mb, peaks.get(machine.name, 0))
            # Pages of files that the process has mapped are not counted here.
            if own_mb > MEMORY_MB:
                machine.process.kill()
                machine.process.wait()
                kills.append(machine.name)
                deployment.record(
                    f"{machine.name} is killed: {own_mb:.0f} MB of its own,",
                    f"{total_mb:.0f} MB in all, over {MEMORY_MB} MB",
                )
                await asyncio.sleep(0.3)
                deployment.start_node(machine)
        await asyncio.sleep(0.005)


async def look_up(deployment, machine, results):
    """Send lookups on one kept connection after the other."""
    address = (machine.ip, deployment.ports["outbound"])
    connection = None
    while True:
        if connection is None:
            try:
                connection = await open_link(address)
            except OSError:
                await asyncio.sleep(0.1)
                continue
        request_id = f"{random.randrange(16**16):016x}"
        path = f"/slots/{request_id}"
        result = await send_on_kept(
            connection, "GET", HOST, path, request_id, DEADLINE_S
        )
        results.append(result)
        if not result.whole:
            connection[1].transport.abort()
            connection = None
        await asyncio.sleep(random.random() * 0.1)


async def upload(deployment, machine, results, after_s):
    """Upload one scan with a booking."""
    await asyncio.sleep(after_s)
    address = (machine.ip, deployment.ports["outbound"])
    request_id = f"{random.randrange(16**16):016x}"
    path = f"/bookings/{request_id}"
    body = bytes(UPLOAD_BYTES)
    results.append(
        await send(address, "POST", HOST, path, request_id, DEADLINE_S, body)
    )


async def play(deployment):
    """Play the case; return whether the rule was broken."""
    deployment.put_configuration(7, make_routes(), [BOOKING, SCHEDULE])
    await deployment.start()
    kills, peaks, uploads, lookups = [], {}, [], []
    machine = deployment.machines[0]
    tasks = [asyncio.ensure_future(limit_memory(deployment, kills, peaks))]
    for _ in range(KEPT):
        tasks.append(asyncio.ensure_future(look_up(deployment, machine, lookups)))
    pending = []
    for second in range(USUAL_S + BURST_S + AFTER_S):
        in_burst = TROUBLE and USUAL_S <= second < USUAL_S + BURST_S
        count = BURST_PER_S if in_burst else USUAL_PER_S
        if in_burst:
            deployment.record(f"burst: {count} uploads in this second")
        for number in range(count):
            after_s = 0.0 if in_burst else number / count
            job = upload(deployment, machine, uploads, after_s)
            pending.append(asyncio.ensure_future(job))
        await asyncio.sleep(1.0)
    await asyncio.gather(*pending)
    for task in tasks:
        task.cancel()
    for name, results in (("uploads", uploads), ("lookups", lookups)):
        ends = Counter(str(item.status or item.error) for item in results)
        deployment.record(f"{name}, by status or error:", dict(ends))
    deployment.record("highest resident memory in MB:", peaks)
    arrived = {
        request_id: item.ip
        for item in deployment.machines
        for _, request_id, _, _ in item.server.arrivals
    }
    cut = 0
    for result in lookups:
        if not result.whole and result.request_id in arrived:
            cut += 1
            deployment.record(
                f"lookup {result.request_id} on a kept connection was passed on to the",
                f"server at {arrived[result.request_id]} and closed without an answer",
                f"{result.ended_s - result.sent_s:.2f} s after it was sent",
            )
    deployment.record(f"{cut} such lookups; more than three break the rule")
    return cut > 3


if __name__ == "__main__":
    sys.exit(
        run_case(play, Path(__file__).parent, PLAN, get_work_s, make_body, MEMORY_MB)
    )
