"""Tests of the choice of targets: failure domains, ejection, refusals, probes."""

import unittest
from random import Random

from balsamdeal.core.placement import MAX_COMPARED, PROBE_AFTER_S, Placement
from balsamdeal.core.request_events import LinkReport, NodeLoad, TargetNotice
from balsamdeal.core.targets import TargetList
from tests.core.test_routes import make_configuration, make_route
from tests.core.test_targets import (
    apply_listing,
    make_target,
    put_target,
    remove_target,
)


class PlacementTest(unittest.TestCase):
    """Two near targets (``n``) and two far ones (``f``)."""

    def setUp(self):
        self.targets = TargetList()
        self.entries = [
            (name, make_target(name, 1, failure_domain=domain, slots=10))
            for name, domain in (
                ("n0", "erie"),
                ("n1", "erie"),
                ("f0", "toledo"),
                ("f1", "toledo"),
            )
        ]
        apply_listing(self.targets, self.entries, 1, False, 0.0)
        self.placement = Placement(self.targets, "erie", "node-n0", Random(5))

    def report(self, name, busy, queued=0, work_s=0.1, now_s=0.0, stopping=False):
        load = NodeLoad(busy, queued, 10, work_s, 0.0, stopping)
        self.placement.record_load(self.targets.targets[name], load, now_s)

    def report_all(self, **busy):
        for name in ("n0", "n1", "f0", "f1"):
            self.report(name, busy.get(name, 0))

    def choose(self, now_s=0.0, excluded=(), objective_s=0.5, rank=2, time_left_s=0.0):
        route = make_route("r", "/", rank=rank)
        return self.placement.choose(
            "desk", set(excluded), route, objective_s, now_s, time_left_s
        )

    def choose_repeatedly(self, **options):
        return {self.choose(**options).instance for _ in range(40)}

    def test_own_domain_is_chosen_while_it_meets_the_objective(self):
        self.report_all(n0=8, n1=9)
        self.assertLessEqual(self.choose_repeatedly(), {"n0", "n1"})

    def test_other_domain_is_chosen_when_own_would_miss_the_objective(self):
        for name in ("n0", "n1"):
            self.report(name, 10, 60)
        self.report("f0", 1)
        self.report("f1", 1)
        self.assertLessEqual(self.choose_repeatedly(), {"f0", "f1"})

    def test_small_gain_does_not_change_the_domain(self):
        for name in ("n0", "n1"):
            self.report(name, 10, 30)
        for name in ("f0", "f1"):
            self.report(name, 10, 28)
        self.assertLessEqual(self.choose_repeatedly(), {"n0", "n1"})

    def report_links(self, **wait_s):
        """Report links of 3.5 Mbit/s, and answers of 90 KB of the route ``r``."""
        for name, link_wait_s in wait_s.items():
            link = LinkReport(link_wait_s, 3.5)
            load = NodeLoad(1, 0, 10, 0.1, 0.0, False, link)
            self.placement.record_load(self.targets.targets[name], load, 0.0)
        self.placement.record_run(self.targets.targets["n0"], "r", 0.1, 90_000)

    def test_large_answer_comes_from_the_target_whose_link_is_free(self):
        self.report_links(n0=0.0, n1=1.2, f0=0.0, f1=0.0)
        chosen = self.choose_repeatedly(excluded={("n0", None)}, time_left_s=5.0)
        self.assertEqual(chosen, {"n1"})
        self.placement.own_node = "node-f0"
        self.assertEqual(self.choose_repeatedly(objective_s=1.0), {"n0"})

    def test_own_target_needs_no_link(self):
        self.report_links(n0=3.0, n1=0.0)
        self.assertEqual(self.choose_repeatedly(objective_s=1.0), {"n0"})

    # Guards against large answers that cross domains for being a little late.
    def test_large_answer_stays_near_until_half_of_its_time_is_at_risk(self):
        self.report_links(n0=1.0, n1=1.0, f0=0.0, f1=0.0)
        self.placement.own_node = "node-none"
        for time_left_s, expected in ((5.0, "n"), (1.5, "f")):
            with self.subTest(time_left_s=time_left_s):
                chosen = self.choose_repeatedly(
                    objective_s=1.0, time_left_s=time_left_s
                )
                self.assertEqual({name[0] for name in chosen}, {expected})

    # Guards against a node that remembers all routes that it has ever had.
    def test_averages_of_removed_routes_are_dropped(self):
        for name in ("kept", "removed"):
            self.placement.record_run(self.targets.targets["n0"], name, 0.1, 500)
        self.placement.set_routes(make_configuration(2, make_route("kept", "/a/")))
        self.assertEqual(set(self.placement.route_runs_s), {"kept"})
        self.assertEqual(set(self.placement.answer_bytes), {"kept"})

    def test_local_target_is_chosen_while_it_has_room(self):
        self.report_all()
        self.assertEqual(self.choose_repeatedly(), {"n0"})

    def test_leaving_and_tried_targets_are_excluded(self):
        leaving = make_target("n0", 2, failure_domain="erie", leaving=True)
        put_target(self.targets, leaving, 1.0)
        self.assertEqual(self.choose_repeatedly(), {"n1"})
        tried = [self.targets.targets["n1"].identity]
        self.assertLessEqual(self.choose_repeatedly(excluded=tried), {"f0", "f1"})

    # Guards against a leaving target that is chosen again once its entry comes back.
    def test_target_that_says_it_is_leaving_is_excluded_until_it_restarts(self):
        identity = self.targets.targets["n0"].identity
        self.targets.notices.record(identity, TargetNotice(leaving=True), 0.0)
        self.assertNotIn("n0", self.choose_repeatedly())
        remove_target(self.targets, "n0", 5, 1.0)
        self.placement.drop_unlisted()
        for revision, born_ms, expected in ((6, None, False), (7, 9, True)):
            target = make_target("n0", revision, slots=10, born_ms=born_ms)
            put_target(self.targets, target, 2.0)
            self.assertEqual("n0" in self.choose_repeatedly(), expected)

    # Guards against a target that is never asked again after its limit has ended.
    def test_target_with_a_limit_is_probed_once_its_report_is_old(self):
        load = NodeLoad(1, 0, 1, 0.1, 0.0, False)
        self.placement.record_load(self.targets.targets["n0"], load, 0.0)
        self.report("n1", 6)
        self.assertNotIn("n0", self.choose_repeatedly())
        self.report("n1", 6, now_s=PROBE_AFTER_S + 0.1)
        self.assertIn("n0", self.choose_repeatedly(now_s=PROBE_AFTER_S + 0.1))

    def test_unreachable_target_is_excluded_for_a_while(self):
        self.placement.record_unreachable(self.targets.targets["n0"], 0.0)
        self.assertEqual(self.choose_repeatedly(), {"n1"})
        self.assertIn("n0", self.choose_repeatedly(now_s=1.0))

    def test_stopping_node_is_excluded(self):
        self.report_all()
        self.report("n0", 0, stopping=True)
        self.assertEqual(self.choose_repeatedly(), {"n1"})

    def test_target_that_fails_more_than_its_peers_is_ejected_and_tried_again(self):
        target = self.targets.targets["n0"]
        ejected = [self.placement.record_result(target, True, 0.0) for _ in range(8)]
        self.assertEqual(ejected.count(True), 1)
        self.assertEqual(self.choose_repeatedly(), {"n1"})
        self.assertIn("n0", self.choose_repeatedly(now_s=3.0))

    def test_no_target_is_ejected_when_all_fail_equally(self):
        for _ in range(8):
            for target in self.targets.targets.values():
                self.assertFalse(self.placement.record_result(target, True, 0.0))

    def test_slow_target_is_probed_once_its_report_is_old(self):
        self.report_all()
        self.report("n0", 0, work_s=3.0)
        self.assertEqual(self.choose_repeatedly(), {"n1"})
        later_s = PROBE_AFTER_S + 0.1
        self.report("n1", 1, now_s=later_s)
        self.assertIn("n0", self.choose_repeatedly(now_s=later_s))

    def test_urgent_work_stays_in_own_domain_where_other_work_queues(self):
        urgent = make_route("r", "/", rank=1)
        other = make_route("other", "/other/", rank=2)
        self.placement.set_routes(make_configuration(1, urgent, other))
        for name in ("n0", "n1"):
            self.report(name, 10, 60)
        self.assertLessEqual(self.choose_repeatedly(rank=1), {"n0", "n1"})

    def test_target_that_refused_gets_no_work_of_same_or_lower_priority(self):
        priority = (2, False)
        self.placement.record_refused(self.targets.targets["n0"], priority, 0.3, 0.0)
        self.assertNotIn("n0", self.choose_repeatedly(now_s=0.05))
        self.assertIn("n0", self.choose_repeatedly(now_s=0.05, rank=1))
        self.assertIn("n0", self.choose_repeatedly(now_s=0.2))

    def test_refusal_of_late_work_does_not_exclude_work_in_time(self):
        self.placement.record_run(self.targets.targets["n0"], "r", 0.2)
        priority = self.placement.get_priority(make_route("r", "/"), -0.1)
        self.placement.record_refused(self.targets.targets["n0"], priority, 0.3, 0.0)
        self.assertIn("n0", self.choose_repeatedly(now_s=0.05, objective_s=0.5))
        self.assertNotIn("n0", self.choose_repeatedly(now_s=0.05, objective_s=0.1))

    def test_slow_target_is_detected_by_the_age_of_its_attempts(self):
        self.report_all()
        for _ in range(3):
            self.placement.record_sent(self.targets.targets["n0"], 0.0)
        self.report("n1", 1, now_s=0.6)
        self.assertEqual(self.choose_repeatedly(now_s=0.6), {"n1"})

    def test_late_work_leaves_own_domain_once_its_targets_were_tried(self):
        for name in ("f0", "f1"):
            self.report(name, 10, 60)
        tried = [self.targets.targets[name].identity for name in ("n0", "n1")]
        self.assertIsNotNone(self.choose(excluded=tried))

    def refuse_near(self):
        for name in ("n0", "n1"):
            target = self.targets.targets[name]
            self.placement.record_refused(target, (2, False), 0.1, 0.0)

    def test_late_work_goes_to_another_domain_with_room(self):
        self.report_all(n0=10, n1=10, f0=3, f1=3)
        self.refuse_near()
        self.assertLessEqual(self.choose_repeatedly(objective_s=0.02), {"f0", "f1"})

    def test_late_work_does_not_go_to_a_nearly_full_domain(self):
        self.report_all(n0=10, n1=10, f0=8, f1=8)
        self.refuse_near()
        self.assertIsNone(self.choose(objective_s=0.02))

    def test_call_leaves_own_domain_after_refusals(self):
        for index in range(2, 6):
            target = make_target(f"n{index}", 1, failure_domain="erie", slots=10)
            self.entries.append((f"n{index}", target))
        apply_listing(self.targets, self.entries, 2, False, 0.0)
        self.report_all(f0=3, f1=3)
        tried = [self.targets.targets[name].identity for name in ("n0", "n3")]
        self.assertLessEqual(
            self.choose_repeatedly(excluded=tried[:1]), {f"n{i}" for i in range(6)}
        )
        self.assertLessEqual(self.choose_repeatedly(excluded=tried), {"f0", "f1"})

    def test_late_work_leaves_a_domain_without_targets(self):
        for name in ("n0", "n1"):
            remove_target(self.targets, name, 5, 0.0)
        for name in ("f0", "f1"):
            self.report(name, 10, 60)
        self.assertIsNotNone(self.choose())

    def test_choice_compares_a_bounded_number_of_targets(self):
        entries = [(f"m{i}", make_target(f"m{i}", 9)) for i in range(200)]
        apply_listing(self.targets, entries, 9, False, 0.0)
        rated = []
        estimate = self.placement.estimate_s
        self.placement.estimate_s = lambda *arguments: (
            rated.append(1) or estimate(*arguments)
        )
        self.choose()
        self.assertLessEqual(len(rated), 2 * MAX_COMPARED)

    def test_isolated_domain_uses_its_own_targets(self):
        for name in ("f0", "f1"):
            self.placement.record_unreachable(self.targets.targets[name], 0.0)
        self.report("n0", 10, 60)
        self.report("n1", 10, 60)
        self.assertLessEqual(self.choose_repeatedly(), {"n0", "n1"})
