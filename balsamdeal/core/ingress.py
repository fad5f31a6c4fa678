"""Requests at the ingress node: routing, attempts, retries and the final answer.

A request is retried only if it is idempotent or provably did not run. Retries are
limited to a budget, which is a share of the service's requests, unless the attempt's
connection was refused. Then also non-idempotent requests with a caller's key are sent
to the next VM, which must itself prove that the key has not run.
"""

from dataclasses import dataclass, field, replace

from balsamdeal.core import effects
from balsamdeal.core.key_records import scope_key
from balsamdeal.core.membership import REFUSED, rank
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
RETRY_BACKOFF_BASE_S = 0.005
MAX_ATTEMPTS = 4
MAX_REDIRECTS = 3
MAX_HOLD_S = 0.5
RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})
UNREACHABLE_STEPS = frozenset({"connect", REFUSED})


@dataclass(slots=True)
class Attempt:
    """One attempt to run a request, sent to the node of a target's VM."""

    attempt_id: str
    vm: object
    sent_s: float


@dataclass(slots=True)
class Request:
    """A request without an answer; keeps its first route when the snapshot changes.

    ``deadline_s`` is the loop's time in seconds.
    ``idempotent`` is that of the route and method, ``attempts`` holds the attempts
    in flight by id, ``attempt_count`` counts all that were sent, and ``redirects``
    those that were redirected by a ``Reply.moved_to``.
    """

    event: object
    route: object
    deadline_s: float
    idempotent: bool
    attempts: dict = field(default_factory=dict)
    tried_vms: set = field(default_factory=set)
    attempt_count: int = 0
    redirects: int = 0
    last_reply: object = None

    @property
    def key(self):
        """The workspace-scoped key under which nodes record the request.

        Without a caller's key it is made from the request id.
        """
        key = self.event.key or self.event.request_id
        return scope_key(self.event.workspace, key)

    @property
    def placed_by_key(self):
        """Whether the ranking of VMs for the key decides where the request may run.

        True for requests with a caller's key that are not idempotent.
        """
        return bool(self.event.key) and not self.idempotent


