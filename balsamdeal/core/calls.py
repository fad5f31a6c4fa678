"""Calls at the node that received them: one route, one or more attempts, one answer.

Work that is not idempotent is sent to a second target only if the first provably did
not begin it. Retries of idempotent work draw on a budget.
"""

from dataclasses import dataclass, field

from balsamdeal.core.crashes import CRASHES_TARGETS
from balsamdeal.core.repeats import RUNS_ONCE, RepeatRules
from balsamdeal.core.request_events import (
    ANSWERED,
    NOT_RUN,
    CancelAttempt,
    DropCall,
    LogDecision,
    RefuseCall,
    RelayAnswer,
    SendAttempt,
    SetTimer,
)
from balsamdeal.core.retries import RetryBudget
from balsamdeal.core.routes import WeightedChoice
from balsamdeal.core.spent_time import SpentTimeEstimator
from balsamdeal.core.work_queue import LATE_RETRY_AFTER_S

CALL_TIMER = "call"
# A call times out this long after its deadline, so that the target's node can time out
# first and reply.
TIMEOUT_SLACK_S = 0.06
# Most targets tried for one call; each refusal costs the caller a round trip. While the
# service's share of refusals is at most OVERLOAD_REFUSAL_SHARE, another target probably
# has room; above it the service is overloaded, and more attempts only add to its load.
MAX_TARGETS_TRIED = 6
MAX_TARGETS_TRIED_OVERLOADED = 3
OVERLOAD_REFUSAL_SHARE = 0.5
# Weight of the newest reply in a service's share of refusals, so that the share covers
# about the last twenty replies.
REFUSAL_EWMA_WEIGHT = 0.05
# Retry-After where the node has no configuration, and where it reaches no target.
NO_CONFIGURATION_RETRY_AFTER_S = 0.5
NO_TARGET_RETRY_AFTER_S = 0.4
# Retry-After of a call that will miss its objective in any case: this share of the time
# left, as callers wait for a third of it at most, up to a maximum in seconds. See
# docs/design/overload.md.
LATE_RETRY_AFTER_SHARE = 0.25
MAX_LATE_RETRY_AFTER_S = 3.0
# Retry-After of a node that is about to stop: by then callers have switched to others.
STOPPING_RETRY_AFTER_S = 0.2
# Time left below which a retry is not worth sending.
MIN_RETRY_TIME_S = 0.05
# Share of the retries allowed by operators that this node uses at most. Every node
# applies the same share to its own requests, so the fleet keeps to it at any size.
BUDGET_SAFETY_FACTOR = 0.7
# A retry of work that may have run also repeats the calls that its target makes.
UNCERTAIN_RETRY_COST = 4.0
DECLINED_RETRY_COST = 1.0
# What is known of the run of an attempt when its call is sent again. After the first
# three it has not run.
NOT_SENT = "not sent"
REFUSED_BY_NODE = "refused by a node"
DECLINED_BY_TARGET = "declined by its target"
MAY_HAVE_RUN = "may have run"
FAILED_ANSWER = "failed answer"


@dataclass(slots=True)
class Call:
    """A request without an answer; a new configuration does not change its route.

    ``event`` is the ``CallReceived``. ``tried`` holds the identities of the targets
    that attempts were sent to, ``target_reached`` counts those that may have received
    it. ``objective_at_s`` is when the route's objective ends, counted from the caller's
    first attempt as estimated. ``attempt_id``, ``target`` and ``sent_s`` describe the
    attempt in flight. ``retry_after_s`` is the shortest Retry-After of its refusals, or
    None. ``last_failed_attempt`` is the attempt whose answer was a failure. Times are
    the loop's, in seconds.
    """

    event: object
    route: object
    service: str
    deadline_s: float
    objective_at_s: float
    tried: set = field(default_factory=set)
    target_reached: int = 0
    attempt_id: int | None = None
    target: object = None
    sent_s: float = 0.0
    retry_after_s: float | None = None
    last_reason: str = ""
    last_failed_attempt: int | None = None
    may_have_run: bool = False

    def describe_repeat(self):
        """Return host and path if the request may have run already, else None."""
        if not self.may_have_run and self.last_failed_attempt is None:
            return None
        return (self.event.host, self.event.path)


