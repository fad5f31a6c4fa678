"""Tests of work at a target's node: admission, order, outcomes, leaving, stopping."""

import unittest
from random import Random

from balsamdeal.core import request_events
from balsamdeal.core.crash_news import CrashNews
from balsamdeal.core.crashes import CrashReport, CrashTable, LostRun
from balsamdeal.core.link_queue import LinkQueue
from balsamdeal.core.request_events import TargetNotice
from balsamdeal.core.target_work import (
    LEAVING_GRACE_S,
    MAX_SUSPECTS,
    START_TIMER,
    TargetWork,
)
from balsamdeal.core.targets import TargetList
from balsamdeal.core.work_queue import MAX_WAITING_BYTES
from tests.core.test_targets import make_target, put_target, remove_target


def make_work(work_id, now_s=0.0, **changes):
    """Return work with 1.5 s until its deadline and an objective of 0.5 s."""
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
    return request_events.WorkReceived(work_id=work_id, now_s=now_s, **fields)


class TargetWorkTest(unittest.TestCase):
    """A node whose target has two slots."""

    def setUp(self):
        self.targets = TargetList()
        self.target_work = self.make_target_work()
        self.list_target(1, slots=2)

    def make_target_work(self, **options):
        random = Random(5)
        news = CrashNews(CrashTable(), self.targets, "node-a", "erie", random)
        return TargetWork(self.targets, "node-a", news, **options)

    def list_target(self, revision, now_s=0.0, **changes):
        target = make_target("a", revision, **changes)
        put_target(self.targets, target, now_s)
        self.target_work.update_targets(now_s)

    def receive(self, *arguments, **changes):
        return self.target_work.receive(make_work(*arguments, **changes))

    def end(self, work_id, now_s, **changes):
        fields = {"declined": False, "misdirected": False, "failed": False, **changes}
        event = request_events.TargetReplied(work_id, now_s=now_s, **fields)
        return self.target_work.handle_reply(event)

    def fail(self, work_id, now_s):
        event = request_events.TargetFailed(work_id, True, "read", now_s)
        return self.target_work.handle_failure(event)

    def filter_effects(self, effects, kind):
        return [effect for effect in effects if isinstance(effect, kind)]

    def check_target(self, effects, refused, now_s):
        """Answer the only check of the target among effects."""
        self.assertEqual(
            len(self.filter_effects(effects, request_events.CheckTarget)), 1
        )
        event = request_events.TargetChecked(refused, now_s)
        return self.target_work.handle_checked(event)

    def get_started_ids(self, effects):
        return [
            effect.work_id
            for effect in self.filter_effects(effects, request_events.RunWork)
        ]

    def get_outcomes(self, effects):
        chosen = self.filter_effects(effects, request_events.ReplyWork)
        return [(effect.work_id, effect.reply.outcome) for effect in chosen]

    def fill_slots(self):
        for work_id in (1, 2):
            self.assertEqual(self.get_started_ids(self.receive(work_id)), [work_id])
        self.target_work.queue.work_s = 0.04

    def test_never_more_runs_than_slots(self):
        self.fill_slots()
        self.assertEqual(self.get_started_ids(self.receive(3)), [])
        self.assertEqual(self.get_started_ids(self.end(1, 0.02)), [3])

    # Guards against runs whose answers cannot leave the VM before callers give up.
    def test_large_answer_that_the_link_cannot_carry_in_time_is_refused(self):
        self.target_work = self.make_target_work(link=LinkQueue(3.5))
        self.list_target(2, slots=2)
        self.receive(1)
        reply = self.filter_effects(
            self.end(1, 0.1, answer_bytes=90_000), request_events.ReplyWork
        )[0].reply
        self.assertIsNone(reply.load.link)
        self.target_work.link.add("x", 400_000, 0.0)
        self.assertEqual(self.get_started_ids(self.receive(2, 0.2)), [2])
        self.target_work.link.add("y", 400_000, 0.0)
        effects = self.receive(3, 0.2)
        self.assertEqual(self.get_outcomes(effects), [(3, request_events.NOT_RUN)])
        reply = self.filter_effects(effects, request_events.ReplyWork)[0].reply
        self.assertGreater(reply.load.link.wait_s, 1.5)
        self.assertEqual(self.get_started_ids(self.receive(4, 0.2, local=True)), [4])

    # Guards against large answers that are taken for small ones, as the target has
    # declined or failed other requests, whose answers are small.
    def test_only_good_answers_tell_the_usual_size(self):
        self.target_work = self.make_target_work(link=LinkQueue(3.5))
        self.list_target(2, slots=2)
        self.receive(1)
        self.end(1, 0.1, answer_bytes=90_000)
        for number in range(2, 60, 2):
            self.receive(number, 0.1)
            self.end(number, 0.1, declined=True)
            self.receive(number + 1, 0.1)
            self.end(number + 1, 0.1, failed=True, answer_bytes=40)
        self.receive(100, 0.1)
        self.assertGreater(self.target_work.make_load(0.1).link.wait_s, 0.2)

    # Guards against answers to patient callers that wait for the link and take all
    # memory of a VM.
    def test_large_answers_are_refused_while_many_bytes_wait_for_the_link(self):
        self.target_work = self.make_target_work(link=LinkQueue(50.0))
        self.list_target(2, slots=2)
        patient = {"time_left_s": 60.0}
        self.receive(1, **patient)
        self.end(1, 0.1, answer_bytes=600_000)
        self.target_work.link.add("x", MAX_WAITING_BYTES - 600_000, 0.0)
        self.assertEqual(self.get_started_ids(self.receive(2, 0.2, **patient)), [2])
        self.target_work.link.add("y", 600_001, 0.0)
        effects = self.receive(3, 0.2, **patient)
        self.assertEqual(self.get_outcomes(effects), [(3, request_events.NOT_RUN)])

    def test_work_with_too_long_a_wait_is_refused_on_arrival(self):
        self.fill_slots()
        self.target_work.queue.work_s = 0.4
        effects = self.receive(3)
        self.assertEqual(self.get_outcomes(effects), [(3, request_events.NOT_RUN)])
        reply = self.filter_effects(effects, request_events.ReplyWork)[0].reply
        self.assertFalse(reply.target_reached)
        self.assertGreater(reply.retry_after_s, 0.1)

    def test_load_of_a_stuck_target_reports_the_age_of_its_runs(self):
        self.fill_slots()
        self.assertAlmostEqual(self.target_work.make_load(2.0).work_s, 2.0)
        self.end(1, 2.0)
        self.end(2, 2.0)
        self.assertLess(self.target_work.make_load(2.0).work_s, 0.5)

    def test_urgent_work_goes_first(self):
        self.fill_slots()
        self.receive(3)
        self.receive(4, rank=1)
        self.assertEqual(self.get_started_ids(self.end(1, 0.02)), [4])

    def test_work_that_can_meet_its_objective_goes_before_late_work(self):
        self.fill_slots()
        self.receive(3, objective_left_s=-0.2)
        self.receive(4)
        self.assertEqual(self.get_started_ids(self.end(1, 0.001)), [4])

    def test_queued_work_is_refused_when_the_target_has_become_slow(self):
        self.fill_slots()
        timer = self.filter_effects(self.receive(3), request_events.SetTimer)[0]
        self.assertLess(timer.at_s, 0.6)
        event = request_events.TimerFired("work", 3, timer.at_s)
        effects = self.target_work.handle_timeout(event)
        reply = self.filter_effects(effects, request_events.ReplyWork)[0].reply
        self.assertEqual(reply.outcome, request_events.NOT_RUN)
        self.assertGreater(reply.retry_after_s, 0)

    def test_work_that_expires_in_the_queue_has_not_run(self):
        self.fill_slots()
        self.receive(3)
        event = request_events.TimerFired("work", 3, 1.6)
        self.assertEqual(
            self.get_outcomes(self.target_work.handle_timeout(event)),
            [(3, request_events.NOT_RUN)],
        )
        self.assertEqual(self.get_started_ids(self.end(1, 1.7)), [])

    def test_run_that_times_out_has_an_unknown_outcome(self):
        self.fill_slots()
        effects = self.target_work.handle_timeout(
            request_events.TimerFired("work", 1, 1.52)
        )
        self.assertEqual(self.get_outcomes(effects), [(1, request_events.UNKNOWN)])
        self.assertEqual(
            self.filter_effects(effects, request_events.CancelWork)[0].work_id, 1
        )

    def test_sent_work_without_an_answer_is_unknown_and_unsent_has_not_run(self):
        self.fill_slots()
        for work_id, sent, outcome in (
            (1, True, request_events.UNKNOWN),
            (2, False, request_events.NOT_RUN),
        ):
            event = request_events.TargetFailed(work_id, sent, "read", 0.1)
            effects = self.target_work.handle_failure(event)
            if sent:
                effects += self.check_target(effects, refused=False, now_s=0.1)
            self.assertEqual(self.get_outcomes(effects), [(work_id, outcome)])

    # Guards against one crash that counts as several, as its runs end one by one.
    def test_crash_is_reported_once_with_all_its_runs(self):
        self.receive(1, digest="one")
        self.receive(2, digest="two")
        effects = self.fail(1, 0.1)
        self.assertEqual(self.get_outcomes(effects), [])
        effects = self.check_target(effects, refused=True, now_s=0.1)
        replies = self.filter_effects(effects, request_events.ReplyWork)
        (report,) = replies[0].reply.crash_reports
        self.assertEqual(replies[0].reply.outcome, request_events.UNKNOWN)
        self.assertEqual({run.digest for run in report.runs}, {"one", "two"})
        (reply,) = self.filter_effects(self.fail(2, 0.1), request_events.ReplyWork)
        self.assertEqual(reply.reply.crash_reports, (report,))
        self.assertEqual(self.target_work.crashes.count("two"), 1)

    # Guards against a broken answer that is taken for a crash.
    def test_lost_run_of_a_target_that_accepts_connections_is_no_crash(self):
        self.receive(1, digest="one")
        effects = self.fail(1, 0.1)
        effects = self.check_target(effects, refused=False, now_s=0.1)
        reply = self.filter_effects(effects, request_events.ReplyWork)[0].reply
        self.assertEqual(reply.crash_reports, ())
        self.assertEqual(self.target_work.crashes.count("one"), 0)

    def suspect(self, *digests, crashes=1):
        for number in range(crashes):
            runs = tuple(LostRun(digest, 0.1) for digest in digests)
            report = CrashReport(f"c{number}", number - 10.0, runs)
            self.target_work.crashes.merge(report, 0.0)

    # Guards against a crash that tells nothing, as all that was in an earlier one runs
    # at the same target again.
    def test_requests_that_were_in_a_crash_run_apart(self):
        self.list_target(2, slots=9)
        self.suspect("a", "b", "c", "d")
        for work_id, digest in enumerate("abcd", 1):
            started = self.get_started_ids(self.receive(work_id, digest=digest))
            self.assertEqual(started, [work_id] if work_id <= MAX_SUSPECTS else [])
        self.assertEqual(self.get_started_ids(self.receive(9, digest="new")), [9])
        self.assertEqual(self.get_started_ids(self.end(1, 0.1)), [3])
        effects = self.target_work.handle_timeout(
            request_events.TimerFired("work", 4, 0.6)
        )
        self.assertEqual(self.get_outcomes(effects), [(4, request_events.NOT_RUN)])
        self.assertEqual(self.target_work.held, {})

    def test_request_that_was_in_two_crashes_runs_beside_no_other_suspect(self):
        self.list_target(2, slots=9)
        self.suspect("a", "b", crashes=2)
        self.assertEqual(self.get_started_ids(self.receive(1, digest="a")), [1])
        self.assertEqual(self.get_started_ids(self.receive(2, digest="b")), [])
        event = request_events.WorkAbandoned(1, 0.1)
        self.assertEqual(self.get_started_ids(self.target_work.abandon(event)), [2])

    # Guards against a refusal that says "not run" of work that has run.
    def test_request_that_crashes_targets_is_refused_and_has_not_run(self):
        self.suspect("a", crashes=3)
        effects = self.receive(1, digest="a")
        self.assertEqual(self.get_started_ids(effects), [])
        (reply,) = self.filter_effects(effects, request_events.ReplyWork)
        self.assertEqual(reply.reply.outcome, request_events.NOT_RUN)
        self.assertEqual(len(reply.reply.crash_reports), 3)

    def test_declined_work_has_not_run_but_reached_the_target(self):
        self.fill_slots()
        effects = self.end(1, 0.01, declined=True)
        reply = self.filter_effects(effects, request_events.ReplyWork)[0].reply
        self.assertEqual(
            (reply.outcome, reply.target_reached), (request_events.NOT_RUN, True)
        )

    def test_another_server_at_the_address_makes_the_target_unusable(self):
        self.fill_slots()
        effects = self.end(1, 0.01, declined=True, misdirected=True)
        reply = self.filter_effects(effects, request_events.ReplyWork)[0].reply
        self.assertEqual(
            (reply.outcome, reply.target_unavailable), (request_events.NOT_RUN, True)
        )

    def test_misdirected_instance_gets_no_work_until_the_pause_is_over(self):
        self.fill_slots()
        self.receive(3)
        effects = self.end(1, 0.01, declined=True, misdirected=True)
        # The queued work for this instance is refused too, and so is later work.
        self.assertEqual(self.get_started_ids(effects), [])
        self.assertIn((3, request_events.NOT_RUN), self.get_outcomes(effects))
        effects = self.receive(4, 0.5)
        self.assertEqual(self.get_outcomes(effects), [(4, request_events.NOT_RUN)])
        self.assertEqual(
            self.get_started_ids(self.receive(5, 0.5, instance="new")), [5]
        )
        self.end(5, 0.6)
        # The server may have been restarted with the same instance name.
        self.assertEqual(self.get_started_ids(self.receive(6, 4.0)), [6])

    def test_abandoned_run_is_cancelled_and_frees_its_slot(self):
        self.fill_slots()
        self.receive(3)
        effects = self.target_work.abandon(request_events.WorkAbandoned(1, 0.02))
        self.assertEqual(
            self.filter_effects(effects, request_events.CancelWork)[0].work_id, 1
        )
        self.assertEqual(self.get_started_ids(effects), [3])

    def test_leaving_target_gets_nothing_new_after_a_second(self):
        self.list_target(2, 10.0, slots=2, leaving=True)
        self.assertEqual(self.get_started_ids(self.receive(1, 10.5)), [1])
        effects = self.receive(2, 10.0 + LEAVING_GRACE_S + 0.1)
        self.assertEqual(self.get_outcomes(effects), [(2, request_events.NOT_RUN)])

    def test_queued_work_of_a_leaving_target_is_not_started_later(self):
        self.fill_slots()
        self.list_target(2, 0.0, slots=2, leaving=True)
        self.receive(3, 0.01, time_left_s=4.0)
        effects = self.end(1, LEAVING_GRACE_S + 0.1)
        self.assertEqual(self.get_started_ids(effects), [])
        self.assertIn((3, request_events.NOT_RUN), self.get_outcomes(effects))

    def test_target_removed_from_the_list_gets_nothing_after_a_second(self):
        remove_target(self.targets, "a", 5, 10.0)
        self.target_work.update_targets(10.0)
        effects = self.receive(1, 10.0 + LEAVING_GRACE_S + 0.1)
        self.assertEqual(self.get_outcomes(effects), [(1, request_events.NOT_RUN)])

    # Guards against a list without the leaving of a target that says so itself.
    def test_target_that_says_it_is_leaving_gets_nothing_new_after_a_second(self):
        self.list_target(2, slots=2, born_ms=7)
        self.receive(1)
        self.end(1, 0.1, notice=TargetNotice(leaving=True))
        self.list_target(3, 0.5, slots=2, born_ms=7)
        self.assertEqual(self.get_started_ids(self.receive(2, 0.6)), [2])
        effects = self.receive(3, 0.1 + LEAVING_GRACE_S + 0.1)
        self.assertEqual(self.get_outcomes(effects), [(3, request_events.NOT_RUN)])
        self.list_target(4, 3.0, slots=2, born_ms=8)
        self.assertEqual(self.get_started_ids(self.receive(4, 3.1)), [4])

    # Guards against an answer of the last process that reaches the node after the list
    # has shown its restart.
    def test_late_notice_of_a_process_does_not_concern_its_restart(self):
        self.list_target(2, slots=2, born_ms=7)
        self.receive(1)
        self.list_target(3, 0.5, slots=2, born_ms=8)
        self.end(1, 0.6, notice=TargetNotice(leaving=True))
        self.assertEqual(self.get_started_ids(self.receive(2, 2.0)), [2])

    # Guards against the notice of a server that took over the address.
    def test_notice_of_another_server_does_not_concern_the_target(self):
        self.receive(1)
        notice = TargetNotice(leaving=True)
        self.end(1, 0.1, misdirected=True, declined=True, notice=notice)
        self.assertEqual(self.get_started_ids(self.receive(2, 10.0)), [2])

    # Guards against more starts than the limit that the target names.
    def test_work_beyond_the_limit_waits_and_starts_in_turn(self):
        self.receive(1)
        self.end(1, 0.1, notice=TargetNotice(True, 10.0))
        self.receive(2, 0.1)
        for work_id in (3, 4, 5):
            # Patient enough to wait for its turn.
            effects = self.receive(work_id, 0.11, objective_left_s=5.0, time_left_s=8.0)
            self.end(work_id - 1, 0.12, notice=TargetNotice(True, 10.0))
        timer = self.filter_effects(effects, request_events.SetTimer)[-1]
        self.assertEqual((timer.kind, timer.subject), (START_TIMER, 0))
        self.assertEqual(self.get_started_ids(effects), [])
        event = request_events.TimerFired(START_TIMER, 0, timer.at_s)
        effects = self.target_work.handle_start_timer(event)
        self.assertEqual(len(self.get_started_ids(effects)), 1)

    def test_load_reports_fewer_runs_under_a_limit(self):
        self.receive(1)
        self.end(1, 0.1, notice=TargetNotice(True, 1.0))
        self.receive(2, 0.1)
        load = self.target_work.make_load(0.1)
        self.assertEqual(load.limit, 1)
        self.assertGreater(load.queued + load.busy, 1)
        self.assertGreater(load.wait_s, 0.5)

    def test_target_that_was_never_listed_gets_work(self):
        self.assertEqual(self.get_started_ids(self.receive(1, instance="new")), [1])

    def test_slots_of_a_forged_entry_at_the_address_are_ignored(self):
        self.receive(1)
        self.end(1, 0.1)
        forged = make_target("forged", 9, slots=500, node_address="node-a")
        put_target(self.targets, forged, 1.0)
        self.target_work.update_targets(1.0)
        self.assertEqual(self.target_work.queue.limit, 2)

    def test_stopping_node_accepts_late_work_only_if_it_ends_in_time(self):
        self.target_work.stop = request_events.StopRequested(3.0, 5.0, 0.0)
        self.assertEqual(
            self.get_started_ids(self.receive(1, 2.9, time_left_s=4.0)), [1]
        )
        self.assertEqual(
            self.get_started_ids(self.receive(2, 3.5, time_left_s=1.4)), [2]
        )
        effects = self.receive(3, 4.0, time_left_s=1.4)
        reply = self.filter_effects(effects, request_events.ReplyWork)[0].reply
        self.assertEqual(
            (reply.outcome, reply.target_unavailable), (request_events.NOT_RUN, True)
        )
        self.assertTrue(self.target_work.make_load(4.0).stopping)

    def test_load_reports_a_stop_only_shortly_before_the_end(self):
        # In a rolling restart, the fleet loses a target for as long as its node reports
        # the stop.
        self.target_work.stop = request_events.StopRequested(3.0, 5.0, 0.0)
        self.assertFalse(self.target_work.make_load(1.4).stopping)
        self.assertTrue(self.target_work.make_load(1.5).stopping)

    def test_node_refuses_all_work_right_before_its_exit(self):
        self.target_work.refuse_all = True
        self.assertEqual(
            self.get_outcomes(self.receive(1)), [(1, request_events.NOT_RUN)]
        )
