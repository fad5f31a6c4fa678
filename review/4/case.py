"""A configuration that gives the parts of a route other weights, on another scale.

Routes are split 90 to 10 between two services. A new version leaves them to the first
one, with the weights 1 and 0. From ``config-apply-s`` after its acknowledgement on, no
request may be run as only the older version allows.
"""

import asyncio
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path

from review.stand.deployment import run_case
from review.stand.requester import send

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
FIRST, SECOND = "counter-desk", "pickup-board"
ZONES = ("duluth-hall", "toledo-hall")
PLAN = [(zone, service) for zone in ZONES for service in (FIRST, FIRST, SECOND)]
WORK_S = 0.1
ROUTES = ("tickets", "receipts", "opening-hours")
REQUESTS_PER_S = 6.0  # at each machine
BEFORE_S, AFTER_S = 10.0, 12.0
CONFIG_APPLY_S = 2.0


def make_routes(weights):
    """Return the split routes."""
    services = (FIRST, SECOND)
    parts = [
        {"service": name, "weight": weight} for name, weight in zip(services, weights)
    ]
    return [
        {
            "name": name,
            "host": HOST,
            "path-prefix": f"/{name}/",
            "kind": "safe",
            "timeout-s": 1.5,
            "target-latency-s": 0.5,
            "priority": 2,
            "max-attempts": 2,
            "weighted-backends": parts,
        }
        for name in ROUTES
    ]


def make_body(path):
    """Return the body of the answer to a path."""
    return f"ticket {path} ".encode() * 100


async def request_often(deployment, machine, results, sent_s):
    """Send requests from a machine until cancelled."""
    tasks = set()
    address = (machine.ip, deployment.ports["outbound"])
    while True:
        request_id = f"{random.randrange(16**16):016x}"
        sent_s[request_id] = time.monotonic()

        async def run(request_id=request_id):
            path = f"/{random.choice(ROUTES)}/{request_id}"
            results.append(await send(address, "GET", HOST, path, request_id, 3.0))

        task = asyncio.ensure_future(run())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))


async def play(deployment):
    """Play the case; return whether the rule was broken."""
    deployment.put_configuration(7, make_routes((90, 10)), [FIRST, SECOND])
    await deployment.start()
    results, sent_s = [], {}
    load = [
        asyncio.ensure_future(request_often(deployment, machine, results, sent_s))
        for machine in deployment.machines
    ]
    await asyncio.sleep(BEFORE_S)
    if TROUBLE:
        deployment.put_configuration(9, make_routes((1, 0)), [FIRST, SECOND])
        deployment.record("version 9 is acknowledged")
    changed_s = time.monotonic()
    await asyncio.sleep(AFTER_S)
    for task in load:
        task.cancel()
    await asyncio.sleep(2.0)
    deployment.record_requests(results)
    counts = sorted(Counter(str(item.status) for item in results).items())
    deployment.record("answers by status:", dict(counts))
    runs, wrong = Counter(), 0
    for machine in deployment.machines:
        service = machine.server.service
        for _, request_id, _, path in machine.server.arrivals:
            after_s = sent_s[request_id] - changed_s
            span = "before" if after_s < 0 else "in between"
            if after_s > CONFIG_APPLY_S:
                span = "later"
                if service == SECOND and TROUBLE:
                    wrong += 1
                    deployment.record(
                        f"GET {path}, sent {after_s:.2f} s after the acknowledgement,",
                        f"is run by {service}, whose weight is 0",
                    )
            runs[span, service] += 1
    for span in ("before", "in between", "later"):
        shares = {service: runs[span, service] for service in (FIRST, SECOND)}
        deployment.record(f"runs of requests sent {span}:", shares)
    deployment.record(wrong, "requests were run as only the older version allows")
    return wrong > 0


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent, PLAN, WORK_S, make_body))
