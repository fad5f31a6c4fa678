"""Requests at the node that their caller reached: one route, attempts, one answer.

Work that may not be repeated goes to a second target only where the first provably
did not begin it. Repeats of other work draw on a budget.
"""

from dataclasses import dataclass, field

from balsamdeal.core.patience import Patience
from balsamdeal.core.retries import RetryBudget
from balsamdeal.core.routes import WeightedChoice
from balsamdeal.core.traffic import (
    ANSWERED,
    NOT_RUN,
    CancelAttempt,
    Decision,
    DropCall,
    RefuseCall,
    RelayAnswer,
    SendAttempt,
    SetTimer,
)
from balsamdeal.core.waiting import LATER_RETRY_S

CALL_TIMER = "call"
# How much longer than the target's node a caller's node waits for the end of time.
TIMEOUT_SLACK_S = 0.06
# Nodes asked for one call at most; each that refuses costs the caller a round trip. Up
# to the share of refusals below, another target probably has room; above it the service
# is overloaded, and more asking only adds to that.
MAX_ASKED = 6
MAX_ASKED_OVERLOADED = 3
OVERLOADED_SHARE = 0.5
# Weight of the newest reply in a service's share of refusals: about twenty count.
REFUSAL_GAIN = 0.05
# When a caller comes back to a node that has no configuration or reaches no target.
NO_CONFIGURATION_RETRY_S = 0.5
NO_TARGET_RETRY_S = 0.4
# A caller that will be late anyway comes back after this share of its time left, as
# callers wait for a third of it at most, but not later than this, in seconds. Found on
# the queueing fake, see docs/design/overload.md.
LATER_SHARE = 0.25
MAX_LATER_RETRY_S = 3.0
# When a caller comes back that has reached a node in its last moments: its callers
# have left it by then.
STOPPING_RETRY_S = 0.2
# A repeat must have at least this long left to be worth sending.
MIN_REPEAT_S = 0.05
# Share of what operators allow that this node's repeats use up at most. Every node
# keeps to its part of the same share, so the fleet does, whatever its size.
BUDGET_USE = 0.7
# A repeat of work that may have run repeats the calls that its target makes, too.
RUN_REPEAT_COST = 4.0
DECLINED_REPEAT_COST = 1.0


@dataclass(slots=True)
class Call:
    """A caller's request without an answer; it keeps the route that it began on."""

    event: object
    route: object
    service: str
    deadline_s: float
    objective_at_s: float
    asked: set = field(default_factory=set)
    reached: int = 0
    attempt_id: int | None = None
    target: object = None
    sent_s: float = 0.0
    retry_after_s: float | None = None
    last_reason: str = ""
    last_failed_attempt: int | None = None
    may_have_run: bool = False


