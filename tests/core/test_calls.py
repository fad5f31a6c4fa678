"""Tests of calls at the node that received them: attempts, retries, final answers."""

import unittest
from dataclasses import replace
from random import Random

from balsamdeal.core import request_events
from balsamdeal.core.calls import (
    MAX_LATE_RETRY_AFTER_S,
    MAX_TARGETS_TRIED,
    MAX_TARGETS_TRIED_OVERLOADED,
    Calls,
)
from balsamdeal.core.crash_news import CrashNews
from balsamdeal.core.crashes import CrashTable
from balsamdeal.core.placement import Placement
from balsamdeal.core.targets import TargetList
from balsamdeal.core.work_queue import LATE_RETRY_AFTER_S
from tests.core.test_routes import make_configuration, make_route
from tests.core.test_targets import apply_listing, make_target, remove_target

LOAD = request_events.NodeLoad(1, 0, 4, 0.1, 0.0, False)
ANSWERED = request_events.WorkReply(
    request_events.ANSWERED, True, "answered", load=LOAD
)
FAILED = request_events.WorkReply(
    request_events.ANSWERED, True, "answered", failed=True, load=LOAD
)
REFUSED = request_events.WorkReply(
    request_events.NOT_RUN, False, "no room", 0.2, load=LOAD
)
DECLINED = request_events.WorkReply(
    request_events.NOT_RUN, True, "declined", 0.3, load=LOAD
)
UNKNOWN = request_events.WorkReply(request_events.UNKNOWN, True, "read", load=LOAD)


