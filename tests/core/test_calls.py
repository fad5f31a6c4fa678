"""Tests of requests at their caller's node: attempts, repeats, truthful answers."""

import unittest
from dataclasses import replace
from random import Random

from balsamdeal.core import traffic
from balsamdeal.core.calls import (
    MAX_ASKED,
    MAX_ASKED_OVERLOADED,
    MAX_LATER_RETRY_S,
    Calls,
)
from balsamdeal.core.placement import Placement
from balsamdeal.core.targets import TargetList
from balsamdeal.core.waiting import LATER_RETRY_S
from tests.core.test_routes import make_configuration, make_route
from tests.core.test_targets import make_target

LOAD = traffic.NodeLoad(1, 0, 4, 0.1, 0.0, False)
ANSWERED = traffic.WorkReply(traffic.ANSWERED, True, "answered", load=LOAD)
FAILED = traffic.WorkReply(traffic.ANSWERED, True, "answered", failed=True, load=LOAD)
REFUSED = traffic.WorkReply(traffic.NOT_RUN, False, "no room", 0.2, load=LOAD)
DECLINED = traffic.WorkReply(traffic.NOT_RUN, True, "declined", 0.3, load=LOAD)
UNKNOWN = traffic.WorkReply(traffic.UNKNOWN, True, "read", load=LOAD)


