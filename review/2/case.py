"""A drill of the store, and servers that leave once it is over.

Two servers are added. Some seconds later the store is away for a moment and comes back
from a copy that is older than they are; they write their entries again. Well after that
they are taken away: one reports that it is draining, the entry of the other is removed.
Both go on serving for a while. No request may reach them later than ``drain-s``.
"""

import asyncio
import os
import random
import signal
import sys
from collections import Counter
from pathlib import Path

from review.stand.deployment import run_case
from review.stand.requester import send

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
SERVICE = "counter-desk"
PLAN = [(zone, SERVICE) for zone in ("duluth-hall", "toledo-hall") for _ in range(4)]
# The last machine of each zone is added.
ADDED = (3, 7)
WORK_S = 0.2
REQUESTS_PER_S = 10.0  # at each machine
# From the start of the added servers to the drill, and how old the copy is.
ADDED_BEFORE_S, COPY_AGE_S = 6.0, 8.0
AWAY_S = 1.0
# The store has to be without disturbance for stable-window-s, 3 s, before the servers
# leave.
CALM_S = 3.5
DRAIN_S = 2.0
# How long a leaving server goes on serving: drain-s and a little longer.
SERVES_ON_S = 5.0


def make_routes():
    """Return a route of each kind."""
    common = {"host": HOST, "priority": 1, "service": SERVICE, "max-attempts": 2}
    return [
        {
            "name": "ticket-status",
            "path-prefix": "/tickets/",
            "kind": "safe",
            "timeout-s": 1.5,
            "target-latency-s": 0.5,
            **common,
        },
        {
            "name": "repair-charge",
            "path-prefix": "/charges/",
            "kind": "unsafe",
            "timeout-s": 2,
            "target-latency-s": 0.6,
            **common,
        },
    ]


async def request_often(deployment, machine, results):
    """Send requests from a machine, one at a time and in between, until cancelled."""
    number = 0
    tasks = set()
    address = (machine.ip, deployment.ports["outbound"])
    while True:
        number += 1
        unsafe = number % 3 == 0
        path = f"/charges/{number}" if unsafe else f"/tickets/{number}"
        request_id = f"{random.randrange(16**16):016x}"

        async def run(path=path, request_id=request_id, unsafe=unsafe):
            method = "POST" if unsafe else "GET"
            results.append(await send(address, method, HOST, path, request_id, 3.0))

        task = asyncio.ensure_future(run())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))


def begin_load(deployment, machines, results, load):
    """Begin to send requests from some machines; add the tasks to ``load``."""
    for machine in machines:
        task = asyncio.ensure_future(request_often(deployment, machine, results))
        load.append(task)


async def leave(deployment, machine, drains):
    """Let a server leave; return when that was acknowledged, and when it exits."""
    now = asyncio.get_running_loop().time
    if drains:
        machine.state = "draining"
        revision = deployment.put_entry(machine)
        what = "reports draining"
    else:
        machine.listed = False
        revision = deployment.store.delete(f"servers/{machine.server.instance}")
        what = "has its entry removed"
    acknowledged_s = now()
    machine.server.leaving = True
    deployment.record(machine.server.instance, what, f"at revision {revision}")
    await asyncio.sleep(SERVES_ON_S)
    exited_s = now()
    machine.server.exit()
    machine.process.send_signal(signal.SIGTERM)
    if machine.listed:
        machine.listed = False
        deployment.store.delete(f"servers/{machine.server.instance}")
    deployment.record(machine.server.instance, "exits")
    return acknowledged_s, exited_s


async def drill(deployment):
    """Take the store away for a moment and bring it back from a copy."""
    store = deployment.store
    before = store.revision
    deployment.store_is_up = False
    store.go_away()
    deployment.record(f"the store goes away at revision {before}")
    for index in ADDED:
        key = f"servers/{deployment.machines[index].server.instance}"
        deployment.record(f"entry of {key} has revision {store.items[key]['revision']}")
    await asyncio.sleep(AWAY_S)
    age_s = store.restore(COPY_AGE_S)
    await store.listen()
    deployment.store_is_up = True
    deployment.record(
        f"the store is back from a copy {age_s:.1f} s old: revision {store.revision},",
        f"Store-Era {store.era}",
    )


async def play(deployment):
    """Play the case; return whether the rule was broken."""
    deployment.put_configuration(7, make_routes(), [SERVICE])
    machines = deployment.machines
    added = [machines[index] for index in ADDED]
    old = [item for item in machines if item not in added]
    await deployment.start(old)
    results, load = [], []
    begin_load(deployment, old, results, load)
    await asyncio.sleep(COPY_AGE_S)
    await deployment.start_machines(added)
    begin_load(deployment, added, results, load)
    await asyncio.sleep(ADDED_BEFORE_S)
    if TROUBLE:
        await drill(deployment)
    await asyncio.sleep(CALM_S)
    drained, removed = added
    for machine in added:
        item = deployment.store.items[f"servers/{machine.server.instance}"]
        deployment.record(f"entry of {item['key']} has revision {item['revision']}")
    times = await asyncio.gather(
        leave(deployment, drained, True), leave(deployment, removed, False)
    )
    await asyncio.sleep(1.0)
    for task in load:
        task.cancel()
    await asyncio.sleep(2.0)
    statuses = {item.request_id: item.status for item in results}
    deployment.record_requests(results)
    counts = sorted(Counter(map(str, statuses.values())).items())
    deployment.record("answers by status:", dict(counts))
    broken = False
    for machine, (acknowledged_s, _) in zip((drained, removed), times):
        late = 0
        for at_s, request_id, method, path in machine.server.arrivals:
            after_s = at_s - acknowledged_s
            if after_s <= DRAIN_S:
                continue
            late += 1
            deployment.record(
                f"late: {method} {path} {request_id} reaches",
                f"{machine.server.instance} {after_s:.2f} s after its leaving;",
                f"run {machine.server.ended.get(request_id, 'unfinished')},",
                f"answered {statuses.get(request_id)}",
            )
        deployment.record(machine.server.instance, "gets", late, "requests too late")
        broken |= late > 0
    return broken


def make_body(path):
    """Return the body of the answer to a path."""
    return f"ticket {path} ".encode() * 100


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent, PLAN, WORK_S, make_body))