class CallsTest(unittest.TestCase):
    """Three targets; ``/safe/`` is idempotent and ``/once/`` is not."""

    def setUp(self):
        self.targets = TargetList()
        entries = [(name, make_target(name, 1)) for name in ("a", "b", "c")]
        apply_listing(self.targets, entries, 1, False, 0.0)
        random = Random(3)
        placement = Placement(self.targets, "erie", "node-x", random)
        self.crashes = CrashTable()
        news = CrashNews(self.crashes, self.targets, "node-x", "erie", random)
        self.calls = Calls(placement, random, 0.2, news)
        self.calls.configuration = make_configuration(
            1,
            make_route("safe", "/safe/"),
            make_route("once", "/once/", idempotent=False),
            make_route("patient", "/patient/", timeout_s=100.0),
        )

    def receive(self, path="/safe/1", time_left_s=3.0, call_id=1, now_s=0.0):
        event = request_events.CallReceived(
            call_id, f"r{call_id}", "shop.example", path, time_left_s, now_s
        )
        return self.calls.receive(event)

    def filter_effects(self, effects, kind):
        return [effect for effect in effects if isinstance(effect, kind)]

    def send(self, *arguments, **options):
        effects = self.receive(*arguments, **options)
        return self.filter_effects(effects, request_events.SendAttempt)[0]

    def reply(self, attempt, reply, now_s=0.1):
        event = request_events.AttemptReplied(attempt.attempt_id, reply, now_s)
        return self.calls.handle_reply(event)

    def fail(self, attempt, sent, now_s=0.1):
        event = request_events.AttemptFailed(attempt.attempt_id, sent, "connect", now_s)
        return self.calls.handle_failure(event)

    def refusal(self, effects):
        chosen = self.filter_effects(effects, request_events.RefuseCall)
        return chosen[0].status if chosen else None

    def refuse_late(self, time_left_s, now_s):
        """Refuse a call as late at all targets; return its Retry-After."""
        effects = self.receive("/patient/", time_left_s, now_s=now_s)
        while self.filter_effects(effects, request_events.SendAttempt):
            attempt = self.filter_effects(effects, request_events.SendAttempt)[0]
            reply = replace(REFUSED, retry_after_s=LATE_RETRY_AFTER_S)
            effects = self.reply(attempt, reply, now_s)
        return self.filter_effects(effects, request_events.RefuseCall)[0].retry_after_s

    def count_tried(self, now_s):
        effects = self.receive("/safe/1", now_s=now_s)
        tried = 0
        while self.filter_effects(effects, request_events.SendAttempt):
            tried += 1
            attempt = self.filter_effects(effects, request_events.SendAttempt)[0]
            effects = self.reply(attempt, REFUSED, now_s)
        return tried

    def test_fewer_targets_are_tried_while_most_refuse(self):
        entries = [(name, make_target(name, 1)) for name in "abcdefgh"]
        apply_listing(self.targets, entries, 2, False, 0.0)
        self.assertEqual(self.count_tried(0.0), MAX_TARGETS_TRIED)
        tried = [self.count_tried(5.0 * number) for number in range(1, 12)]
        self.assertEqual(tried[-1], MAX_TARGETS_TRIED_OVERLOADED)
        for number in range(40):
            attempt = self.send(now_s=100.0 + number, call_id=200 + number)
            self.reply(attempt, ANSWERED, 100.0 + number)
        self.assertEqual(self.count_tried(200.0), MAX_TARGETS_TRIED)

    def test_callers_with_more_time_get_a_longer_retry_after(self):
        retry_after_s = self.refuse_late(8.0, 0.0)
        self.assertGreaterEqual(retry_after_s, 0.9 * 2.0)
        self.assertLessEqual(retry_after_s, 8.0 / 3)
        self.assertLessEqual(self.refuse_late(2.0, 10.0), 1.3 * LATE_RETRY_AFTER_S)
        self.assertLessEqual(self.refuse_late(90.0, 20.0), 1.3 * MAX_LATE_RETRY_AFTER_S)

    def test_no_configuration_is_503_with_retry_after(self):
        self.calls.configuration = None
        refusal = self.filter_effects(self.receive(), request_events.RefuseCall)[0]
        self.assertEqual(refusal.status, 503)
        self.assertGreater(refusal.retry_after_s, 0)

    def test_no_route_is_404(self):
        self.assertEqual(self.refusal(self.receive("/none/")), 404)

    def test_answer_goes_to_the_caller(self):
        attempt = self.send()
        effects = self.reply(attempt, ANSWERED)
        relayed = self.filter_effects(effects, request_events.RelayAnswer)[0]
        self.assertEqual(relayed.attempt_id, attempt.attempt_id)

    def test_time_left_is_the_smaller_of_route_and_caller(self):
        self.assertEqual(self.send(time_left_s=3.0).time_left_s, 2.0)
        self.assertEqual(self.send(time_left_s=0.5, call_id=2).time_left_s, 0.5)

    def test_retrying_caller_has_spent_part_of_its_objective(self):
        self.send(time_left_s=3.0)
        attempt = self.send(time_left_s=2.8, call_id=2)
        self.assertAlmostEqual(attempt.objective_left_s, 0.3)
        self.assertEqual(attempt.objective_s, 0.5)

    def test_callers_with_more_time_do_not_make_others_late(self):
        for call_id in range(1, 100):
            time_left_s = 9.0 if call_id % 20 == 5 else 3.0
            self.send(time_left_s=time_left_s, call_id=call_id)
        attempt = self.send(time_left_s=3.0, call_id=100)
        self.assertAlmostEqual(attempt.objective_left_s, 0.5)

    # Guards against a notice that is passed on to the caller but not obeyed.
    def test_next_attempts_follow_the_notice_of_an_answer(self):
        for instance in ("b", "c"):
            remove_target(self.targets, instance, 2, 0.0)
        attempt = self.send()
        self.assertIsNone(attempt.limit_report)
        notice = request_events.TargetNotice(True, 4.0)
        event = request_events.AttemptReplied(attempt.attempt_id, ANSWERED, 0.1, notice)
        self.calls.handle_reply(event)
        report = self.send(call_id=2, now_s=0.6).limit_report
        self.assertEqual(report, request_events.LimitReport(4.0, 0.5))

    def test_refused_work_goes_to_another_target_even_if_not_idempotent(self):
        first = self.send("/once/1")
        second = self.filter_effects(
            self.reply(first, REFUSED), request_events.SendAttempt
        )[0]
        self.assertNotEqual(first.instance, second.instance)

    def test_non_idempotent_work_is_not_retried_once_it_may_have_run(self):
        attempt = self.send("/once/1")
        effects = self.reply(attempt, UNKNOWN)
        self.assertEqual(self.refusal(effects), 502)
        attempt = self.send("/once/1", call_id=2)
        self.assertEqual(self.refusal(self.fail(attempt, True)), 502)

    def test_non_idempotent_work_is_retried_if_nothing_was_sent(self):
        attempt = self.send("/once/1")
        effects = self.fail(attempt, False)
        self.assertTrue(self.filter_effects(effects, request_events.SendAttempt))

    def test_refused_everywhere_is_503_with_the_shortest_retry_after(self):
        attempt = self.send()
        effects = self.reply(attempt, REFUSED)
        while self.filter_effects(effects, request_events.SendAttempt):
            attempt = self.filter_effects(effects, request_events.SendAttempt)[0]
            effects = self.reply(attempt, REFUSED)
        refusal = self.filter_effects(effects, request_events.RefuseCall)[0]
        self.assertEqual(refusal.status, 503)
        self.assertAlmostEqual(refusal.retry_after_s, 0.2, delta=0.07)

    def test_status_is_502_once_the_work_may_have_run(self):
        attempt = self.send()
        effects = self.reply(attempt, UNKNOWN)
        attempt = self.filter_effects(effects, request_events.SendAttempt)[0]
        effects = self.reply(attempt, REFUSED)
        while self.filter_effects(effects, request_events.SendAttempt):
            attempt = self.filter_effects(effects, request_events.SendAttempt)[0]
            effects = self.reply(attempt, REFUSED)
        self.assertEqual(self.refusal(effects), 502)

    def test_failed_answer_is_retried_and_relayed_if_the_retry_fails(self):
        first = self.send()
        effects = self.reply(first, FAILED)
        second = self.filter_effects(effects, request_events.SendAttempt)[0]
        effects = self.reply(second, FAILED)
        relayed = self.filter_effects(effects, request_events.RelayAnswer)[0]
        self.assertEqual(relayed.attempt_id, second.attempt_id)

    def test_targets_reached_stay_within_max_attempts(self):
        attempt = self.send()
        effects = self.reply(attempt, DECLINED)
        attempt = self.filter_effects(effects, request_events.SendAttempt)[0]
        effects = self.reply(attempt, DECLINED)
        self.assertEqual(self.filter_effects(effects, request_events.SendAttempt), [])
        self.assertEqual(self.refusal(effects), 503)

    def test_retries_stay_within_the_budget(self):
        retries = 0
        for call_id in range(1, 1001):
            attempt = self.send(call_id=call_id, now_s=call_id / 100)
            effects = self.reply(attempt, DECLINED, call_id / 100)
            retries += len(self.filter_effects(effects, request_events.SendAttempt))
        self.assertLessEqual(retries, 0.2 * 1000)
        self.assertGreater(retries, 0)

    def test_stopping_node_takes_late_calls_only_if_they_end_in_time(self):
        self.calls.stop = request_events.StopRequested(3.0, 5.0, 0.0)
        self.send(now_s=2.9, call_id=1)
        self.send(now_s=3.2, time_left_s=1.0, call_id=2)
        effects = self.receive(now_s=4.5, time_left_s=1.0, call_id=3)
        self.assertEqual(self.refusal(effects), 503)

    # Guards against requests that were read and end with a closed connection, as their
    # answers were still on their way when a stopping node exited.
    def test_calls_in_flight_are_answered_when_a_stopping_node_exits(self):
        self.send(call_id=1)
        failed = self.send(call_id=2)
        self.reply(failed, FAILED)
        effects = self.calls.handle_stop_ending(request_events.StopEnding(4.0))
        statuses = {
            effect.call_id: effect.status
            for effect in self.filter_effects(effects, request_events.RefuseCall)
        }
        relayed = self.filter_effects(effects, request_events.RelayAnswer)
        self.assertEqual(statuses, {1: 502})
        self.assertEqual([effect.call_id for effect in relayed], [2])
        cancelled = self.filter_effects(effects, request_events.CancelAttempt)
        self.assertEqual(len(cancelled), 2)
        self.assertEqual((self.calls.calls, self.calls.attempts), ({}, {}))

    def test_disconnected_caller_cancels_its_attempt(self):
        attempt = self.send()
        effects = self.calls.handle_caller_left(request_events.CallerLeft(1, 0.2))
        cancelled = self.filter_effects(effects, request_events.CancelAttempt)[0]
        self.assertEqual(cancelled.attempt_id, attempt.attempt_id)
        self.assertFalse(cancelled.silent)
        self.assertEqual(self.reply(attempt, ANSWERED), [])

    def test_timeout_is_504_and_cancels_the_attempt(self):
        self.send()
        effects = self.calls.handle_timeout(request_events.TimerFired("call", 1, 2.1))
        self.assertEqual(self.refusal(effects), 504)
        self.assertTrue(
            self.filter_effects(effects, request_events.CancelAttempt)[0].silent
        )
