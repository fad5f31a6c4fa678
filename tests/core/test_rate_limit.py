"""Tests of limits of requests that targets name in answers."""

import unittest

from balsamdeal.core.rate_limit import KEEP_S, RateLimit
from balsamdeal.core.request_events import NO_NOTICE, LimitReport, TargetNotice
from tests.core.queueing import Load, QueueingFleet, make_route

# Operators allow one and a half times a limit over any span of this length, and a few
# requests more, from some time after a target has first named it. They count the
# requests of nodes that had passed on such an answer a while before.
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
SETTLE_S = 3.0
TOLD_BEFORE_S = 0.5
WORK_S = 0.17
SLOTS = 18


def make_notice(per_s, leaving=False):
    """Return the notice of a target that names a limit."""
    return TargetNotice(True, per_s, leaving)


class RateLimitTest(unittest.TestCase):
    """Starts requests as fast as the limit allows."""

    def setUp(self):
        self.limit = RateLimit(SETTLE_S)

    def start_until(self, now_s, until_s, step_s=0.001):
        """Start requests whenever one may start; return their times."""
        times = []
        while now_s < until_s:
            if self.limit.get_delay_s(now_s) <= 0:
                self.limit.record_start(now_s)
                times.append(now_s)
            now_s += step_s
        return times

    def count_most(self, times):
        return max(
            sum(begin_s <= at_s < begin_s + WINDOW_S for at_s in times)
            for begin_s in times
        )

    def test_no_limit_allows_every_start(self):
        self.assertEqual(len(self.start_until(0.0, 1.0, 0.01)), 100)

    def test_starts_keep_to_the_limit_and_reach_it(self):
        for per_s in (0.0, 0.5, 1.0, 16.2, 500.0):
            with self.subTest(per_s):
                self.setUp()
                self.limit.record_answer(make_notice(per_s), True, 0.0)
                times = self.start_until(0.0, 20.0)
                allowed = FACTOR * WINDOW_S * per_s + SLACK
                self.assertLessEqual(self.count_most(times), allowed)
                self.assertGreaterEqual(len(times), 0.95 * 20.0 * per_s)
                self.assertGreater(len(times), 0)

    # Guards against a first span over the limit because of what was sent before it.
    def test_requests_before_the_limit_count_in_the_first_span(self):
        for before_per_s, per_s in ((91, 21.7), (86, 16.2), (60, 16.2), (60, 2.0)):
            with self.subTest((before_per_s, per_s)):
                self.setUp()
                times = self.start_until(0.0, 8.0, 1 / before_per_s)
                self.limit.record_answer(NO_NOTICE, True, 8.0)
                self.limit.record_answer(make_notice(per_s), True, 8.0)
                times += self.start_until(8.0, 20.0)
                checked = [at_s for at_s in times if at_s > 8.0 + SETTLE_S - WINDOW_S]
                allowed = FACTOR * WINDOW_S * per_s + SLACK
                for end_s in [at_s for at_s in times if at_s >= 8.0 + SETTLE_S]:
                    span = [at for at in checked if end_s - WINDOW_S < at <= end_s]
                    self.assertLessEqual(len(span), allowed)

    # Guards against a first span over the limit because the node was suspended when the
    # target named it.
    def test_limit_named_during_a_suspension_counts_from_the_last_answer(self):
        for suspended_s in (1.0, 2.0, 3.0, 3.9):
            with self.subTest(suspended_s):
                self.setUp()
                times = self.start_until(0.0, 8.0, 1 / 91)
                self.limit.record_answer(NO_NOTICE, True, 8.0)
                resumed_s = 8.0 + suspended_s
                times += self.start_until(resumed_s, resumed_s + 0.01, 0.001)
                self.limit.record_answer(make_notice(20.0), True, resumed_s + 0.01)
                times += self.start_until(resumed_s + 0.01, 20.0)
                allowed = FACTOR * WINDOW_S * 20.0 + SLACK
                for end_s in [at_s for at_s in times if at_s >= 8.0 + SETTLE_S]:
                    span = [at for at in times if end_s - WINDOW_S < at <= end_s]
                    self.assertLessEqual(len(span), allowed)

    def test_lower_limit_applies_at_once(self):
        self.limit.record_answer(make_notice(40.0), True, 0.0)
        self.start_until(0.0, 10.0)
        self.limit.record_answer(make_notice(4.0), True, 10.0)
        self.assertLessEqual(len(self.start_until(10.0, 14.0)), 17)

    def test_limit_ends_when_answers_lack_it(self):
        self.limit.record_answer(make_notice(4.0), True, 0.0)
        # An answer that was on its way when the limit was named.
        self.limit.record_answer(NO_NOTICE, True, KEEP_S / 2)
        self.assertEqual(self.limit.per_s, 4.0)
        self.limit.record_answer(NO_NOTICE, True, KEEP_S + 0.1)
        self.assertIsNone(self.limit.per_s)
        self.assertEqual(self.limit.get_delay_s(KEEP_S + 0.1), 0.0)

    def test_answers_of_requests_that_did_not_run_do_not_end_it(self):
        self.limit.record_answer(make_notice(4.0), False, 0.0)
        self.limit.record_answer(NO_NOTICE, False, 10.0)
        self.assertEqual(self.limit.per_s, 4.0)

    def test_limit_that_is_no_number_changes_nothing(self):
        self.limit.record_answer(make_notice(4.0), True, 0.0)
        self.limit.record_answer(make_notice(None), True, 10.0)
        self.assertEqual(self.limit.per_s, 4.0)

    def test_reported_limit_holds_until_the_first_answer(self):
        self.limit.record_report(LimitReport(4.0, 80.0), 0.0)
        self.assertLessEqual(len(self.start_until(0.0, 1.0)), 6)
        self.limit.record_answer(NO_NOTICE, True, 2.0)
        self.assertIsNone(self.limit.per_s)

    def test_nothing_starts_after_reports_of_a_new_limit(self):
        self.limit.record_report(LimitReport(4.0, 0.7), 0.0)
        self.limit.record_report(LimitReport(4.0, 1.0), 0.0)
        times = self.start_until(0.0, 5.0)
        self.assertAlmostEqual(times[0], WINDOW_S - 1.0, delta=0.3)

    def test_report_does_not_replace_what_the_target_says(self):
        self.limit.record_answer(NO_NOTICE, True, 0.0)
        self.limit.record_report(LimitReport(4.0, 1.0), 5.0)
        self.assertIsNone(self.limit.per_s)
        self.limit.record_answer(make_notice(9.0), True, 6.0)
        self.limit.record_report(LimitReport(4.0, 1.0), 7.0)
        self.assertEqual(self.limit.per_s, 9.0)