class CallsTest(unittest.TestCase):
    """Three targets; ``/safe/`` may be repeated and ``/once/`` may not."""

    def setUp(self):
        self.targets = TargetList()
        entries = [(name, make_target(name, 1)) for name in ("a", "b", "c")]
        self.targets.apply_listing(entries, 1, False, 0.0)
        random = Random(3)
        placement = Placement(self.targets, "erie", "node-x", random)
        self.calls = Calls(placement, random, 0.2)
        self.calls.configuration = make_configuration(
            1,
            make_route("safe", "/safe/"),
            make_route("once", "/once/", idempotent=False),
            make_route("patient", "/patient/", timeout_s=100.0),
        )

    def receive(self, path="/safe/1", time_left_s=3.0, call_id=1, now_s=0.0):
        event = traffic.CallReceived(
            call_id, f"r{call_id}", "shop.example", path, time_left_s, now_s
        )
        return self.calls.receive(event)

    def pick(self, effects, kind):
        return [effect for effect in effects if isinstance(effect, kind)]

    def send(self, *arguments, **options):
        effects = self.receive(*arguments, **options)
        return self.pick(effects, traffic.SendAttempt)[0]

    def reply(self, attempt, reply, now_s=0.1):
        event = traffic.AttemptReplied(attempt.attempt_id, reply, now_s)
        return self.calls.take_reply(event)

    def fail(self, attempt, sent, now_s=0.1):
        event = traffic.AttemptFailed(attempt.attempt_id, sent, "connect", now_s)
        return self.calls.take_failure(event)

    def refusal(self, effects):
        chosen = self.pick(effects, traffic.RefuseCall)
        return chosen[0].status if chosen else None

    def refuse_late(self, time_left_s, now_s):
        """Have all targets ask a call back later; return when it shall come back."""
        effects = self.receive("/patient/", time_left_s, now_s=now_s)
        while self.pick(effects, traffic.SendAttempt):
            attempt = self.pick(effects, traffic.SendAttempt)[0]
            reply = replace(REFUSED, retry_after_s=LATER_RETRY_S)
            effects = self.reply(attempt, reply, now_s)
        return self.pick(effects, traffic.RefuseCall)[0].retry_after_s

    def count_asked(self, now_s):
        effects = self.receive("/safe/1", now_s=now_s)
        asked = 0
        while self.pick(effects, traffic.SendAttempt):
            asked += 1
            attempt = self.pick(effects, traffic.SendAttempt)[0]
            effects = self.reply(attempt, REFUSED, now_s)
        return asked

    def test_fewer_targets_are_asked_while_most_refuse(self):
        entries = [(name, make_target(name, 1)) for name in "abcdefgh"]
        self.targets.apply_listing(entries, 2, False, 0.0)
        self.assertEqual(self.count_asked(0.0), MAX_ASKED)
        asked = [self.count_asked(5.0 * number) for number in range(1, 12)]
        self.assertEqual(asked[-1], MAX_ASKED_OVERLOADED)
        for number in range(40):
            attempt = self.send(now_s=100.0 + number, call_id=200 + number)
            self.reply(attempt, ANSWERED, 100.0 + number)
        self.assertEqual(self.count_asked(200.0), MAX_ASKED)

    def test_patient_callers_are_asked_back_later(self):
        back_s = self.refuse_late(8.0, 0.0)
        self.assertGreaterEqual(back_s, 0.9 * 2.0)
        self.assertLessEqual(back_s, 8.0 / 3)
        self.assertLessEqual(self.refuse_late(2.0, 10.0), 1.3 * LATER_RETRY_S)
        self.assertLessEqual(self.refuse_late(90.0, 20.0), 1.3 * MAX_LATER_RETRY_S)

    def test_no_configuration_is_503_with_a_time_to_come_back(self):
        self.calls.configuration = None
        refusal = self.pick(self.receive(), traffic.RefuseCall)[0]
        self.assertEqual(refusal.status, 503)
        self.assertGreater(refusal.retry_after_s, 0)

    def test_no_route_is_404(self):
        self.assertEqual(self.refusal(self.receive("/none/")), 404)

    def test_answer_goes_to_the_caller(self):
        attempt = self.send()
        effects = self.reply(attempt, ANSWERED)
        relayed = self.pick(effects, traffic.RelayAnswer)[0]
        self.assertEqual(relayed.attempt_id, attempt.attempt_id)

    def test_time_left_is_the_smaller_of_route_and_caller(self):
        self.assertEqual(self.send(time_left_s=3.0).time_left_s, 2.0)
        self.assertEqual(self.send(time_left_s=0.5, call_id=2).time_left_s, 0.5)

    def test_caller_that_comes_back_has_spent_a_part_of_its_objective(self):
        self.send(time_left_s=3.0)
        attempt = self.send(time_left_s=2.8, call_id=2)
        self.assertAlmostEqual(attempt.objective_left_s, 0.3)
        self.assertEqual(attempt.objective_s, 0.5)

    def test_patient_callers_do_not_make_others_look_late(self):
        for call_id in range(1, 100):
            time_left_s = 9.0 if call_id % 20 == 5 else 3.0
            self.send(time_left_s=time_left_s, call_id=call_id)
        attempt = self.send(time_left_s=3.0, call_id=100)
        self.assertAlmostEqual(attempt.objective_left_s, 0.5)

    def test_refused_work_goes_to_another_target_also_if_it_may_run_once(self):
        first = self.send("/once/1")
        second = self.pick(self.reply(first, REFUSED), traffic.SendAttempt)[0]
        self.assertNotEqual(first.instance, second.instance)

    def test_work_that_may_run_once_is_never_sent_again_after_it_may_have_run(self):
        attempt = self.send("/once/1")
        effects = self.reply(attempt, UNKNOWN)
        self.assertEqual(self.refusal(effects), 502)
        attempt = self.send("/once/1", call_id=2)
        self.assertEqual(self.refusal(self.fail(attempt, True)), 502)

    def test_work_that_may_run_once_goes_on_when_nothing_was_sent(self):
        attempt = self.send("/once/1")
        effects = self.fail(attempt, False)
        self.assertTrue(self.pick(effects, traffic.SendAttempt))

    def test_refused_everywhere_is_503_with_the_shortest_time(self):
        attempt = self.send()
        effects = self.reply(attempt, REFUSED)
        while self.pick(effects, traffic.SendAttempt):
            attempt = self.pick(effects, traffic.SendAttempt)[0]
            effects = self.reply(attempt, REFUSED)
        refusal = self.pick(effects, traffic.RefuseCall)[0]
        self.assertEqual(refusal.status, 503)
        self.assertAlmostEqual(refusal.retry_after_s, 0.2, delta=0.07)

    def test_not_run_is_never_said_once_something_may_have_run(self):
        attempt = self.send()
        effects = self.reply(attempt, UNKNOWN)
        attempt = self.pick(effects, traffic.SendAttempt)[0]
        effects = self.reply(attempt, REFUSED)
        while self.pick(effects, traffic.SendAttempt):
            attempt = self.pick(effects, traffic.SendAttempt)[0]
            effects = self.reply(attempt, REFUSED)
        self.assertEqual(self.refusal(effects), 502)

    def test_failure_is_repeated_and_kept_if_the_repeat_does_no_better(self):
        first = self.send()
        effects = self.reply(first, FAILED)
        second = self.pick(effects, traffic.SendAttempt)[0]
        effects = self.reply(second, FAILED)
        relayed = self.pick(effects, traffic.RelayAnswer)[0]
        self.assertEqual(relayed.attempt_id, second.attempt_id)

    def test_targets_reached_stay_within_the_route_s_attempts(self):
        attempt = self.send()
        effects = self.reply(attempt, DECLINED)
        attempt = self.pick(effects, traffic.SendAttempt)[0]
        effects = self.reply(attempt, DECLINED)
        self.assertEqual(self.pick(effects, traffic.SendAttempt), [])
        self.assertEqual(self.refusal(effects), 503)

    def test_repeats_stay_within_the_budget(self):
        repeats = 0
        for call_id in range(1, 1001):
            attempt = self.send(call_id=call_id, now_s=call_id / 100)
            effects = self.reply(attempt, DECLINED, call_id / 100)
            repeats += len(self.pick(effects, traffic.SendAttempt))
        self.assertLessEqual(repeats, 0.2 * 1000)
        self.assertGreater(repeats, 0)

    def test_stopping_node_takes_late_calls_only_if_they_end_in_time(self):
        self.calls.stop = traffic.StopRequested(3.0, 5.0, 0.0)
        self.send(now_s=2.9, call_id=1)
        self.send(now_s=3.2, time_left_s=1.0, call_id=2)
        effects = self.receive(now_s=4.5, time_left_s=1.0, call_id=3)
        self.assertEqual(self.refusal(effects), 503)

    def test_caller_that_leaves_breaks_its_attempt_off(self):
        attempt = self.send()
        effects = self.calls.leave(traffic.CallerLeft(1, 0.2))
        cancelled = self.pick(effects, traffic.CancelAttempt)[0]
        self.assertEqual(cancelled.attempt_id, attempt.attempt_id)
        self.assertFalse(cancelled.silent)
        self.assertEqual(self.reply(attempt, ANSWERED), [])

    def test_time_out_is_504_and_breaks_the_attempt_off(self):
        self.send()
        effects = self.calls.time_out(traffic.TimerFired("call", 1, 2.1))
        self.assertEqual(self.refusal(effects), 504)
        self.assertTrue(self.pick(effects, traffic.CancelAttempt)[0].silent)
