"""Requests at the node that their caller reached: route, attempts, one answer.

Only work that provably did not run, or that is idempotent, is tried again, within
a budget that is a share of the service's traffic.
"""

from dataclasses import dataclass, field, replace

from balsamdeal.core import effects
from balsamdeal.core.membership import REFUSED, rank
from balsamdeal.core.outcomes import scope_key
from balsamdeal.core.replies import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    Reply,
    make_not_run,
    make_unknown,
)
from balsamdeal.core.retries import RetryBudget
from balsamdeal.snapshots import IDEMPOTENT_METHODS, match_route

DEADLINE_TIMER = "deadline"
HEDGE_TIMER = "hedge"
RETRY_TIMER = "retry"
RETRY_BASE_S = 0.005
MAX_ATTEMPTS = 4
MAX_MOVES = 3
PARK_BOUND_S = 0.5
RETRIED_STATUSES = frozenset({500, 502, 503, 504})
UNREACHABLE_STEPS = frozenset({"connect", REFUSED})


@dataclass(slots=True)
class Attempt:
    """One sending of a request to a target's node."""

    attempt_id: str
    vm: object
    sent_s: float


@dataclass(slots=True)
class Request:
    """A request that has no answer yet; pinned to the route it began on."""

    event: object
    route: object
    deadline_s: float
    idempotent: bool
    attempts: dict = field(default_factory=dict)
    tried: set = field(default_factory=set)
    sent: int = 0
    moves: int = 0
    last: object = None

    @property
    def key(self):
        """The key that nodes know the request by."""
        key = self.event.key or self.event.request_id
        return scope_key(self.event.workspace, key)

    @property
    def keyed(self):
        """Whether the caller's key decides where the request may run."""
        return bool(self.event.key) and not self.idempotent


