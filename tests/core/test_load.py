"""Load patterns, each with the policy that answers it, on the queueing fake.

Bounds come from the users' targets: nine in ten served where there is room, the
urgent kind never behind the other, extra attempts within a fifth, no crossing that
nobody gains by.
"""

import unittest

from tests.core.queueing import Load, QueueingFleet, make_route

TICKET = make_route("ticket", "/ticket/", ("desk", 1.0), objective_s=0.5, timeout_s=1.5)
CHARGE = make_route(
    "charge",
    "/charge/",
    ("desk", 1.0),
    objective_s=0.6,
    timeout_s=2.0,
    rank=1,
    idempotent=False,
)
CALL = make_route(
    "call", "/call/", ("desk", 1.0), objective_s=0.15, timeout_s=0.5, rank=1
)
PICKUP = make_route("pickup", "/pickup/", ("desk", 1.0), objective_s=1.2, timeout_s=8.0)
SLOTS = 8
WORK_S = 0.2
# Runs a second of one target: slots by the length of a run.
TARGET_PER_S = SLOTS / WORK_S
END_S = 10.0
DRAIN_S = 5.0


class LoadTest(unittest.TestCase):
    """Two failure domains with two targets each, 160 runs a second in all."""

    def make_fleet(self, speeds=(1.0, 1.0, 1.0, 1.0), domains="eett", seed=7):
        layout = [
            (domain, "desk", SLOTS, speed) for domain, speed in zip(domains, speeds)
        ]
        return QueueingFleet(layout, [TICKET, CHARGE, CALL, PICKUP], seed=seed)

    def offer(self, fleet, share, path="/ticket/", nodes=None, **changes):
        """Offer a share of the fleet's capacity, spread over nodes."""
        nodes = nodes or list(fleet.nodes)
        total = share * TARGET_PER_S * len(fleet.nodes)
        fields = {"deadline_s": 3.0, "work_s": WORK_S, "until_s": END_S, **changes}
        for node in nodes:
            fleet.offer(Load(node, path, total / len(nodes), **fields))

    def play(self, fleet):
        fleet.run(END_S + DRAIN_S)

    def test_load_below_capacity_is_served_in_time_in_its_own_domain(self):
        fleet = self.make_fleet()
        self.offer(fleet, 0.6)
        self.play(fleet)
        in_time, served, refused = fleet.rate()
        self.assertGreaterEqual(in_time, 0.95)
        self.assertLessEqual(refused, 0.001)
        self.assertLessEqual(fleet.crossings / fleet.attempts, 0.05)

    def test_overload_that_lasts_is_refused_early_and_the_rest_is_in_time(self):
        fleet = self.make_fleet()
        self.offer(fleet, 1.5)
        self.play(fleet)
        in_time, _, _ = fleet.rate(from_s=2.0, until_s=END_S)
        # Two in three could be served; nine in ten of those shall be in time.
        self.assertGreaterEqual(in_time, 0.9 / 1.5 * 0.9)
        self.assertLessEqual(fleet.attempts / len(fleet.asks), 3.0)

    def test_urgent_work_is_served_first_in_an_overload(self):
        fleet = self.make_fleet()
        self.offer(fleet, 1.2)
        self.offer(fleet, 0.3, "/charge/", deadline_s=4.0)
        self.play(fleet)
        in_time, served, _ = fleet.rate("/charge/")
        self.assertGreaterEqual(served, 0.99)
        self.assertGreaterEqual(in_time, 0.9)

    def test_less_urgent_work_is_not_starved(self):
        fleet = self.make_fleet()
        self.offer(fleet, 1.0)
        self.offer(fleet, 0.5, "/charge/", deadline_s=4.0)
        self.play(fleet)
        self.assertGreaterEqual(fleet.rate("/ticket/")[1], 0.4)

    def test_burst_is_served_in_the_end(self):
        fleet = self.make_fleet()
        self.offer(fleet, 0.6)
        self.offer(fleet, 0.8, from_s=3.0, until_s=5.0)
        self.play(fleet)
        self.assertGreaterEqual(fleet.rate()[1], 0.9)

    def test_patient_callers_outlast_a_burst(self):
        # Their time is four times as long as the burst: there is room for all later.
        fleet = self.make_fleet()
        fields = {"deadline_s": 8.0, "work_s": 2 * WORK_S}
        self.offer(fleet, 0.3, "/pickup/", until_s=14.0, **fields)
        self.offer(fleet, 0.6, "/pickup/", from_s=3.0, until_s=5.0, **fields)
        fleet.run(14.0 + 8.0)
        self.assertGreaterEqual(fleet.rate()[1], 0.9)

    def test_uneven_domains_help_each_other(self):
        fleet = self.make_fleet()
        self.offer(fleet, 0.7, nodes=["node-t0", "node-t1"])
        self.play(fleet)
        in_time, served, _ = fleet.rate(from_s=1.0)
        self.assertGreaterEqual(in_time, 0.9)
        self.assertGreaterEqual(served, 0.99)

    def test_nobody_is_refused_while_another_domain_has_room(self):
        # Callers of one domain ask for 1.4 times what its targets can do, in all 0.7.
        unserved = []
        for seed in range(7, 17):
            fleet = self.make_fleet(seed=seed)
            self.offer(fleet, 0.7, nodes=["node-t0", "node-t1"])
            self.play(fleet)
            unserved.append(1.0 - fleet.rate()[1])
        self.assertLessEqual(sum(unserved) / len(unserved), 0.001)

    def test_full_domain_of_many_targets_is_helped_by_the_others(self):
        # A node hears of each of 20 targets about once a second, too late for a choice.
        fleet = self.make_fleet((0.8, 1.0, 1.0, 1.1) * 10, "eett" * 10)
        hot = [node for node, domain in fleet.domains.items() if domain == "e"]
        self.offer(fleet, 0.55, until_s=6.0)
        self.offer(fleet, 0.25, nodes=hot, until_s=6.0)
        fleet.run(6.0 + DRAIN_S)
        self.assertGreaterEqual(fleet.rate(from_s=1.0)[1], 0.999)

    def test_short_calls_are_not_refused_for_the_sake_of_long_lookups(self):
        fleet = self.make_fleet()
        self.offer(fleet, 1.2, work_s=0.4)
        self.offer(fleet, 1.0, "/call/", deadline_s=0.5, work_s=0.04, retries=0)
        self.play(fleet)
        self.assertGreaterEqual(fleet.rate("/call/", from_s=2.0)[1], 0.97)

    def test_target_that_becomes_slow_loses_its_work(self):
        fleet = self.make_fleet()
        self.offer(fleet, 0.5)
        fleet.run(3.0)
        fleet.targets["node-t0"].speed = 1 / 12
        before = fleet.targets["node-t0"].runs
        self.play(fleet)
        in_time, _, _ = fleet.rate(from_s=4.0, until_s=END_S)
        self.assertGreaterEqual(in_time, 0.9)
        self.assertLess(fleet.targets["node-t0"].runs - before, before)

    def test_target_that_fails_fast_does_not_draw_the_work(self):
        fleet = self.make_fleet()
        self.offer(fleet, 0.5)
        fleet.run(3.0)
        fleet.targets["node-t0"].broken = True
        before = fleet.targets["node-t0"].runs
        self.play(fleet)
        # Its even share would be a quarter of 80 a second for the rest of the time.
        even = 0.25 * 0.5 * TARGET_PER_S * 4 * (END_S - 3.0)
        self.assertLess(fleet.targets["node-t0"].runs - before, even)

    def test_extra_attempts_stay_within_a_fifth_while_all_targets_fail(self):
        fleet = self.make_fleet()
        for target in fleet.targets.values():
            target.broken = True
        self.offer(fleet, 0.5, retries=0)
        self.play(fleet)
        runs = sum(target.runs for target in fleet.targets.values())
        self.assertLessEqual(runs, 1.2 * len(fleet.asks))

    def test_node_that_is_down_costs_no_call(self):
        fleet = self.make_fleet()
        fleet.targets["node-t1"].down = True
        self.offer(fleet, 0.5, nodes=["node-t0", "node-t2", "node-t3"])
        self.play(fleet)
        self.assertGreaterEqual(fleet.rate()[1], 0.99)

    def test_never_more_runs_than_slots(self):
        fleet = self.make_fleet()
        self.offer(fleet, 2.0)
        self.play(fleet)
        for target in fleet.targets.values():
            self.assertLessEqual(target.most, SLOTS)