class Calls:
    """Calls without an answer; changed in place.

    :param placement: the ``Placement`` that chooses targets.
    :param random: the seeded generator of the reducer.
    :param repeat_share: extra attempts that operators allow for each request.
    """

    def __init__(self, placement, random, repeat_share):
        self.placement = placement
        self.random = random
        self.repeat_share = repeat_share
        self.configuration = None
        self.refusing = False
        self.stop = None
        self.own_node = placement.own_node
        self.calls = {}
        self.attempts = {}
        self.budgets = {}
        self.refusal_shares = {}
        self.patience = Patience()
        self._shares = WeightedChoice()
        self._next_attempt = 0

    def receive(self, event):
        """Route a call and send its first attempt."""
        if self.refusing:
            return self._refuse_new(event, 503, "node is stopping", STOPPING_RETRY_S)
        if self.configuration is None:
            return self._refuse_new(
                event, 503, "no configuration yet", NO_CONFIGURATION_RETRY_S
            )
        route = self.configuration.match(event.host, event.path)
        if route is None:
            return self._refuse_new(event, 404, "no route", None)
        left_s = route.timeout_s
        if event.time_left_s is not None:
            left_s = min(left_s, event.time_left_s)
        if self.stop is not None and not self.stop.takes(event.now_s, left_s):
            return self._refuse_new(event, 503, "node is stopping", STOPPING_RETRY_S)
        spent_s = self.patience.estimate_spent_s(route, event.time_left_s)
        call = Call(
            event,
            route,
            self._shares.choose(route),
            event.now_s + left_s,
            event.now_s + route.objective_s - spent_s,
        )
        self.calls[event.call_id] = call
        self._get_budget(call.service).note_request(event.now_s)
        timer = SetTimer(CALL_TIMER, event.call_id, call.deadline_s + TIMEOUT_SLACK_S)
        return [timer, *self._send(call, event.now_s)]

    def _get_budget(self, service):
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget(self.repeat_share * BUDGET_USE)
        return budget

    def _refuse_new(self, event, status, reason, retry_after_s):
        version = self.configuration.version if self.configuration else None
        decision = Decision(
            "call refused",
            {
                "request": event.request_id,
                "status": status,
                "reason": reason,
                "host": event.host,
                "version": version,
            },
        )
        return [decision, RefuseCall(event.call_id, status, reason, retry_after_s)]

    # Attempts

    def _send(self, call, now_s):
        target = None
        if len(call.asked) < self._get_max_asked(call.service):
            target = self.placement.choose(
                call.service,
                call.asked,
                call.route,
                call.objective_at_s - now_s,
                now_s,
            )
        if target is None:
            return self._give_up(call, now_s)
        self._next_attempt += 1
        call.attempt_id = self._next_attempt
        call.target = target
        call.asked.add(target.identity)
        self.attempts[call.attempt_id] = call
        call.sent_s = now_s
        self.placement.note_sent(target, now_s)
        return [
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
            )
        ]

    def _get_max_asked(self, service):
        overloaded = self.refusal_shares.get(service, 0.0) > OVERLOADED_SHARE
        return MAX_ASKED_OVERLOADED if overloaded else MAX_ASKED

    def _note_refusal_share(self, service, refused):
        known = self.refusal_shares.get(service, 0.0)
        self.refusal_shares[service] = known + REFUSAL_GAIN * (refused - known)

    def _end_attempt(self, attempt_id):
        call = self.attempts.pop(attempt_id, None)
        if call is None:
            return None, None
        target = call.target
        call.attempt_id = None
        call.target = None
        self.placement.note_ended(target, call.sent_s)
        return call, target

    def take_reply(self, event):
        """Answer the caller, or try again where that is allowed."""
        call, target = self._end_attempt(event.attempt_id)
        if call is None:
            return []
        reply = event.reply
        now_s = event.now_s
        if reply.load is not None:
            self.placement.note_load(target, reply.load, now_s)
        call.reached += reply.reached
        call.last_reason = f"{target.instance}: {reply.reason}"
        if not reply.unusable:
            self._note_refusal_share(call.service, reply.outcome == NOT_RUN)
        if reply.outcome == ANSWERED:
            return self._take_answer(call, target, event, now_s)
        result = []
        if reply.reached:
            result += self._note_result(call, target, True, now_s)
        elif reply.unusable:
            self.placement.note_unreachable(target, now_s)
        if reply.outcome == NOT_RUN:
            self._note_return(call, reply.retry_after_s)
            if not (reply.reached or reply.unusable):
                order = self.placement.get_order(
                    call.route, call.objective_at_s - now_s
                )
                self.placement.note_refused(target, order, reply.retry_after_s, now_s)
            if not reply.reached or self._may_repeat(call, now_s, DECLINED_REPEAT_COST):
                return result + self._send(call, now_s)
            return result + self._give_up(call, now_s)
        call.may_have_run = True
        if call.route.idempotent and self._may_repeat(call, now_s):
            return result + self._send(call, now_s)
        return result + self._give_up(call, now_s)

    def _note_return(self, call, retry_after_s):
        known_s = call.retry_after_s
        if known_s is None or retry_after_s < known_s:
            call.retry_after_s = retry_after_s

    def _note_result(self, call, target, failed, now_s):
        if not self.placement.note_result(target, failed, now_s):
            return []
        fields = {
            "request": call.event.request_id,
            "instance": target.instance,
            "service": target.service,
        }
        return [Decision("target ejected", fields)]

    def _take_answer(self, call, target, event, now_s):
        failed = event.reply.failed
        if not failed:
            self.placement.note_run(target, call.route.name, event.reply.ran_s)
        result = self._note_result(call, target, failed, now_s)
        if failed and call.route.idempotent and self._may_repeat(call, now_s):
            # The failure is kept for the caller in case no repeat does better.
            call.last_failed_attempt = event.attempt_id
            return result + self._send(call, now_s)
        self.calls.pop(call.event.call_id, None)
        result.append(
            Decision(
                "call answered",
                {
                    "request": call.event.request_id,
                    "route": call.route.name,
                    "version": self.configuration.version,
                    "instance": target.instance,
                    "asked": len(call.asked),
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

    def _may_repeat(self, call, now_s, cost=RUN_REPEAT_COST):
        if call.reached >= call.route.max_attempts:
            return False
        if call.deadline_s - now_s < MIN_REPEAT_S:
            return False
        return self._get_budget(call.service).spend(now_s, cost)

    def take_failure(self, event):
        """Try again, or tell the caller what is known."""
        call, target = self._end_attempt(event.attempt_id)
        if call is None:
            return []
        now_s = event.now_s
        call.last_reason = f"{target.node_address}: {event.step}"
        if not event.sent:
            self.placement.note_unreachable(target, now_s)
            self._note_return(call, NO_TARGET_RETRY_S)
            return self._send(call, now_s)
        self.placement.note_unreachable(target, now_s)
        call.reached += 1
        call.may_have_run = True
        if call.route.idempotent and self._may_repeat(call, now_s):
            return self._send(call, now_s)
        return self._give_up(call, now_s)

    # Ends

    def _give_up(self, call, now_s):
        """Give the final answer at once: an own one, or a failure that came before."""
        call_id = call.event.call_id
        self.calls.pop(call_id, None)
        if call.last_failed_attempt is not None:
            return [self._relay(call, call.last_failed_attempt)]
        if call.may_have_run and call.deadline_s - now_s < MIN_REPEAT_S:
            return self._end(call, 504, "time is over", None, now_s)
        if call.may_have_run:
            return self._end(call, 502, "target gave no answer", None, now_s)
        retry_after_s = call.retry_after_s
        if not retry_after_s:
            retry_after_s = self.placement.get_retry_after_s(call.service, now_s)
        if not retry_after_s:
            retry_after_s = NO_TARGET_RETRY_S
        if retry_after_s >= LATER_RETRY_S:
            # Nothing is left to gain by haste, and patient callers meet more room.
            share_s = LATER_SHARE * (call.deadline_s - now_s)
            retry_after_s = max(retry_after_s, min(MAX_LATER_RETRY_S, share_s))
        retry_after_s *= self.random.uniform(0.9, 1.3)
        reason = "no room" if call.asked else "no target"
        return self._end(call, 503, reason, retry_after_s, now_s)

    def _end(self, call, status, reason, retry_after_s, now_s):
        fields = {
            "request": call.event.request_id,
            "route": call.route.name,
            "version": self.configuration.version,
            "status": status,
            "reason": reason,
            "last": call.last_reason,
            "asked": len(call.asked),
            "reached": call.reached,
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
        return [Decision("call failed", fields), refusal]

    def leave(self, event):
        """Forget a call whose caller has left, and break off its attempt."""
        call = self.calls.pop(event.call_id, None)
        if call is None:
            return []
        result = [DropCall(event.call_id)]
        fields = {
            "request": call.event.request_id,
            "ms": round((event.now_s - call.event.now_s) * 1000),
        }
        result.append(Decision("caller left", fields, routine=True))
        return result + self._cancel(call)

    def _cancel(self, call, silent=False):
        if call.attempt_id is None:
            return []
        attempt_id = call.attempt_id
        self._end_attempt(attempt_id)
        return [CancelAttempt(attempt_id, silent)]

    def time_out(self, event):
        """Answer a call whose time is over."""
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
        return result + self._end(call, 504, "time is over", None, event.now_s)