class LimitedFleetBase:
    """Fleets of which some targets name a limit under load."""

    def make_fleet(self, domains, services=1, seed=3, speeds=(1.0,)):
        layout = [
            (domain, f"s{index % services}", SLOTS, speeds[index % len(speeds)])
            for index, domain in enumerate(domains)
        ]
        routes = []
        for number in range(services):
            options = {"objective_s": 0.5, "timeout_s": 3.0}
            backend = (f"s{number}", 1.0)
            routes.append(make_route(f"t{number}", f"/t{number}/", backend, **options))
            charge = {"objective_s": 0.6, "rank": 1, "idempotent": False}
            routes.append(
                make_route(
                    f"c{number}", f"/c{number}/", backend, **{**options, **charge}
                )
            )
        return QueueingFleet(layout, routes, seed=seed)

    def offer(self, fleet, per_s, charge_share=0.25, services=1, until_s=16.0):
        """Offer requests, spread over the nodes; a share of them are charges."""
        rate = per_s / len(fleet.nodes)
        for index, node in enumerate(fleet.nodes):
            number = index % services
            for path, share in (("t", 1 - charge_share), ("c", charge_share)):
                fleet.offer(
                    Load(
                        node, f"/{path}{number}/", rate * share, 3.0, WORK_S, 0, until_s
                    )
                )

    def name_limit(self, fleet, at_s, nodes, per_s):
        def set_notice():
            for node in nodes:
                fleet.targets[node].notice = make_notice(per_s)

        fleet.at(at_s, set_notice)

    def count_most(self, fleet, node, named_s):
        """Return the most counted requests in a span that ends once a limit holds."""
        starts = [
            (at_s, origin)
            for at_s, origin in fleet.targets[node].starts
            if at_s > named_s + SETTLE_S - WINDOW_S
        ]
        most = 0
        for end_s in [at_s for at_s, _ in starts if at_s >= named_s + SETTLE_S]:
            counted = [
                origin
                for at_s, origin in starts
                if end_s - WINDOW_S < at_s <= end_s
                and fleet.told_at_s.get((origin, node), 1e9) <= end_s - TOLD_BEFORE_S
            ]
            most = max(most, len(counted))
        return most

    def assert_limited(self, fleet, nodes, named_s, per_s):
        for node in nodes:
            most = self.count_most(fleet, node, named_s)
            self.assertLessEqual(most, FACTOR * WINDOW_S * per_s + SLACK, node)


