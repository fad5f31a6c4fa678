"""Measures load balancing of simulated fleets of 12, 91 and 810 nodes.

Runs the real reducers in the queueing simulation, without processes. It measures
effects that grow with the fleet: uneven load, refusals while a target has free slots,
retries, the bytes of load reports, and the time to settle after a change.
"""

import argparse
import json
import sys
from pathlib import Path

from balsamdeal.core import request_events
from balsamdeal.net.messages import HeaderNames
from balsamdeal.net.node_codec import NodeCodec
from tests.core.queueing import Load, QueueingFleet, make_route
from tools.measure import DATA_FOLDER, describe_run

# Nodes, failure domains and services of the first site, of the largest site after its
# growth, and of the size expected in two years.
SIZES = ((12, 4, 1), (91, 5, 2), (810, 7, 29))
SLOTS = 8
WORK_S = 0.2
# Relative speeds of one service's targets on the users' machines.
SPEEDS = (0.6, 0.8, 1.0, 1.0, 1.2, 1.6)
SEED = 11
INITIAL_SHARE, STEPPED_SHARE, OVERLOAD_SHARE = 0.4, 0.75, 1.3
STEP_AT_S, SLOW_AT_S, OVERLOAD_AT_S, END_AT_S = 2.0, 5.0, 8.0, 11.0
# A fleet has settled once nine in ten calls of a window are answered in time.
WINDOW_S = 0.25
SETTLED_SHARE = 0.9
SLOW_ONE_IN = 10
SLOW_SPEED = 1 / 8
NAMES = HeaderNames(
    "Id", "Left-Ms", "Instance", "Service", "Seal", "Declined", "Limit", "Leaving"
)


class MeasuredFleet(QueueingFleet):
    """Counts the bytes of load reports, and refusals while a target has free slots."""

    def __init__(self, nodes, domains, services):
        layout = [
            (
                f"d{number % domains}",
                f"s{number // domains % services}",
                SLOTS,
                SPEEDS[number % len(SPEEDS)],
            )
            for number in range(nodes)
        ]
        routes = [
            make_route(
                f"r{number}",
                f"/{number}/",
                (f"s{number}", 1.0),
                objective_s=0.6,
                timeout_s=3.0,
            )
            for number in range(services)
        ]
        super().__init__(layout, routes, seed=SEED)
        self.services = services
        self.by_service = {}
        for node, (_, service, *_) in zip(self.nodes, layout):
            targets = self.by_service.setdefault(service, [])
            targets.append(self.targets[node])
        self.codec = NodeCodec(NAMES)
        self.reports = 0
        self.report_bytes = 0
        self.refusals = 0
        self.avoidable_refusals = 0
        original_handler = self._effect_handlers[request_events.RefuseCall]

        def count_and_run(node, effect):
            self.refusals += 1
            self.avoidable_refusals += self.has_free_slots(effect.service)
            original_handler(node, effect)

        self._effect_handlers[request_events.RefuseCall] = count_and_run

    def has_free_slots(self, service):
        """Return whether a target of normal speed has two or more free slots."""
        return any(
            target.speed > SLOW_SPEED and len(target.running) <= SLOTS - 2
            for target in self.by_service[service]
        )

    def _reply(self, node, effect):
        # Encodes only every hundredth report; encoding all would take most of the time.
        self.reports += 1
        if self.reports % 100 == 0:
            message = self.codec.encode_reply(effect.reply, None, "")
            self.report_bytes += 100 * len(message)
        super()._reply(node, effect)

    def offer_share(self, share, from_s, until_s):
        """Offer a share of each service's capacity, divided equally among its callers.

        Callers of a service are at its own nodes and at those of the next service.
        """
        for number in range(self.services):
            targets = self.by_service[f"s{number}"]
            next_targets = self.by_service[f"s{(number + 1) % self.services}"]
            nodes = {target.node for target in targets + next_targets}
            speed = sum(target.speed for target in targets)
            per_s = share * speed * SLOTS / WORK_S / len(nodes)
            for node in sorted(nodes):
                path = f"/{number}/"
                self.offer(Load(node, path, per_s, 3.0, WORK_S, from_s, until_s))

    def find_settled_s(self, from_s, until_s):
        """Return the seconds until calls are in time, or None if not by ``until_s``."""
        at_s = from_s
        while at_s < until_s:
            if (
                self.compute_shares(from_s=at_s, until_s=at_s + WINDOW_S)[0]
                >= SETTLED_SHARE
            ):
                return at_s - from_s
            at_s += WINDOW_S
        return None


def measure(nodes, domains, services):
    """Return the figures of one fleet size.

    The load rises by a step, then a tenth of the targets becomes eight times as slow,
    then the load exceeds the capacity.
    """
    fleet = MeasuredFleet(nodes, domains, services)
    fleet.offer_share(INITIAL_SHARE, 0.0, END_AT_S)
    fleet.offer_share(STEPPED_SHARE - INITIAL_SHARE, STEP_AT_S, END_AT_S)
    fleet.offer_share(OVERLOAD_SHARE - STEPPED_SHARE, OVERLOAD_AT_S, END_AT_S)
    fleet.run(SLOW_AT_S)
    targets = list(fleet.targets.values())
    shares = sorted(target.runs / target.speed for target in targets)
    calm = len(fleet.requests), fleet.attempts, fleet.refusals
    for target in targets[::SLOW_ONE_IN]:
        target.speed = SLOW_SPEED
    fleet.run(OVERLOAD_AT_S)
    avoidable, refused, attempts = (
        fleet.avoidable_refusals,
        fleet.refusals,
        fleet.attempts,
    )
    requests = len(fleet.requests)
    fleet.run(END_AT_S)
    return {
        "nodes": nodes,
        "domains": domains,
        "services": services,
        "busiest_to_mean": shares[-1] * len(shares) / sum(shares),
        "refused_calm": calm[2] / calm[0],
        "refused_beside_room": avoidable / requests,
        "refused_slow": (refused - calm[2]) / (requests - calm[0]),
        "attempts_calm": calm[1] / calm[0],
        "attempts_over": (fleet.attempts - attempts) / (len(fleet.requests) - requests),
        "in_time_over": fleet.compute_shares(
            from_s=OVERLOAD_AT_S, until_s=END_AT_S - 1.0
        )[0],
        "settled_step_s": fleet.find_settled_s(STEP_AT_S, SLOW_AT_S),
        "settled_slow_s": fleet.find_settled_s(SLOW_AT_S, OVERLOAD_AT_S),
        "report_bytes_node_s": fleet.report_bytes / nodes / END_AT_S,
        "crossings": fleet.crossings / fleet.attempts,
    }


def parse_arguments(argv=None):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", default=str(DATA_FOLDER / "policy.json"))
    parser.add_argument("--most", type=int, default=810, help="largest fleet")
    return parser.parse_args(argv)


def main(argv=None):
    """Measure all sizes and write the figures as JSON."""
    arguments = parse_arguments(argv)
    rows = [measure(*size) for size in SIZES if size[0] <= arguments.most]
    content = {"run": describe_run("tools.policy"), "results": rows}
    Path(arguments.output).write_text(json.dumps(content, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