class Ingress:
    """Callers' requests that have no answer yet; changed in place.

    :param distribution: the ``Distribution``, which holds the snapshot in force.
    :param routing: the ``Routing`` that chooses targets.
    """

    def __init__(self, distribution, routing):
        self.distribution = distribution
        self.membership = distribution.membership
        self.routing = routing
        self.requests = {}
        self.attempts = {}
        self.budgets = {}
        self.held_requests = []
        self.held_until_s = 0.0

    def receive(self, event):
        """Route a request and send its first attempt, or refuse it at once."""
        distribution = self.distribution
        if distribution.draining:
            reply = make_not_run("drain", "", "this node is stopping")
            return [self._refuse(event, reply)]
        if distribution.starting or distribution.snapshot is None:
            reply = make_not_run("start", "", "no configuration is in force here yet")
            return [self._refuse(event, reply)]
        if event.now_s < self.held_until_s:
            self.held_requests.append(event)
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
        self._get_budget(route.service.name).record_request(event.now_s)
        timer = effects.SetTimer(DEADLINE_TIMER, event.request_id, request.deadline_s)
        result = [timer, *self._send(request, event.now_s)]
        hedge_delay_s = route.traffic_class.hedge_after_s
        if hedge_delay_s is not None and idempotent and event.may_retry:
            at_s = event.now_s + hedge_delay_s
            result.append(effects.SetTimer(HEDGE_TIMER, event.request_id, at_s))
        return result

    def _refuse(self, event, reply):
        """Answer a request without an attempt.

        With a caller's key the outcome is UNKNOWN, since an earlier copy may have run.
        """
        if event.key and event.method not in IDEMPOTENT_METHODS:
            reply = replace(reply, outcome=UNKNOWN)
        return self._answer(event, None, reply, 0)

    def _get_budget(self, service):
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget()
        return budget

    # Process pauses

    def hold_requests(self, now_s):
        """Hold new requests after a pause of this process.

        They wait until the configuration and VM list are confirmed as current, for
        at most ``MAX_HOLD_S``.
        """
        self.held_until_s = now_s + MAX_HOLD_S

    def release_held(self, now_s, confirmed):
        """Process the held requests once the wait of ``hold_requests`` is over.

        :param now_s: the loop's time in seconds.
        :param confirmed: whether the versions in force were confirmed as current since
            the pause.
        """
        if not confirmed and now_s < self.held_until_s:
            return []
        self.held_until_s = 0.0
        held_requests, self.held_requests = self.held_requests, []
        result = []
        for event in held_requests:
            result += self.receive(event)
        return result

    # Attempts

    def _send(self, request, now_s, vm=None):
        if vm is None:
            vm = self._choose_vm(request, now_s)
        if vm is None:
            return self._finish(request, self._make_no_target_reply(request))
        route = request.route
        event = request.event
        request.attempt_count += 1
        attempt_id = f"{event.request_id}.{request.attempt_count}"
        attempt = Attempt(attempt_id, vm, now_s)
        request.attempts[attempt_id] = attempt
        request.tried_vms.add(vm.name)
        self.attempts[attempt_id] = request
        self.routing.record_sent(vm.name)
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
                request.attempt_count > 1,
            )
        ]

    def _choose_vm(self, request, now_s):
        service = request.route.service
        if not request.placed_by_key:
            return self.routing.choose(service, request.tried_vms, now_s)
        members = self.membership.list_service(service.name)
        for vm in rank(request.key, members):
            if vm.name in request.tried_vms or not self.membership.accepts_work(
                vm, now_s
            ):
                continue
            return vm
        return None

    def _make_no_target_reply(self, request):
        service = request.route.service.name
        if request.last_reply is not None:
            return request.last_reply
        if request.placed_by_key:
            reason = "no target is left that knows this key"
            return make_unknown("choose", service, reason)
        return make_not_run("choose", service, "no target takes work")

    def _end_attempt(self, attempt_id):
        request = self.attempts.pop(attempt_id, None)
        if request is None:
            return None, None
        attempt = request.attempts.pop(attempt_id)
        self.routing.record_ended(attempt.vm.name)
        return request, attempt

    def handle_reply(self, event):
        """Process the reply to an attempt: answer the caller, redirect or retry."""
        request, attempt = self._end_attempt(event.attempt_id)
        if request is None:
            return []
        reply = event.reply
        vm_name = attempt.vm.name
        self.routing.record_load(vm_name, reply.load, event.now_s)
        if reply.outcome == ANSWERED:
            return self._handle_answer(request, attempt, reply, event.now_s)
        result = []
        if reply.peer == "target" or reply.outcome == UNKNOWN:
            result += self._record_failure(request, attempt, event.now_s)
        request.last_reply = reply
        if reply.moved_to:
            return result + self._follow_redirect(request, reply, event.now_s)
        if request.placed_by_key:
            if self._is_draining(reply) and reply.step == "drain":
                return result + self._retry(request, event.now_s)
            return result + self._finish(request, reply)
        if reply.outcome == NOT_RUN or request.idempotent:
            return result + self._retry(request, event.now_s)
        return result + self._finish(request, reply)

    @staticmethod
    def _is_draining(reply):
        return reply.load is not None and reply.load.draining

    def _handle_answer(self, request, attempt, reply, now_s):
        if reply.status in RETRYABLE_STATUSES:
            result = self._record_failure(request, attempt, now_s)
            request.last_reply = reply
            if request.idempotent:
                return result + self._retry(request, now_s)
            return result + self._finish(request, reply)
        self.routing.record_success(attempt.vm.name, now_s - attempt.sent_s)
        return self._finish(request, reply)

    def _record_failure(self, request, attempt, now_s):
        service = request.route.service.name
        if not self.routing.record_failure(attempt.vm.name, service, now_s):
            return []
        self.distribution.count("ejections")
        return [effects.ReportChange("ejected", {"vm": attempt.vm.name})]

    def _follow_redirect(self, request, reply, now_s):
        vm = self.membership.vms.get(reply.moved_to)
        request.redirects += 1
        if vm is None or request.redirects > MAX_REDIRECTS:
            reason = "the node that knows this key is not reachable"
            return self._finish(request, make_unknown("follow", reply.moved_to, reason))
        return self._send(request, now_s, vm)

    def handle_failure(self, event):
        """Process an attempt without a reply: retry or answer the caller.

        The failed step and whether the request was written decide whether the work
        provably did not run.
        """
        request, attempt = self._end_attempt(event.attempt_id)
        if request is None:
            return []
        result = self._record_failure(request, attempt, event.now_s)
        if event.step in UNREACHABLE_STEPS:
            self.membership.suspect(attempt.vm.peer_address, event.now_s)
        reason = "the exchange with the target's node failed"
        if event.step == REFUSED:
            self.membership.record_refusal(attempt.vm.peer_address, event.now_s)
        if event.written or request.placed_by_key:
            # Even if this copy of a caller's key was not delivered, an earlier copy
            # may have run at that VM.
            request.last_reply = make_unknown(event.step, event.peer, reason)
        else:
            request.last_reply = make_not_run(event.step, event.peer, reason)
        if request.placed_by_key and event.step != REFUSED:
            return result + self._finish(request, request.last_reply)
        if request.idempotent or not event.written:
            # A refused connection means that no process serves at that VM. The
            # next-ranked VM must itself prove that a key has not run before it runs
            # it. A refused attempt put no load on a target, so its retry is not
            # charged to the budget.
            outside_budget = event.step == REFUSED
            return result + self._retry(request, event.now_s, outside_budget)
        return result + self._finish(request, request.last_reply)

    def _retry(self, request, now_s, outside_budget=False):
        if request.attempts:
            return []  # The other attempt of a hedged request is in flight.
        allowed = (
            request.event.may_retry
            and request.attempt_count < MAX_ATTEMPTS
            and now_s < request.deadline_s
            and (
                outside_budget
                or self._get_budget(request.route.service.name).spend(now_s)
            )
        )
        if not allowed:
            return self._finish(request, request.last_reply)
        self.distribution.count("retries")
        max_delay_s = RETRY_BACKOFF_BASE_S * 2**request.attempt_count
        at_s = now_s + self.routing.random.random() * max_delay_s
        return [effects.SetTimer(RETRY_TIMER, request.event.request_id, at_s)]

    def fire_timer(self, event):
        """Handle the deadline, hedge or retry timer of a request."""
        request = self.requests.get(event.subject)
        if request is None:
            return []
        if event.kind == DEADLINE_TIMER:
            return self._handle_timeout(request)
        if event.kind == HEDGE_TIMER:
            return self._hedge(request, event.now_s)
        return self._send(request, event.now_s)

    def _handle_timeout(self, request):
        if request.attempts:
            vm = next(iter(request.attempts.values())).vm
            reply = make_unknown("wait", vm.name, "no answer before the deadline")
        else:
            reply = request.last_reply or make_not_run(
                "wait", "", "the deadline passed"
            )
        return self._finish(request, reply)

    def _hedge(self, request, now_s):
        if len(request.attempts) != 1 or request.attempt_count >= MAX_ATTEMPTS:
            return []
        vm = self._choose_vm(request, now_s)
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
        answer = self._answer(
            request.event, request.route, reply, request.attempt_count
        )
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

    def handle_caller_left(self, event):
        """Drop the request of a caller that disconnected and cancel its attempts."""
        request = self.requests.pop(event.request_id, None)
        if request is None:
            return []
        result = []
        for attempt_id in list(request.attempts):
            self._end_attempt(attempt_id)
            result.append(effects.CancelAttempt(attempt_id))
        return result

    def is_idle(self):
        """Return whether no request is in flight or held."""
        return not (self.requests or self.held_requests)