class LimitedFleetTest(LimitedFleetBase, unittest.TestCase):
    """Seven targets in two failure domains."""

    # Guards against a target that gets far more than its limit while others have room.
    def test_limited_targets_get_their_limit_and_others_the_rest(self):
        fleet = self.make_fleet("ddddeee")
        nodes = list(fleet.nodes)[:2]
        self.offer(fleet, 340.0)
        self.name_limit(fleet, 4.0, nodes, 16.2)
        fleet.run(20.0)
        self.assert_limited(fleet, nodes, 4.0, 16.2)
        in_time, _, refused = fleet.compute_shares(from_s=4.0)
        self.assertGreaterEqual(in_time, 0.95)
        self.assertLessEqual(refused, 0.01)

    # Guards against a limit that is lost with the memory of the node that keeps it.
    def test_limit_holds_across_restarts_of_the_node_in_front(self):
        for restart_s in (4.2, 5.0, 6.5, 9.0):
            with self.subTest(restart_s):
                fleet = self.make_fleet("ddddeee")
                node = list(fleet.nodes)[0]
                self.offer(fleet, 500.0)
                self.name_limit(fleet, 4.0, [node], 4.0)
                fleet.at(restart_s, setattr, fleet.targets[node], "down", True)
                fleet.at(restart_s, fleet.restart, node)
                fleet.at(restart_s + 0.8, setattr, fleet.targets[node], "down", False)
                fleet.run(20.0)
                self.assert_limited(fleet, [node], 4.0, 4.0)

    # Guards against idle targets, and against urgent work that waits behind other work,
    # when all targets of a service have a limit.
    def test_all_targets_limited_serve_what_they_accept(self):
        fleet = self.make_fleet("ddddeee")
        nodes = list(fleet.nodes)
        self.offer(fleet, 340.0)
        self.name_limit(fleet, 4.0, nodes, 24.0)
        fleet.run(20.0)
        self.assert_limited(fleet, nodes, 4.0, 24.0)
        starts = sum(
            7.0 <= at_s < 15.0
            for target in fleet.targets.values()
            for at_s, _ in target.starts
        )
        self.assertGreaterEqual(starts, 0.95 * 8.0 * 7 * 24.0)
        charges = fleet.compute_shares("/c0/", from_s=7.0, until_s=15.0)
        self.assertGreaterEqual(charges[0], 0.95)
        served = fleet.compute_shares(from_s=7.0, until_s=15.0)[1]
        tickets_served = fleet.compute_shares("/t0/", from_s=7.0, until_s=15.0)[1]
        self.assertGreaterEqual(tickets_served, 0.25 * served)

    # Guards against urgent work that waits at limited targets while others have room
    # for it.
    def test_urgent_work_does_not_wait_for_limited_targets(self):
        speeds = (1.1, 0.85, 0.6, 1.15, 0.8, 0.6, 1.1)
        fleet = self.make_fleet("dddteek", speeds=speeds)
        nodes = [list(fleet.nodes)[index] for index in (0, 3, 6)]
        self.offer(fleet, 380.0, charge_share=0.3)
        self.name_limit(fleet, 4.0, nodes, 22.0)
        fleet.run(20.0)
        self.assert_limited(fleet, nodes, 4.0, 22.0)
        self.assertGreaterEqual(fleet.compute_shares("/c0/", from_s=4.0)[0], 0.95)


class LargeLimitedFleetTest(LimitedFleetBase, unittest.TestCase):
    """A fleet of the size expected in two years."""

    # Guards against nodes that ask limited targets again and again.
    def test_limits_hold_without_a_storm_of_refusals(self):
        services = 29
        fleet = self.make_fleet(["abcdefg"[i % 7] for i in range(810)], services)
        nodes = list(fleet.nodes)[:29]
        self.offer(fleet, 810 * 8.0, services=services, until_s=7.0)
        self.name_limit(fleet, 2.0, nodes, 2.0)
        fleet.run(2.0)
        attempts, requests = fleet.attempts, len(fleet.requests)
        fleet.run(7.0)
        self.assert_limited(fleet, nodes, 2.0, 2.0)
        self.assertGreaterEqual(fleet.compute_shares(from_s=2.0, until_s=6.0)[0], 0.95)
        per_request = (fleet.attempts - attempts) / (len(fleet.requests) - requests)
        self.assertLessEqual(per_request, 1.2)
