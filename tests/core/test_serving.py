"""Tests of work at a target's node: admission, order, truth of "not run", leaving."""

import unittest

from balsamdeal.core import traffic
from balsamdeal.core.serving import LEAVING_S, Serving
from balsamdeal.core.targets import TargetList
from tests.core.test_targets import make_target


def make_work(work_id, now_s=0.0, **changes):
    """Return work of a caller that waits for 1.5 s and hopes for 0.5 s."""
    fields = {
        "request_id": f"r{work_id}",
        "instance": "a",
        "service": "desk",
        "idempotent": True,
        "rank": 2,
        "time_left_s": 1.5,
        "objective_left_s": 0.5,
        "objective_s": 0.5,
        **changes,
    }
    return traffic.WorkReceived(work_id=work_id, now_s=now_s, **fields)


class ServingTest(unittest.TestCase):
    """One target with two slots."""

    def setUp(self):
        self.targets = TargetList()
        self.serving = Serving(self.targets, "node-a")
        self.list(1, slots=2)

    def list(self, revision, now_s=0.0, **changes):
        target = make_target("a", revision, **changes)
        self.targets.apply_changes([("a", target, revision)], revision, now_s)
        self.serving.note_targets(now_s)

    def receive(self, *arguments, **changes):
        return self.serving.receive(make_work(*arguments, **changes))

    def end(self, work_id, now_s, **changes):
        fields = {"declined": False, "misdirected": False, "failed": False, **changes}
        event = traffic.TargetReplied(work_id, now_s=now_s, **fields)
        return self.serving.take_reply(event)

    def pick(self, effects, kind):
        return [effect for effect in effects if isinstance(effect, kind)]

    def started(self, effects):
        return [effect.work_id for effect in self.pick(effects, traffic.RunWork)]

    def replies(self, effects):
        chosen = self.pick(effects, traffic.ReplyWork)
        return [(effect.work_id, effect.reply.outcome) for effect in chosen]

    def fill(self):
        for work_id in (1, 2):
            self.assertEqual(self.started(self.receive(work_id)), [work_id])
        self.serving.queue.work_s = 0.04

    def test_never_more_runs_than_slots(self):
        self.fill()
        self.assertEqual(self.started(self.receive(3)), [])
        self.assertEqual(self.started(self.end(1, 0.02)), [3])

    def test_work_that_would_wait_too_long_is_refused_at_once(self):
        self.fill()
        self.serving.queue.work_s = 0.4
        effects = self.receive(3)
        self.assertEqual(self.replies(effects), [(3, traffic.NOT_RUN)])
        reply = self.pick(effects, traffic.ReplyWork)[0].reply
        self.assertFalse(reply.reached)
        self.assertGreater(reply.retry_after_s, 0.1)

    def test_target_that_ends_nothing_reports_the_age_of_its_runs(self):
        self.fill()
        self.assertAlmostEqual(self.serving.make_load(2.0).work_s, 2.0)
        self.end(1, 2.0)
        self.end(2, 2.0)
        self.assertLess(self.serving.make_load(2.0).work_s, 0.5)

    def test_urgent_work_goes_first(self):
        self.fill()
        self.receive(3)
        self.receive(4, rank=1)
        self.assertEqual(self.started(self.end(1, 0.02)), [4])

    def test_work_that_can_be_in_time_goes_before_late_work(self):
        self.fill()
        self.receive(3, objective_left_s=-0.2)
        self.receive(4)
        self.assertEqual(self.started(self.end(1, 0.001)), [4])

    def test_work_leaves_the_queue_when_the_target_has_become_slow(self):
        self.fill()
        timer = self.pick(self.receive(3), traffic.SetTimer)[0]
        self.assertLess(timer.at_s, 0.6)
        event = traffic.TimerFired("work", 3, timer.at_s)
        effects = self.serving.time_out(event)
        reply = self.pick(effects, traffic.ReplyWork)[0].reply
        self.assertEqual(reply.outcome, traffic.NOT_RUN)
        self.assertGreater(reply.retry_after_s, 0)

    def test_work_whose_time_is_over_while_it_waits_has_not_run(self):
        self.fill()
        self.receive(3)
        event = traffic.TimerFired("work", 3, 1.6)
        self.assertEqual(
            self.replies(self.serving.time_out(event)), [(3, traffic.NOT_RUN)]
        )
        self.assertEqual(self.started(self.end(1, 1.7)), [])

    def test_run_that_ends_with_its_time_may_have_run(self):
        self.fill()
        effects = self.serving.time_out(traffic.TimerFired("work", 1, 1.52))
        self.assertEqual(self.replies(effects), [(1, traffic.UNKNOWN)])
        self.assertEqual(self.pick(effects, traffic.CancelWork)[0].work_id, 1)

    def test_sent_work_without_an_answer_is_unknown_and_unsent_has_not_run(self):
        self.fill()
        for work_id, sent, outcome in (
            (1, True, traffic.UNKNOWN),
            (2, False, traffic.NOT_RUN),
        ):
            event = traffic.TargetFailed(work_id, sent, "read", 0.1)
            effects = self.serving.take_failure(event)
            self.assertEqual(self.replies(effects), [(work_id, outcome)])

    def test_declined_work_has_not_run_but_reached_the_target(self):
        self.fill()
        effects = self.end(1, 0.01, declined=True)
        reply = self.pick(effects, traffic.ReplyWork)[0].reply
        self.assertEqual((reply.outcome, reply.reached), (traffic.NOT_RUN, True))

    def test_another_server_at_the_address_makes_the_target_unusable(self):
        self.fill()
        effects = self.end(1, 0.01, declined=True, misdirected=True)
        reply = self.pick(effects, traffic.ReplyWork)[0].reply
        self.assertEqual((reply.outcome, reply.unusable), (traffic.NOT_RUN, True))

    def test_work_for_a_server_that_is_not_there_any_more_reaches_no_other(self):
        self.fill()
        self.receive(3)
        effects = self.end(1, 0.01, declined=True, misdirected=True)
        # The waiting one is refused along, and so is what comes later.
        self.assertEqual(self.started(effects), [])
        self.assertIn((3, traffic.NOT_RUN), self.replies(effects))
        effects = self.receive(4, 0.5)
        self.assertEqual(self.replies(effects), [(4, traffic.NOT_RUN)])
        self.assertEqual(self.started(self.receive(5, 0.5, instance="new")), [5])
        self.end(5, 0.6)
        # It may have started again under its name.
        self.assertEqual(self.started(self.receive(6, 4.0)), [6])

    def test_abandoned_run_is_broken_off_and_frees_its_slot(self):
        self.fill()
        self.receive(3)
        effects = self.serving.abandon(traffic.WorkAbandoned(1, 0.02))
        self.assertEqual(self.pick(effects, traffic.CancelWork)[0].work_id, 1)
        self.assertEqual(self.started(effects), [3])

    def test_leaving_target_gets_nothing_new_after_a_second(self):
        self.list(2, 10.0, slots=2, leaving=True)
        self.assertEqual(self.started(self.receive(1, 10.5)), [1])
        effects = self.receive(2, 10.0 + LEAVING_S + 0.1)
        self.assertEqual(self.replies(effects), [(2, traffic.NOT_RUN)])

    def test_work_that_waits_for_a_leaving_target_is_not_begun_later(self):
        self.fill()
        self.list(2, 0.0, slots=2, leaving=True)
        self.receive(3, 0.01, time_left_s=4.0)
        effects = self.end(1, LEAVING_S + 0.1)
        self.assertEqual(self.started(effects), [])
        self.assertIn((3, traffic.NOT_RUN), self.replies(effects))

    def test_target_that_left_the_list_gets_nothing_after_a_second(self):
        self.targets.apply_changes([("a", None, 5)], 5, 10.0)
        self.serving.note_targets(10.0)
        effects = self.receive(1, 10.0 + LEAVING_S + 0.1)
        self.assertEqual(self.replies(effects), [(1, traffic.NOT_RUN)])

    def test_target_that_no_list_named_yet_is_served(self):
        self.assertEqual(self.started(self.receive(1, instance="new")), [1])

    def test_slots_of_a_forged_entry_at_the_address_are_not_taken(self):
        self.receive(1)
        self.end(1, 0.1)
        forged = make_target("forged", 9, slots=500, node_address="node-a")
        self.targets.apply_changes([("forged", forged, 9)], 9, 1.0)
        self.serving.note_targets(1.0)
        self.assertEqual(self.serving.queue.limit, 2)

    def test_stopping_node_takes_late_work_only_if_it_ends_in_time(self):
        self.serving.stop = traffic.StopRequested(3.0, 5.0, 0.0)
        self.assertEqual(self.started(self.receive(1, 2.9, time_left_s=4.0)), [1])
        self.assertEqual(self.started(self.receive(2, 3.5, time_left_s=1.4)), [2])
        effects = self.receive(3, 4.0, time_left_s=1.4)
        reply = self.pick(effects, traffic.ReplyWork)[0].reply
        self.assertEqual((reply.outcome, reply.unusable), (traffic.NOT_RUN, True))
        self.assertTrue(self.serving.make_load(4.0).stopping)

    def test_stopping_node_works_for_others_until_its_end_is_near(self):
        # A fleet whose nodes are restarted in turn loses a target for each of them.
        self.serving.stop = traffic.StopRequested(3.0, 5.0, 0.0)
        self.assertFalse(self.serving.make_load(1.4).stopping)
        self.assertTrue(self.serving.make_load(1.5).stopping)

    def test_stopping_node_refuses_at_its_end(self):
        self.serving.refusing = True
        self.assertEqual(self.replies(self.receive(1)), [(1, traffic.NOT_RUN)])