class Ingress:
    """Requests of callers that have no answer yet; changed in place.

    :param distribution: the ``Distribution``, for the snapshot in force.
    :param routing: the ``Routing`` that chooses targets.
    """

    def __init__(self, distribution, routing):
        self.distribution = distribution
        self.membership = distribution.membership
        self.routing = routing
        self.requests = {}
        self.attempts = {}
        self.budgets = {}
        self.parked = []
        self.parked_until_s = 0.0

    def receive(self, event):
        """Route a request and send its first attempt."""
        distribution = self.distribution
        if distribution.draining:
            reply = make_not_run("drain", "", "this node is stopping")
            return [self._refuse(event, reply)]
        if distribution.starting or distribution.snapshot is None:
            reply = make_not_run("start", "", "no configuration is in force here yet")
            return [self._refuse(event, reply)]
        if event.now_s < self.parked_until_s:
            self.parked.append(event)
            return []
        snapshot = distribution.snapshot
        route = match_route(snapshot, event.workspace, event.method, event.path)
        if route is None:
            reply = Reply(
                NOT_RUN,
                404,
                step="route",
                peer=event.workspace,
                reason=f"no route for {event.method} {event.path}",
            )
            return [self._refuse(event, reply)]
        timeout_s = route.traffic_class.timeout_s
        if event.timeout_s is not None:
            timeout_s = min(timeout_s, event.timeout_s)
        idempotent = route.is_idempotent(event.method)
        request = Request(event, route, event.now_s + timeout_s, idempotent)
        self.requests[event.request_id] = request
        self._get_budget(route.service.name).note_request(event.now_s)
        timer = effects.SetTimer(DEADLINE_TIMER, event.request_id, request.deadline_s)
        result = [timer, *self._send(request, event.now_s)]
        hedge_s = route.traffic_class.hedge_after_s
        if hedge_s is not None and idempotent and event.may_retry:
            at_s = event.now_s + hedge_s
            result.append(effects.SetTimer(HEDGE_TIMER, event.request_id, at_s))
        return result

    def _refuse(self, event, reply):
        """Refuse a request at once; an earlier copy of its key may have run."""
        if event.key and event.method not in IDEMPOTENT_METHODS:
            reply = replace(reply, outcome=UNKNOWN)
        return self._answer(event, None, reply, 0)

    def _get_budget(self, service):
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget()
        return budget

    # Pauses

    def park(self, now_s):
        """Hold new requests back until the view is confirmed, or a bound passes."""
        self.parked_until_s = now_s + PARK_BOUND_S

    def release_parked(self, now_s, confirmed):
        """Take up held requests once the view is confirmed or the bound has passed."""
        if not confirmed and now_s < self.parked_until_s:
            return []
        self.parked_until_s = 0.0
        parked, self.parked = self.parked, []
        result = []
        for event in parked:
            result += self.receive(event)
        return result

    # Attempts

    def _send(self, request, now_s, vm=None):
        if vm is None:
            vm = self._choose(request, now_s)
        if vm is None:
            return self._finish(request, self._explain_no_target(request))
        route = request.route
        event = request.event
        request.sent += 1
        attempt_id = f"{event.request_id}.{request.sent}"
        attempt = Attempt(attempt_id, vm, now_s)
        request.attempts[attempt_id] = attempt
        request.tried.add(vm.name)
        self.attempts[attempt_id] = request
        self.routing.note_sent(vm.name)
        return [
            effects.SendAttempt(
                attempt_id,
                event.request_id,
                vm.name,
                vm.peer_address,
                route.service.name,
                (event.workspace, route.traffic_class.name),
                route.traffic_class.weight * route.share,
                request.key,
                event.fingerprint,
                not event.key,
                request.idempotent,
                max(0.001, request.deadline_s - now_s),
                self.distribution.get_wall_s(event.now_s),
                request.sent > 1,
            )
        ]

    def _choose(self, request, now_s):
        service = request.route.service
        if not request.keyed:
            return self.routing.choose(service, request.tried, now_s)
        members = self.membership.list_service(service.name)
        for vm in rank(request.key, members):
            if vm.name in request.tried or not self.membership.takes_work(vm, now_s):
                continue
            return vm
        return None

    def _explain_no_target(self, request):
        service = request.route.service.name
        if request.last is not None:
            return request.last
        if request.keyed:
            reason = "no target is left that knows this key"
            return make_unknown("choose", service, reason)
        return make_not_run("choose", service, "no target takes work")

    def _end_attempt(self, attempt_id):
        request = self.attempts.pop(attempt_id, None)
        if request is None:
            return None, None
        attempt = request.attempts.pop(attempt_id)
        self.routing.note_ended(attempt.vm.name)
        return request, attempt

    def take_reply(self, event):
        """Answer the caller, or try again where that is allowed."""
        request, attempt = self._end_attempt(event.attempt_id)
        if request is None:
            return []
        reply = event.reply
        vm_name = attempt.vm.name
        self.routing.note_load(vm_name, reply.load, event.now_s)
        if reply.outcome == ANSWERED:
            return self._take_answer(request, attempt, reply, event.now_s)
        result = []
        if reply.peer == "target" or reply.outcome == UNKNOWN:
            result += self._note_failure(request, attempt, event.now_s)
        request.last = reply
        if reply.moved_to:
            return result + self._follow(request, reply, event.now_s)
        if request.keyed:
            if self._is_draining(reply) and reply.step == "drain":
                return result + self._retry(request, event.now_s)
            return result + self._finish(request, reply)
        if reply.outcome == NOT_RUN or request.idempotent:
            return result + self._retry(request, event.now_s)
        return result + self._finish(request, reply)

    @staticmethod
    def _is_draining(reply):
        return reply.load is not None and reply.load.draining

    def _take_answer(self, request, attempt, reply, now_s):
        if reply.status in RETRIED_STATUSES:
            result = self._note_failure(request, attempt, now_s)
            request.last = reply
            if request.idempotent:
                return result + self._retry(request, now_s)
            return result + self._finish(request, reply)
        self.routing.note_success(attempt.vm.name, now_s - attempt.sent_s)
        return self._finish(request, reply)

    def _note_failure(self, request, attempt, now_s):
        service = request.route.service.name
        if not self.routing.note_failure(attempt.vm.name, service, now_s):
            return []
        self.distribution.count("ejections")
        return [effects.ReportChange("ejected", {"vm": attempt.vm.name})]

    def _follow(self, request, reply, now_s):
        vm = self.membership.vms.get(reply.moved_to)
        request.moves += 1
        if vm is None or request.moves > MAX_MOVES:
            reason = "the node that knows this key is not reachable"
            return self._finish(request, make_unknown("follow", reply.moved_to, reason))
        return self._send(request, now_s, vm)

    def take_failure(self, event):
        """Conclude what a failed attempt proves, and try again where allowed."""
        request, attempt = self._end_attempt(event.attempt_id)
        if request is None:
            return []
        result = self._note_failure(request, attempt, event.now_s)
        if event.step in UNREACHABLE_STEPS:
            self.membership.suspect(attempt.vm.peer_address, event.now_s)
        reason = "the exchange with the target's node failed"
        if event.step == REFUSED:
            self.membership.note_refusal(attempt.vm.peer_address, event.now_s)
        if event.written or request.keyed:
            # With a caller's key, an earlier copy may have run where this one
            # could not be delivered.
            request.last = make_unknown(event.step, event.peer, reason)
        else:
            request.last = make_not_run(event.step, event.peer, reason)
        if request.keyed and event.step != REFUSED:
            return result + self._finish(request, request.last)
        if request.idempotent or not event.written:
            # No process is left where a connection is refused; whether the next VM
            # may run a key in its place is for that VM to prove. A refused attempt
            # has loaded no target, so it takes nothing from the budget.
            free = event.step == REFUSED
            return result + self._retry(request, event.now_s, free)
        return result + self._finish(request, request.last)

    def _retry(self, request, now_s, free=False):
        if request.attempts:
            return []  # A hedge is still under way.
        allowed = (
            request.event.may_retry
            and request.sent < MAX_ATTEMPTS
            and now_s < request.deadline_s
            and (free or self._get_budget(request.route.service.name).spend(now_s))
        )
        if not allowed:
            return self._finish(request, request.last)
        self.distribution.count("retries")
        bound_s = RETRY_BASE_S * 2**request.sent
        at_s = now_s + self.routing.random.random() * bound_s
        return [effects.SetTimer(RETRY_TIMER, request.event.request_id, at_s)]

    def fire_timer(self, event):
        """A deadline, hedge or retry timer fired."""
        request = self.requests.get(event.subject)
        if request is None:
            return []
        if event.kind == DEADLINE_TIMER:
            return self._time_out(request)
        if event.kind == HEDGE_TIMER:
            return self._hedge(request, event.now_s)
        return self._send(request, event.now_s)

    def _time_out(self, request):
        if request.attempts:
            vm = next(iter(request.attempts.values())).vm
            reply = make_unknown("wait", vm.name, "no answer before the deadline")
        else:
            reply = request.last or make_not_run("wait", "", "the deadline passed")
        return self._finish(request, reply)

    def _hedge(self, request, now_s):
        if len(request.attempts) != 1 or request.sent >= MAX_ATTEMPTS:
            return []
        vm = self._choose(request, now_s)
        budget = self._get_budget(request.route.service.name)
        if vm is None or not budget.spend(now_s):
            return []
        self.distribution.count("hedges")
        return self._send(request, now_s, vm)

    def _finish(self, request, reply):
        result = []
        for attempt_id in list(request.attempts):
            self._end_attempt(attempt_id)
            result.append(effects.CancelAttempt(attempt_id))
        self.requests.pop(request.event.request_id, None)
        answer = self._answer(request.event, request.route, reply, request.sent)
        return [answer, *result]

    def _answer(self, event, route, reply, attempts):
        self.distribution.count(f"answers_{reply.outcome}")
        return effects.AnswerCaller(
            event.request_id,
            reply,
            route.service.name if route else "",
            route.traffic_class.name if route else "",
            event.workspace,
            attempts,
        )

    def leave(self, event):
        """The caller left: cancel what it waited for."""
        request = self.requests.pop(event.request_id, None)
        if request is None:
            return []
        result = []
        for attempt_id in list(request.attempts):
            self._end_attempt(attempt_id)
            result.append(effects.CancelAttempt(attempt_id))
        return result

    def is_idle(self):
        """Return whether every request has its answer."""
        return not (self.requests or self.parked)
