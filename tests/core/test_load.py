"""Tests of policies under load patterns, on the queueing simulation.

The bounds come from the users' objectives: nine in ten are served if there is room,
urgent work never waits behind other work, extra attempts stay within a fifth, and no
request is sent to another failure domain without a benefit.
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
# Runs per second of one target: slots divided by the length of a run.
TARGET_PER_S = SLOTS / WORK_S
END_S = 10.0
DRAIN_S = 5.0


class LoadTest(unittest.TestCase):
    """Two failure domains of two targets each, with 160 runs per second in total."""

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

    def run_and_drain(self, fleet):
        fleet.run(END_S + DRAIN_S)

    def test_load_below_capacity_is_served_in_time_in_its_own_domain(self):
        fleet = self.make_fleet()
        self.offer(fleet, 0.6)
        self.run_and_drain(fleet)
        in_time, served, refused = fleet.compute_shares()
        self.assertGreaterEqual(in_time, 0.95)
        self.assertLessEqual(refused, 0.001)
        self.assertLessEqual(fleet.crossings / fleet.attempts, 0.05)

    def test_lasting_overload_is_refused_early_and_the_rest_is_in_time(self):
        fleet = self.make_fleet()
        self.offer(fleet, 1.5)
        self.run_and_drain(fleet)
        in_time, _, _ = fleet.compute_shares(from_s=2.0, until_s=END_S)
        # Two in three can be served; nine in ten of those must be in time.
        self.assertGreaterEqual(in_time, 0.9 / 1.5 * 0.9)
        self.assertLessEqual(fleet.attempts / len(fleet.requests), 3.0)

    def test_urgent_work_is_served_first_in_an_overload(self):
        fleet = self.make_fleet()
        self.offer(fleet, 1.2)
        self.offer(fleet, 0.3, "/charge/", deadline_s=4.0)
        self.run_and_drain(fleet)
        in_time, served, _ = fleet.compute_shares("/charge/")
        self.assertGreaterEqual(served, 0.99)
        self.assertGreaterEqual(in_time, 0.9)

    def test_less_urgent_work_is_not_starved(self):
        fleet = self.make_fleet()
        self.offer(fleet, 1.0)
        self.offer(fleet, 0.5, "/charge/", deadline_s=4.0)
        self.run_and_drain(fleet)
        self.assertGreaterEqual(fleet.compute_shares("/ticket/")[1], 0.4)

    def test_requests_of_a_burst_are_served_eventually(self):
        fleet = self.make_fleet()
        self.offer(fleet, 0.6)
        self.offer(fleet, 0.8, from_s=3.0, until_s=5.0)
        self.run_and_drain(fleet)
        self.assertGreaterEqual(fleet.compute_shares()[1], 0.9)

    def test_callers_with_long_deadlines_are_served_after_a_burst(self):
        # Deadlines are four times as long as the burst, so there is room for all later.
        fleet = self.make_fleet()
        fields = {"deadline_s": 8.0, "work_s": 2 * WORK_S}
        self.offer(fleet, 0.3, "/pickup/", until_s=14.0, **fields)
        self.offer(fleet, 0.6, "/pickup/", from_s=3.0, until_s=5.0, **fields)
        fleet.run(14.0 + 8.0)
        self.assertGreaterEqual(fleet.compute_shares()[1], 0.9)

    def test_uneven_load_spills_over_to_the_other_domain(self):
        fleet = self.make_fleet()
        self.offer(fleet, 0.7, nodes=["node-t0", "node-t1"])
        self.run_and_drain(fleet)
        in_time, served, _ = fleet.compute_shares(from_s=1.0)
        self.assertGreaterEqual(in_time, 0.9)
        self.assertGreaterEqual(served, 0.99)

    def test_no_caller_stays_unserved_while_another_domain_has_room(self):
        # The load is 1.4 times the capacity of the callers' domain, 0.7 of the total.
        unserved = []
        for seed in range(7, 17):
            fleet = self.make_fleet(seed=seed)
            self.offer(fleet, 0.7, nodes=["node-t0", "node-t1"])
            self.run_and_drain(fleet)
            unserved.append(1.0 - fleet.compute_shares()[1])
        self.assertLessEqual(sum(unserved) / len(unserved), 0.001)

    def test_full_domain_of_many_targets_spills_over_to_the_other(self):
        # A node gets a reply from each of 20 targets about once a second, which is too
        # old to choose by.
        fleet = self.make_fleet((0.8, 1.0, 1.0, 1.1) * 10, "eett" * 10)
        overloaded_nodes = [
            node for node, domain in fleet.domains.items() if domain == "e"
        ]
        self.offer(fleet, 0.55, until_s=6.0)
        self.offer(fleet, 0.25, nodes=overloaded_nodes, until_s=6.0)
        fleet.run(6.0 + DRAIN_S)
        self.assertGreaterEqual(fleet.compute_shares(from_s=1.0)[1], 0.999)

    def test_short_calls_are_not_refused_in_favour_of_long_ones(self):
        fleet = self.make_fleet()
        self.offer(fleet, 1.2, work_s=0.4)
        self.offer(fleet, 1.0, "/call/", deadline_s=0.5, work_s=0.04, retries=0)
        self.run_and_drain(fleet)
        self.assertGreaterEqual(fleet.compute_shares("/call/", from_s=2.0)[1], 0.97)

    def test_target_that_becomes_slow_gets_less_work(self):
        fleet = self.make_fleet()
        self.offer(fleet, 0.5)
        fleet.run(3.0)
        fleet.targets["node-t0"].speed = 1 / 12
        runs_before = fleet.targets["node-t0"].runs
        self.run_and_drain(fleet)
        in_time, _, _ = fleet.compute_shares(from_s=4.0, until_s=END_S)
        self.assertGreaterEqual(in_time, 0.9)
        self.assertLess(fleet.targets["node-t0"].runs - runs_before, runs_before)

    def test_target_that_fails_fast_does_not_attract_work(self):
        fleet = self.make_fleet()
        self.offer(fleet, 0.5)
        fleet.run(3.0)
        fleet.targets["node-t0"].broken = True
        runs_before = fleet.targets["node-t0"].runs
        self.run_and_drain(fleet)
        # An even share is a quarter of 80 runs per second for the remaining time.
        even_share = 0.25 * 0.5 * TARGET_PER_S * 4 * (END_S - 3.0)
        self.assertLess(fleet.targets["node-t0"].runs - runs_before, even_share)

    def test_extra_attempts_stay_within_a_fifth_while_all_targets_fail(self):
        fleet = self.make_fleet()
        for target in fleet.targets.values():
            target.broken = True
        self.offer(fleet, 0.5, retries=0)
        self.run_and_drain(fleet)
        runs = sum(target.runs for target in fleet.targets.values())
        self.assertLessEqual(runs, 1.2 * len(fleet.requests))

    def test_node_that_is_down_fails_no_calls(self):
        fleet = self.make_fleet()
        fleet.targets["node-t1"].down = True
        self.offer(fleet, 0.5, nodes=["node-t0", "node-t2", "node-t3"])
        self.run_and_drain(fleet)
        self.assertGreaterEqual(fleet.compute_shares()[1], 0.99)

    def test_never_more_runs_than_slots(self):
        fleet = self.make_fleet()
        self.offer(fleet, 2.0)
        self.run_and_drain(fleet)
        for target in fleet.targets.values():
            self.assertLessEqual(target.max_running, SLOTS)
