"""Work at the node in front of a target: admission, one run, one truthful reply.

A reply says "not run" only where no byte of the work was written to the target, or
where the target itself says that it ran nothing.
"""

from balsamdeal.core.traffic import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    CancelWork,
    Decision,
    NodeLoad,
    ReplyWork,
    RunWork,
    SetTimer,
    WorkReply,
)
from balsamdeal.core.waiting import Queue

WORK_TIMER = "work"
# A run that its target has not ended by its time is broken off this much later.
TIMEOUT_SLACK_S = 0.02
# Slots of a target whose entry is not known yet.
DEFAULT_SLOTS = 8
# New work runs at a leaving target for this long after its node has heard of it, as
# nodes that have not heard yet still send some. Operators allow two seconds.
LEAVING_S = 1.0
# A target whose address another server holds is not asked again for this long: each
# attempt counts against retry budgets. Two reports of a server that is back fit in.
MISDIRECTED_S = 3.0
# How long the names of targets are kept that have left the list: nodes with an old
# list send work for them much shorter.
FORGET_S = 120.0
# When work that a target declined or could not be reached for is asked back.
UNREACHABLE_RETRY_S = 0.3


class Serving:
    """Work of the own target; changed in place.

    :param targets: the ``TargetList``.
    :param own_node: the address of this node as other nodes reach it.
    """

    def __init__(self, targets, own_node):
        self.targets = targets
        self.own_node = own_node
        self.queue = Queue(DEFAULT_SLOTS)
        self.stop = None
        self.refusing = False
        self.listed = set()
        self.confirmed = None
        self.leaving_s = {}
        self.misdirected_s = {}

    def note_targets(self, now_s):
        """Take what the list says of the own target: its slots, and its leaving."""
        listed = [
            target
            for target in self.targets.targets.values()
            if target.node_address == self.own_node
        ]
        for target in listed:
            if target.leaving:
                self.leaving_s.setdefault(target.instance, now_s)
            else:
                self.leaving_s.pop(target.instance, None)
        present = {target.instance for target in listed}
        for instance in self.listed - present:
            self.leaving_s.setdefault(instance, now_s)
        self.listed = present
        self._forget_gone(now_s)
        if listed:
            # An entry of another writer may name this address, too.
            best = max(listed, key=self._rate_entry)
            self.queue.set_limit(best.slots)

    def _forget_gone(self, now_s):
        """Drop what is known of targets that have been gone for long."""
        for known in (self.leaving_s, self.misdirected_s):
            for instance in [name for name in known if name not in self.listed]:
                if now_s - known[instance] > FORGET_S:
                    del known[instance]

    def _rate_entry(self, target):
        return (target.instance == self.confirmed, target.revision)

    def _explain_absence(self, instance, now_s):
        """Return why a target gets no new work, or None."""
        since_s = self.leaving_s.get(instance)
        if since_s is not None and now_s - since_s > LEAVING_S:
            return "target is leaving"
        since_s = self.misdirected_s.get(instance)
        if since_s is not None and now_s - since_s < MISDIRECTED_S:
            return "another server has the address"
        return None

    def make_load(self, now_s):
        """Return the ``NodeLoad`` that goes with each reply."""
        queue = self.queue
        return NodeLoad(
            len(queue.running),
            len(queue.waiting),
            queue.limit,
            queue.observe_work_s(now_s),
            queue.estimate_wait_s(len(queue.waiting)),
            self.stop is not None and self.stop.is_near(now_s),
        )

    def receive(self, event):
        """Run, queue or refuse work."""
        stop = self.stop
        late = stop is not None and not stop.takes(event.now_s, event.time_left_s)
        if self.refusing or late:
            return self._refuse(
                event, event.now_s, "node is stopping", 0.0, unusable=True
            )
        reason = self._explain_absence(event.instance, event.now_s)
        if reason is not None:
            return self._refuse(event, event.now_s, reason, 0.0, unusable=True)
        waiter, wait_s = self.queue.admit(event)
        if waiter is None:
            return self._refuse(
                event, event.now_s, "queue would outlast its time", wait_s
            )
        if event.work_id in self.queue.waiting:
            return [SetTimer(WORK_TIMER, event.work_id, waiter.leave_s)]
        return self._start(waiter, event.now_s)

    def _start(self, waiter, now_s):
        self.queue.start(waiter, now_s)
        event = waiter.event
        end_s = waiter.deadline_s + TIMEOUT_SLACK_S
        return [
            SetTimer(WORK_TIMER, event.work_id, end_s),
            RunWork(
                event.work_id,
                event.instance,
                event.idempotent,
                max(0.0, waiter.deadline_s - now_s),
            ),
        ]

    def _refuse(self, event, now_s, reason, retry_after_s, unusable=False):
        load = self.make_load(now_s)
        decision = Decision(
            "work refused",
            {
                "request": event.request_id,
                "reason": reason,
                "busy": load.busy,
                "queued": load.queued,
                "limit": load.limit,
                "work_ms": round(load.work_s * 1000),
                "objective_left_ms": round(event.objective_left_s * 1000),
                "time_left_ms": round(event.time_left_s * 1000),
                "retry_after_s": round(retry_after_s, 2),
            },
        )
        reply = WorkReply(
            NOT_RUN, False, reason, retry_after_s, unusable=unusable, load=load
        )
        return [decision, ReplyWork(event.work_id, reply)]

    def _reply(self, event, work_id, outcome, reached, reason, **details):
        load = self.make_load(event.now_s)
        reply = WorkReply(outcome, reached, reason, load=load, **details)
        return ReplyWork(work_id, reply)

    def _start_next(self, now_s):
        result = []
        while True:
            waiter, hopeless = self.queue.take_next(now_s)
            for other in hopeless:
                result += self._refuse(
                    other.event, now_s, "its time is nearly over", 0.0
                )
            if waiter is None:
                return result
            reason = self._explain_absence(waiter.event.instance, now_s)
            if reason is not None:
                result += self._refuse(waiter.event, now_s, reason, 0.0, unusable=True)
                continue
            result += self._start(waiter, now_s)

    def abandon(self, event):
        """Forget work whose sender has left, and break off its run."""
        if self.queue.leave(event.work_id) is not None:
            return []
        if self.queue.end(event.work_id, event.now_s, False) is None:
            return []
        return [CancelWork(event.work_id), *self._start_next(event.now_s)]

    def take_reply(self, event):
        """Pass the target's whole answer on."""
        waiter = self.queue.end(event.work_id, event.now_s, not event.declined)
        if waiter is None:
            return []
        if not event.declined:
            self.confirmed = waiter.event.instance
        if event.misdirected:
            self.misdirected_s[waiter.event.instance] = event.now_s
            reply = self._reply(
                event,
                event.work_id,
                NOT_RUN,
                False,
                "another server has the address",
                unusable=True,
            )
        elif event.declined:
            reply = self._reply(
                event,
                event.work_id,
                NOT_RUN,
                True,
                "target declined",
                retry_after_s=UNREACHABLE_RETRY_S,
            )
        else:
            reply = self._reply(
                event,
                event.work_id,
                ANSWERED,
                True,
                "answered",
                ran_s=event.now_s - waiter.started_s,
                failed=event.failed,
            )
        return [reply, *self._start_next(event.now_s)]

    def take_failure(self, event):
        """Reply with what is known after the target gave no answer."""
        waiter = self.queue.end(event.work_id, event.now_s, False)
        if waiter is None:
            return []
        outcome = UNKNOWN if event.sent else NOT_RUN
        decision = Decision(
            "target gave no answer",
            {
                "request": waiter.event.request_id,
                "instance": waiter.event.instance,
                "step": event.step,
                "outcome": outcome,
                "ran_ms": round((event.now_s - waiter.started_s) * 1000),
            },
        )
        reply = self._reply(
            event,
            event.work_id,
            outcome,
            event.sent,
            event.step,
            retry_after_s=UNREACHABLE_RETRY_S,
            unusable=not event.sent,
        )
        return [decision, reply, *self._start_next(event.now_s)]

    def time_out(self, event):
        """End work whose time is over."""
        waiter = self.queue.leave(event.subject)
        if waiter is not None:
            return self._refuse(
                waiter.event,
                event.now_s,
                "waited for too long",
                self.queue.suggest_return_s(waiter.event),
            )
        if self.queue.end(event.subject, event.now_s, False) is None:
            return []
        reply = self._reply(event, event.subject, UNKNOWN, True, "time is over")
        cancel = CancelWork(event.subject, silent=True)
        return [cancel, reply, *self._start_next(event.now_s)]
