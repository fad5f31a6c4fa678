"""Tests of loads whose answers fill the links of targets' VMs, on the simulation.

The rates, sizes and widths are those of a deployment with 82 VMs, where 16 targets of
one service send large answers over links of 3.5 Mbit/s.
"""

import unittest

from tests.core.queueing import Load, QueueingFleet, make_route

THIN_MBPS = 3.5
WIDE_MBPS = 70.0
SHEET_BYTES = 90_000
SLOTS = 6
SHEET = make_route(
    "sheet", "/sheet/", ("depot", 1.0), objective_s=1.46, timeout_s=5.8, rank=2
)
CHANGE = make_route(
    "change",
    "/change/",
    ("depot", 1.0),
    objective_s=0.95,
    timeout_s=3.5,
    rank=2,
    idempotent=False,
)
PEEK = make_route(
    "peek", "/peek/", ("depot", 1.0), objective_s=0.28, timeout_s=0.92, rank=0
)
DEPOT_SPEEDS = (0.5, 1.0, 1.0, 1.5)
END_S = 10.0
DRAIN_S = 5.0
SEEDS = (1, 2, 3)
# Requests per second of the whole deployment on a day of high load.
SHEETS_PER_S, CHANGES_PER_S, PEEKS_PER_S = 81.0, 91.0, 470.0


def make_fleet(domains, seed, knows_links=True):
    """Return a fleet; ``domains`` maps names to numbers of desks and depots."""
    layout = []
    for domain, (desks, depots) in domains.items():
        for number in range(depots):
            speed = DEPOT_SPEEDS[number % len(DEPOT_SPEEDS)]
            layout.append((domain, "depot", SLOTS, speed, THIN_MBPS))
        for number in range(desks):
            mbps = WIDE_MBPS if number < 2 else THIN_MBPS
            layout.append((domain, "desk", SLOTS, 1.0, mbps))
    return QueueingFleet(layout, [SHEET, CHANGE, PEEK], seed, knows_links)


def offer(fleet, domain, share, scale=1.0):
    """Offer a share of the deployment's load to the nodes of a domain."""
    nodes = [node for node, found in fleet.domains.items() if found == domain]
    desks = [node for node in nodes if fleet.services[node] == "desk"]
    for path, per_s, work_s, deadline_s, retries, size, callers in (
        ("/sheet/", SHEETS_PER_S, 0.22, 5.8, 1, SHEET_BYTES, nodes),
        ("/change/", CHANGES_PER_S, 0.22, 3.5, 1, 400, nodes),
        ("/peek/", PEEKS_PER_S, 0.068, 0.92, 0, 600, desks),
    ):
        for node in callers:
            load = Load(
                node,
                path,
                per_s * share * scale / len(callers),
                deadline_s,
                work_s,
                until_s=END_S,
                retries=retries,
                answer_bytes=size,
            )
            fleet.offer(load)


class OneDomainTest(unittest.TestCase):
    """Five targets that send large answers, and eighteen nodes that call them."""

    SHARE = 0.265  # of the requests of the deployment

    def run_domain(self, seed, scale=1.0, knows_links=True):
        fleet = make_fleet({"kingston": (17, 5)}, seed, knows_links)
        offer(fleet, "kingston", self.SHARE, scale)
        fleet.run(END_S + DRAIN_S)
        return fleet

    # Guards against small answers that wait for seconds behind large ones: nine in ten
    # calls between services ended too late, and the requests that made them, too.
    def test_small_answers_do_not_wait_for_large_ones(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = self.run_domain(seed)
                self.assertGreaterEqual(fleet.compute_shares("/peek/")[0], 0.9)
                self.assertGreaterEqual(fleet.compute_shares("/change/")[0], 0.9)

    def test_large_answers_are_in_time_while_the_links_can_carry_them(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = self.run_domain(seed)
                self.assertGreaterEqual(fleet.compute_shares("/sheet/")[0], 0.9)


class FourDomainsTest(unittest.TestCase):
    """The 82 nodes; one domain has more callers than its targets can serve."""

    DOMAINS = {
        "kingston": (17, 5),
        "spanish-town": (19, 5),
        "may-pen": (15, 3),
        "portmore": (15, 3),
    }
    SHARES = {
        "kingston": 0.265,
        "spanish-town": 0.246,
        "may-pen": 0.273,
        "portmore": 0.216,
    }

    def run_fleet(self, scale, knows_links=True):
        fleet = make_fleet(self.DOMAINS, 1, knows_links)
        for domain, share in self.SHARES.items():
            offer(fleet, domain, share, scale)
        fleet.run(END_S + DRAIN_S)
        return fleet

    # Guards against large answers that cross domains although their own one can serve
    # them before their callers leave: each costs as much as six lookups.
    def test_large_answers_stay_in_their_domain_at_the_usual_load(self):
        fleet = self.run_fleet(0.65)
        sheet_bytes = sum(
            SHEET_BYTES for item in fleet.requests if item.load.path == "/sheet/"
        )
        self.assertLessEqual(fleet.crossing_bytes, 0.02 * sheet_bytes)
        for path in ("/sheet/", "/change/", "/peek/"):
            with self.subTest(path=path):
                self.assertGreaterEqual(fleet.compute_shares(path)[0], 0.9)


if __name__ == "__main__":
    unittest.main()