class Calls:
    """Calls that have not been answered, and their attempts; changed in place.

    :param placement: the ``Placement`` that chooses targets.
    :param random: the seeded generator of the reducer.
    :param repeat_share: retries that operators allow per request.
    :param crash_news: the ``CrashNews``.
    :param repeat_rules: the ``RepeatRules``; by default none are known.
    """

    def __init__(self, placement, random, repeat_share, crash_news, repeat_rules=None):
        self.placement = placement
        self.repeat_rules = repeat_rules or RepeatRules()
        self.crash_news = crash_news
        self.crashes = crash_news.table
        self.random = random
        self.repeat_share = repeat_share
        self.configuration = None
        self.refuse_all = False
        self.stop = None
        self.own_node = placement.own_node
        self.targets = placement.targets
        self.calls = {}
        self.attempts = {}
        self.budgets = {}
        self.refusal_shares = {}
        self.spent_time = SpentTimeEstimator()
        self._backend_choice = WeightedChoice(random)
        self._next_attempt = 0

    def set_configuration(self, configuration):
        """Put a configuration in force for new calls, and drop what it lacks."""
        self.configuration = configuration
        routes = [
            route
            for routes in configuration.hosts.values()
            for route in routes.values()
        ]
        self._backend_choice.keep_routes(routes)
        self.spent_time.keep_routes(routes)

    def receive(self, event):
        """Route a call and send its first attempt."""
        if self.refuse_all:
            return self._refuse_new(
                event, 503, "node is stopping", STOPPING_RETRY_AFTER_S
            )
        if self.configuration is None:
            return self._refuse_new(
                event, 503, "no configuration yet", NO_CONFIGURATION_RETRY_AFTER_S
            )
        route = self.configuration.match(event.host, event.path)
        if route is None:
            return self._refuse_new(event, 404, "no route", None)
        quarantine_s = self.crashes.find_quarantine_s(event.digest, event.now_s)
        if quarantine_s:
            return self._refuse_new(event, 503, CRASHES_TARGETS, quarantine_s)
        left_s = route.timeout_s
        if event.time_left_s is not None:
            left_s = min(left_s, event.time_left_s)
        if self.stop is not None and not self.stop.accepts(event.now_s, left_s):
            return self._refuse_new(
                event, 503, "node is stopping", STOPPING_RETRY_AFTER_S
            )
        spent_s = self.spent_time.estimate_spent_s(route, event.time_left_s)
        call = Call(
            event,
            route,
            self._backend_choice.choose(route),
            event.now_s + left_s,
            event.now_s + route.objective_s - spent_s,
        )
        self.calls[event.call_id] = call
        self._get_budget(call.service).record_request(event.now_s)
        timer = SetTimer(CALL_TIMER, event.call_id, call.deadline_s + TIMEOUT_SLACK_S)
        return [timer, *self._send(call, event.now_s)]

    def _get_budget(self, service):
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget(
                self.repeat_share * BUDGET_SAFETY_FACTOR
            )
        return budget

    def _refuse_new(self, event, status, reason, retry_after_s):
        version = self.configuration.version if self.configuration else None
        decision = LogDecision(
            "call refused",
            {
                "request": event.request_id,
                "status": status,
                "reason": reason,
                "host": event.host,
                "version": version,
                "digest": event.digest,
                "crashes": self._list_crash_ids(event.digest),
            },
        )
        return [decision, RefuseCall(event.call_id, status, reason, retry_after_s)]

    def _list_crash_ids(self, digest):
        return [report.crash_id for report in self.crashes.list_crashes(digest)]

    # Attempts

    def _send(self, call, now_s, evidence=None):
        """Send the next attempt, or answer the caller if there is none.

        :param evidence: what is known of the last attempt's run, for the log; None for
            the first attempt.
        """
        target = None
        if self.crashes.find_quarantine_s(call.event.digest, now_s):
            return self._give_up(call, now_s)
        if len(call.tried) < self._get_max_targets_tried(call.service):
            target = self.placement.choose(
                call.service,
                call.tried,
                call.route,
                call.objective_at_s - now_s,
                now_s,
                call.deadline_s - now_s,
            )
        if target is None:
            return self._give_up(call, now_s)
        decisions = []
        if evidence is not None:
            decisions = [self._make_resend_decision(call, target, evidence, now_s)]
        self._next_attempt += 1
        call.attempt_id = self._next_attempt
        call.target = target
        call.tried.add(target.identity)
        self.attempts[call.attempt_id] = call
        call.sent_s = now_s
        self.placement.record_sent(target, now_s, call.route.name)
        return [
            *decisions,
            SendAttempt(
                call.attempt_id,
                call.event.call_id,
                target.node_address,
                target.node_address == self.own_node,
                target.instance,
                call.service,
                call.route.idempotent,
                call.route.rank,
                max(0.0, call.deadline_s - now_s),
                call.objective_at_s - now_s,
                call.route.objective_s,
                self.targets.notices.report_limit(target.identity, now_s),
                self.crashes.list_evidence(call.event.digest),
                call.describe_repeat(),
            ),
        ]

    def _make_resend_decision(self, call, target, evidence, now_s):
        fields = {
            "request": call.event.request_id,
            "route": call.route.name,
            "version": self.configuration.version,
            "idempotent": call.route.idempotent,
            "evidence": evidence,
            "last": call.last_reason,
            "instance": target.instance,
            "asked": len(call.tried),
            "reached": call.target_reached,
            "ms": round((now_s - call.event.now_s) * 1000),
        }
        # Refusals of nodes are frequent under load, and no target was reached.
        routine = call.route.idempotent or evidence == REFUSED_BY_NODE
        return LogDecision("call sent again", fields, routine)

    def _get_max_targets_tried(self, service):
        overloaded = self.refusal_shares.get(service, 0.0) > OVERLOAD_REFUSAL_SHARE
        return MAX_TARGETS_TRIED_OVERLOADED if overloaded else MAX_TARGETS_TRIED

    def _record_refusal_share(self, service, refused):
        known = self.refusal_shares.get(service, 0.0)
        self.refusal_shares[service] = known + REFUSAL_EWMA_WEIGHT * (refused - known)

    def _end_attempt(self, attempt_id):
        call = self.attempts.pop(attempt_id, None)
        if call is None:
            return None, None
        target = call.target
        call.attempt_id = None
        call.target = None
        self.placement.record_ended(target, call.sent_s)
        return call, target

    def handle_reply(self, event):
        """Relay the answer, or send another attempt where that is allowed."""
        call, target = self._end_attempt(event.attempt_id)
        if call is None:
            return []
        reply = event.reply
        now_s = event.now_s
        news = self.crash_news.record(reply.crash_reports, now_s)
        return news + self._handle_reply(call, target, event, now_s)

    def _handle_reply(self, call, target, event, now_s):
        reply = event.reply
        if reply.load is not None:
            self.placement.record_load(target, reply.load, now_s)
        call.target_reached += reply.target_reached
        call.last_reason = f"{target.instance}: {reply.reason}"
        if not reply.target_unavailable:
            self._record_refusal_share(call.service, reply.outcome == NOT_RUN)
        if reply.outcome == ANSWERED:
            self.targets.notices.record(target.identity, event.notice, now_s)
            return self._handle_answer(call, target, event, now_s)
        result = []
        if reply.target_reached:
            result += self._record_result(call, target, True, now_s)
        if reply.target_unavailable:
            self.placement.record_unreachable(target, now_s)
        if reply.outcome == NOT_RUN:
            self._keep_shortest_retry_after(call, reply.retry_after_s)
            # Work that is refused for its crashes, or as it may not run again, tells
            # nothing of the target's room.
            is_special = reply.crash_reports or reply.reason == RUNS_ONCE
            has_no_room = not (reply.target_unavailable or is_special)
            if has_no_room and not reply.target_reached:
                priority = self.placement.get_priority(
                    call.route, call.objective_at_s - now_s
                )
                self.placement.record_refused(
                    target, priority, reply.retry_after_s, now_s
                )
            if not reply.target_reached:
                return result + self._send(call, now_s, REFUSED_BY_NODE)
            if self._may_retry(call, now_s, DECLINED_RETRY_COST):
                return result + self._send(call, now_s, DECLINED_BY_TARGET)
            return result + self._give_up(call, now_s)
        call.may_have_run = True
        if self._may_repeat(call, now_s):
            return result + self._send(call, now_s, MAY_HAVE_RUN)
        return result + self._give_up(call, now_s)

    def _keep_shortest_retry_after(self, call, retry_after_s):
        known_s = call.retry_after_s
        if known_s is None or retry_after_s < known_s:
            call.retry_after_s = retry_after_s

    def _record_result(self, call, target, failed, now_s):
        if not self.placement.record_result(target, failed, now_s):
            return []
        fields = {
            "request": call.event.request_id,
            "instance": target.instance,
            "service": target.service,
        }
        return [LogDecision("target ejected", fields)]

    def _handle_answer(self, call, target, event, now_s):
        failed = event.reply.failed
        self.crashes.record_run(call.event.digest, now_s)
        if not failed:
            self.placement.record_run(
                target, call.route.name, event.reply.ran_s, event.answer_bytes
            )
        result = self._record_result(call, target, failed, now_s)
        if failed and self._may_repeat(call, now_s):
            # The caller gets this answer if no retry succeeds.
            call.last_failed_attempt = event.attempt_id
            return result + self._send(call, now_s, FAILED_ANSWER)
        self.calls.pop(call.event.call_id, None)
        result.append(
            LogDecision(
                "call answered",
                {
                    "request": call.event.request_id,
                    "route": call.route.name,
                    "version": self.configuration.version,
                    "instance": target.instance,
                    "asked": len(call.tried),
                    "failed": failed,
                    "ms": round((now_s - call.event.now_s) * 1000),
                },
                routine=not failed,
            )
        )
        result.append(self._relay(call, event.attempt_id))
        return result

    @staticmethod
    def _relay(call, attempt_id):
        return RelayAnswer(
            call.event.call_id, attempt_id, call.service, call.route.name
        )

    def _may_repeat(self, call, now_s):
        """Return whether work that may have run may run once more, and charge it."""
        event = call.event
        if not call.route.idempotent:
            return False
        if not self.repeat_rules.allow(event.host, event.path, event.now_s):
            return False
        return self._may_retry(call, now_s)

    def _may_retry(self, call, now_s, cost=UNCERTAIN_RETRY_COST):
        if self.crashes.find_quarantine_s(call.event.digest, now_s):
            return False
        if call.target_reached >= call.route.max_attempts:
            return False
        if call.deadline_s - now_s < MIN_RETRY_TIME_S:
            return False
        return self._get_budget(call.service).spend(now_s, cost)

    def handle_failure(self, event):
        """Send another attempt where that is allowed, or answer the caller."""
        call, target = self._end_attempt(event.attempt_id)
        if call is None:
            return []
        now_s = event.now_s
        call.last_reason = f"{target.node_address}: {event.step}"
        if not event.sent:
            self.placement.record_unreachable(target, now_s)
            self._keep_shortest_retry_after(call, NO_TARGET_RETRY_AFTER_S)
            return self._send(call, now_s, NOT_SENT)
        self.placement.record_unreachable(target, now_s)
        call.target_reached += 1
        call.may_have_run = True
        if self._may_repeat(call, now_s):
            return self._send(call, now_s, MAY_HAVE_RUN)
        return self._give_up(call, now_s)

    # Final answers

    def _give_up(self, call, now_s):
        """Answer without another attempt: relay a failed answer if any, else refuse."""
        call_id = call.event.call_id
        self.calls.pop(call_id, None)
        if call.last_failed_attempt is not None:
            return [self._relay(call, call.last_failed_attempt)]
        if call.may_have_run and call.deadline_s - now_s < MIN_RETRY_TIME_S:
            return self._fail(call, 504, "time is over", None, now_s)
        if call.may_have_run:
            return self._fail(call, 502, "target gave no answer", None, now_s)
        quarantine_s = self.crashes.find_quarantine_s(call.event.digest, now_s)
        if quarantine_s:
            return self._fail(call, 503, CRASHES_TARGETS, quarantine_s, now_s)
        retry_after_s = call.retry_after_s
        if not retry_after_s:
            retry_after_s = self.placement.get_retry_after_s(call.service, now_s)
        if not retry_after_s:
            retry_after_s = NO_TARGET_RETRY_AFTER_S
        if retry_after_s >= LATE_RETRY_AFTER_S:
            # An early retry cannot meet the objective; a later one is more likely to
            # find room.
            share_s = LATE_RETRY_AFTER_SHARE * (call.deadline_s - now_s)
            retry_after_s = max(retry_after_s, min(MAX_LATE_RETRY_AFTER_S, share_s))
        retry_after_s *= self.random.uniform(0.9, 1.3)
        reason = "no room" if call.tried else "no target"
        return self._fail(call, 503, reason, retry_after_s, now_s)

    def _fail(self, call, status, reason, retry_after_s, now_s):
        fields = {
            "request": call.event.request_id,
            "digest": call.event.digest,
            "crashes": self._list_crash_ids(call.event.digest),
            "route": call.route.name,
            "version": self.configuration.version,
            "status": status,
            "reason": reason,
            "last": call.last_reason,
            "asked": len(call.tried),
            "reached": call.target_reached,
            "list_age_s": round(now_s - (self.placement.targets.changed_s or now_s), 1),
            "retry_after_s": None if retry_after_s is None else round(retry_after_s, 2),
            "ms": round((now_s - call.event.now_s) * 1000),
        }
        refusal = RefuseCall(
            call.event.call_id,
            status,
            reason,
            retry_after_s,
            call.service,
            call.route.name,
        )
        return [LogDecision("call failed", fields), refusal]

    def handle_stop_ending(self, event):
        """Answer all calls in flight, as the process is about to exit.

        Their callers would otherwise see a closed connection.
        """
        now_s = event.now_s
        result = []
        for call in list(self.calls.values()):
            del self.calls[call.event.call_id]
            result += self._cancel(call)
            if call.last_failed_attempt is not None:
                result.append(self._relay(call, call.last_failed_attempt))
            else:
                result += self._fail(call, 502, "node is stopping", None, now_s)
        return result

    def handle_caller_left(self, event):
        """Drop a call whose caller closed its connection, and cancel its attempt."""
        call = self.calls.pop(event.call_id, None)
        if call is None:
            return []
        result = [DropCall(event.call_id)]
        fields = {
            "request": call.event.request_id,
            "ms": round((event.now_s - call.event.now_s) * 1000),
        }
        result.append(LogDecision("caller left", fields, routine=True))
        return result + self._cancel(call)

    def _cancel(self, call, silent=False):
        if call.attempt_id is None:
            return []
        attempt_id = call.attempt_id
        self._end_attempt(attempt_id)
        return [CancelAttempt(attempt_id, silent)]

    def handle_timeout(self, event):
        """Answer a call whose deadline has passed, and cancel its attempt."""
        call = self.calls.pop(event.subject, None)
        if call is None:
            return []
        target = call.target
        if target is not None:
            call.last_reason = f"{target.instance}: no reply in time"
        result = self._cancel(call, silent=True)
        if call.last_failed_attempt is not None:
            result.append(self._relay(call, call.last_failed_attempt))
            return result
        return result + self._fail(call, 504, "time is over", None, event.now_s)
