"""Admission, execution and replies of work at the node in front of a target.

A reply has the outcome ``NOT_RUN`` only if no byte of the work was written to the
target, or if the target itself reports that it ran nothing.
"""

import math
from dataclasses import replace

from balsamdeal.core.crashes import CRASHES_TARGETS, CrashReport, LostRun
from balsamdeal.core.link_queue import LinkQueue
from balsamdeal.core.rate_limit import DEFAULT_SETTLE_S, RateLimit
from balsamdeal.core.repeats import RUNS_ONCE, RepeatRules
from balsamdeal.core.request_events import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    CancelWork,
    CheckTarget,
    LogDecision,
    NodeLoad,
    ReplyWork,
    RunWork,
    SetTimer,
    WorkReply,
)
from balsamdeal.core.work_queue import LATE_RETRY_AFTER_S, WorkQueue

WORK_TIMER = "work"
# Step of a run that ended because the target closed or reset the connection.
CLOSED = "read"
# A request that was in one crash runs beside at most this many others like it, so that
# the next crash tells more. One that was in two crashes runs beside none.
MAX_SUSPECTS = 2
# Such a request waits for others like it for up to this share of its time left.
SUSPECT_WAIT_SHARE = 0.4
# Fires when the rate limit allows the next start of waiting work.
START_TIMER = "start"
# Grace period between the deadline of a run and its cancellation.
TIMEOUT_SLACK_S = 0.02
# Concurrent runs while the target list has no entry for this node's target.
DEFAULT_SLOTS = 8
# A leaving target still gets new work for this long after its own node has learned of
# the leaving, because nodes with an older list still send some. Operators allow two
# seconds.
LEAVING_GRACE_S = 1.0
# A target whose address is held by another server gets no work for this long, because
# each attempt counts against retry budgets. The time is enough for two reports of a
# server that has come back.
MISDIRECTED_PAUSE_S = 3.0
# State of targets that are no longer listed is kept for this long. Nodes with an old
# list stop sending work for them much sooner.
ABSENT_TARGET_TTL_S = 120.0
# Retry delay for work that the target declined, or that got no answer from it.
TARGET_ERROR_RETRY_S = 0.3


class TargetWork:
    """State of the work at this node's target; its methods change it in place.

    :param targets: the ``TargetList``.
    :param own_node: the address of this node as other nodes reach it.
    :param crash_news: the ``CrashNews``.
    :param limit_settle_s: how long after a target has first named a limit of requests
        operators expect it to hold.
    :param link: the ``LinkQueue`` of the VM's own link; by default its bandwidth is
        not known.
    :param repeat_rules: the ``RepeatRules``; by default none are known.
    """

    def __init__(
        self,
        targets,
        own_node,
        crash_news,
        limit_settle_s=DEFAULT_SETTLE_S,
        link=None,
        repeat_rules=None,
    ):
        self.repeat_rules = repeat_rules or RepeatRules()
        self.crash_news = crash_news
        self.crashes = crash_news.table
        # The ``WorkReceived`` of suspects that wait for others to end, by work id.
        self.held = {}
        # Runs whose connection the target has closed, until it has been checked: pairs
        # of ``WorkItem`` and ``TargetFailed`` by work id.
        self._lost = {}
        # The reports of runs that a crash has ended but whose failure is still due.
        self._reported = {}
        self.targets = targets
        self.own_node = own_node
        self.rate_limit = RateLimit(limit_settle_s)
        self.link = link or LinkQueue(None)
        self.queue = WorkQueue(DEFAULT_SLOTS, self.rate_limit, self.link)
        self.stop = None
        self.refuse_all = False
        self.listed_instances = set()
        self.last_answered_instance = None
        self.leaving_since_s = {}
        self.misdirected_at_s = {}

    def update_targets(self, now_s):
        """Update the slots and the leaving state of this node's target."""
        listed = [
            target
            for target in self.targets.targets.values()
            if target.node_address == self.own_node
        ]
        for target in listed:
            if self.targets.is_leaving(target):
                self.leaving_since_s.setdefault(target.instance, now_s)
            else:
                self.leaving_since_s.pop(target.instance, None)
        present = {target.instance for target in listed}
        for instance in self.listed_instances - present:
            self.leaving_since_s.setdefault(instance, now_s)
        self.listed_instances = present
        self._drop_absent_targets(now_s)
        if listed:
            # Entries of other writers may name this address, too. The instance that
            # answered last is preferred, then the entry changed last.
            best = max(listed, key=self._rank_entry)
            self.queue.set_limit(best.slots)

    def _drop_absent_targets(self, now_s):
        """Drop the state of targets that have been unlisted for long."""
        for known in (self.leaving_since_s, self.misdirected_at_s):
            for instance in [
                name for name in known if name not in self.listed_instances
            ]:
                if now_s - known[instance] > ABSENT_TARGET_TTL_S:
                    del known[instance]

    def _rank_entry(self, target):
        return (target.instance == self.last_answered_instance, target.revision)

    def _find_unusable_reason(self, instance, now_s):
        """Return the reason why a target gets no new work, or None if it does."""
        since_s = self.leaving_since_s.get(instance)
        if since_s is not None and now_s - since_s > LEAVING_GRACE_S:
            return "target is leaving"
        since_s = self.misdirected_at_s.get(instance)
        if since_s is not None and now_s - since_s < MISDIRECTED_PAUSE_S:
            return "another server has the address"
        return None

    def _get_identity(self, instance):
        """Return the identity of a target as it is listed now."""
        target = self.targets.targets.get(instance)
        return target.identity if target else (instance, None)

    def make_load(self, now_s):
        """Return the current ``NodeLoad``, which is part of each reply."""
        queue = self.queue
        return NodeLoad(
            len(queue.running),
            len(queue.waiting) + round(self.rate_limit.get_excess(now_s)),
            self.rate_limit.limit_runs(queue.limit, queue.get_mean_work_s()),
            queue.estimate_work_s(now_s),
            queue.estimate_wait_s(len(queue.waiting), now_s),
            self.stop is not None and self.stop.is_near(now_s),
            self.queue.report_link(now_s),
        )

    def receive(self, event):
        """Start, queue or refuse work.

        :param event: ``WorkReceived``.
        """
        stop = self.stop
        too_late = stop is not None and not stop.accepts(event.now_s, event.time_left_s)
        if self.refuse_all or too_late:
            return self._refuse(
                event, event.now_s, "node is stopping", 0.0, target_unavailable=True
            )
        reason = self._find_unusable_reason(event.instance, event.now_s)
        if reason is not None:
            return self._refuse(
                event, event.now_s, reason, 0.0, target_unavailable=True
            )
        if event.limit_report is not None:
            self.rate_limit.record_report(event.limit_report, event.now_s)
        news = self.crash_news.record(event.crash_reports, event.now_s)
        return news + self._admit(event)

    def _admit(self, event):
        """Start or queue work, or refuse it, or hold it because of crashes."""
        quarantine_s = self.crashes.find_quarantine_s(event.digest, event.now_s)
        if quarantine_s:
            return self._refuse(
                event,
                event.now_s,
                CRASHES_TARGETS,
                quarantine_s,
                crash_reports=self.crashes.list_evidence(event.digest),
            )
        repeated = event.repeated
        if repeated and not self.repeat_rules.allow(*repeated, event.now_s):
            return self._refuse(event, event.now_s, RUNS_ONCE, 0.0)
        if not self._may_run_beside_others(event):
            self.held[event.work_id] = event
            wait_s = SUSPECT_WAIT_SHARE * event.time_left_s
            return [SetTimer(WORK_TIMER, event.work_id, event.now_s + wait_s)]
        item, wait_s = self.queue.admit(event)
        if item is None:
            return self._refuse(
                event, event.now_s, "queue would outlast its time", wait_s
            )
        if event.work_id in self.queue.waiting:
            timer = SetTimer(WORK_TIMER, event.work_id, item.queue_deadline_s)
            return [timer, *self._set_start_timer(event.now_s)]
        return self._start(item, event.now_s)

    def _may_run_beside_others(self, event):
        """Return whether a request may run beside others that were in crashes."""
        count = self.crashes.count(event.digest)
        if not count:
            return True
        items = [*self.queue.running.values(), *self.queue.waiting.values()]
        others = [self.crashes.count(item.event.digest) for item in items]
        others = [other for other in others if other]
        if not others:
            return True
        return count == max(others) == 1 and len(others) < MAX_SUSPECTS

    def _release_held(self, now_s):
        """Admit held work that may run now, the oldest first."""
        result = []
        for work_id, event in list(self.held.items()):
            if not self._may_run_beside_others(event):
                break
            del self.held[work_id]
            waited_s = now_s - event.now_s
            result += self.receive(
                replace(
                    event,
                    limit_report=None,
                    now_s=now_s,
                    time_left_s=event.time_left_s - waited_s,
                    objective_left_s=event.objective_left_s - waited_s,
                )
            )
        return result

    def _set_start_timer(self, now_s):
        """Return the timer for waiting work that the rate limit holds back, if any."""
        at_s = self.queue.find_next_start_s(now_s)
        return [] if at_s is None else [SetTimer(START_TIMER, 0, at_s)]

    def is_idle(self):
        """Return whether all work has been replied to."""
        return self.queue.is_idle() and not (self.held or self._lost)

    def handle_start_timer(self, event):
        """Start waiting work that the rate limit has held back."""
        return self._start_next(event.now_s)

    def _start(self, item, now_s):
        self.queue.start(item, now_s)
        event = item.event
        item.identity = self._get_identity(event.instance)
        end_s = item.deadline_s + TIMEOUT_SLACK_S
        return [
            SetTimer(WORK_TIMER, event.work_id, end_s),
            RunWork(
                event.work_id,
                event.instance,
                event.idempotent,
                max(0.0, item.deadline_s - now_s),
            ),
        ]

    def _refuse(
        self,
        event,
        now_s,
        reason,
        retry_after_s,
        target_unavailable=False,
        crash_reports=(),
    ):
        load = self.make_load(now_s)
        decision = LogDecision(
            "work refused",
            {
                "request": event.request_id,
                "reason": reason,
                "digest": event.digest,
                "crashes": [report.crash_id for report in crash_reports],
                "busy": load.busy,
                "queued": load.queued,
                "limit": load.limit,
                "limit_per_s": self.rate_limit.per_s,
                "link_ms": round(load.link.wait_s * 1000) if load.link else None,
                "work_ms": round(load.work_s * 1000),
                "objective_left_ms": round(event.objective_left_s * 1000),
                "time_left_ms": round(event.time_left_s * 1000),
                "retry_after_s": round(retry_after_s, 2),
            },
        )
        reply = WorkReply(
            NOT_RUN,
            False,
            reason,
            retry_after_s,
            target_unavailable=target_unavailable,
            load=load,
            crash_reports=crash_reports,
        )
        return [decision, ReplyWork(event.work_id, reply)]

    def _reply(
        self,
        event,
        work_id,
        outcome,
        target_reached,
        reason,
        due_s=math.inf,
        **details,
    ):
        load = self.make_load(event.now_s)
        reply = WorkReply(outcome, target_reached, reason, load=load, **details)
        return ReplyWork(work_id, reply, due_s)

    def _start_next(self, now_s):
        result = self._start_waiting(now_s)
        return result + self._release_held(now_s) if self.held else result

    def _start_waiting(self, now_s):
        result = []
        while True:
            item, expiring = self.queue.take_next(now_s)
            for other in expiring:
                result += self._refuse(
                    other.event, now_s, "its time is nearly over", 0.0
                )
            if item is None:
                return result + self._set_start_timer(now_s)
            reason = self._find_unusable_reason(item.event.instance, now_s)
            if reason is not None:
                result += self._refuse(
                    item.event, now_s, reason, 0.0, target_unavailable=True
                )
                continue
            result += self._start(item, now_s)

    def abandon(self, event):
        """Drop work whose sender has gone, and cancel its run."""
        if self.held.pop(event.work_id, None) is not None:
            return []
        if self.queue.remove_waiting(event.work_id) is not None:
            return self._release_held(event.now_s)
        item = self.queue.finish(event.work_id, event.now_s, False)
        if item is None:
            return []
        decision = self._make_cancel_decision(item, "its sender has left", event.now_s)
        cancel = CancelWork(event.work_id)
        return [decision, cancel, *self._start_next(event.now_s)]

    @staticmethod
    def _make_cancel_decision(item, reason, now_s):
        fields = {
            "request": item.event.request_id,
            "instance": item.event.instance,
            "reason": reason,
            "ran_ms": round((now_s - item.started_s) * 1000),
        }
        return LogDecision("run cancelled", fields, routine=item.event.idempotent)

    def handle_reply(self, event):
        """Reply with the outcome of a complete answer, and start waiting work."""
        item = self.queue.finish(event.work_id, event.now_s, not event.declined)
        if item is None:
            return []
        if not (event.declined or event.failed):
            self.queue.record_answer(item, event.answer_bytes)
        if not event.declined:
            self.last_answered_instance = item.event.instance
            self.crashes.record_run(item.event.digest, event.now_s)
        decisions = self._record_notice(item, event)
        if event.misdirected:
            self.misdirected_at_s[item.event.instance] = event.now_s
            reply = self._reply(
                event,
                event.work_id,
                NOT_RUN,
                False,
                "another server has the address",
                target_unavailable=True,
            )
        elif event.declined:
            reply = self._reply(
                event,
                event.work_id,
                NOT_RUN,
                True,
                "target declined",
                retry_after_s=TARGET_ERROR_RETRY_S,
            )
        else:
            reply = self._reply(
                event,
                event.work_id,
                ANSWERED,
                True,
                "answered",
                ran_s=event.now_s - item.started_s,
                failed=event.failed,
                due_s=item.event.now_s + item.event.objective_left_s,
            )
        return [*decisions, reply, *self._start_next(event.now_s)]

    def _record_notice(self, item, event):
        """Record what the target says of itself; log it if that has changed."""
        notice = event.notice
        known_per_s = self.rate_limit.per_s
        # Whichever server holds the address, its limit counts all that it gets there.
        changed = self.rate_limit.record_answer(notice, not event.declined, event.now_s)
        if not event.misdirected:
            changed |= self.targets.notices.record(item.identity, notice, event.now_s)
            instance = item.event.instance
            if notice.leaving and self._get_identity(instance) == item.identity:
                self.leaving_since_s.setdefault(instance, event.now_s)
        if not changed:
            return []
        fields = {
            "request": item.event.request_id,
            "instance": item.event.instance,
            "limit_per_s": self.rate_limit.per_s,
            "limit_before": known_per_s,
            "next_start_ms": round(self.rate_limit.get_delay_s(event.now_s) * 1000),
            "leaving": notice.leaving,
            "busy": len(self.queue.running),
            "queued": len(self.queue.waiting),
        }
        return [LogDecision("target notice", fields)]

    def handle_failure(self, event):
        """Reply after a run without a usable answer.

        The outcome is ``UNKNOWN`` if the target may have begun the work.
        """
        item = self.queue.finish(event.work_id, event.now_s, False)
        if item is None:
            return []
        report = self._reported.pop(event.work_id, None)
        if report is None and event.sent and event.step == CLOSED:
            self._lost[event.work_id] = (item, event)
            return [CheckTarget()] if len(self._lost) == 1 else []
        result = self._reply_failure(item, event, report)
        return [*result, *self._start_next(event.now_s)]

    def handle_checked(self, event):
        """Reply to lost runs; report a crash if the target refuses connections."""
        lost, self._lost = self._lost, {}
        result, report = [], None
        if event.refused:
            report, decision = self._report_crash(lost)
            result = [decision, *self.crash_news.publish(report, event.now_s)]
        for item, failure in lost.values():
            failure = replace(failure, now_s=event.now_s)
            result += self._reply_failure(item, failure, report)
        return result + self._start_next(event.now_s)

    def _report_crash(self, lost):
        """Return the ``CrashReport`` of a crash, and the decision to log.

        :param lost: pairs of ``WorkItem`` and ``TargetFailed`` by work id. Runs whose
            failure is still due are added.
        """
        at_s = min(failure.now_s for _, failure in lost.values())
        still_due = {
            work_id: item
            for work_id, item in self.queue.running.items()
            if item.started_s < at_s
        }
        items = [*(item for item, _ in lost.values()), *still_due.values()]
        ran_s = {}
        for item in items:
            digest, length_s = item.event.digest, at_s - item.started_s
            ran_s[digest] = max(length_s, ran_s.get(digest, 0.0))
        suspects = [digest for digest in ran_s if self.crashes.count(digest)]
        instance = items[0].event.instance
        report = CrashReport(
            f"{instance}-{round(at_s * 1000):x}",
            at_s,
            tuple(LostRun(digest, length_s) for digest, length_s in ran_s.items()),
            suspects[0] if len(suspects) == 1 else "",
        )
        self._reported = dict.fromkeys(still_due, report)
        fields = {
            "crash": report.crash_id,
            "instance": instance,
            "runs": [f"{item.event.request_id} {item.event.digest}" for item in items],
            "only_suspect": report.only_suspect,
        }
        return report, LogDecision("target crashed", fields)

    def _reply_failure(self, item, event, report):
        outcome = UNKNOWN if event.sent else NOT_RUN
        decision = LogDecision(
            "target gave no answer",
            {
                "request": item.event.request_id,
                "digest": item.event.digest,
                "instance": item.event.instance,
                "step": event.step,
                "outcome": outcome,
                "ran_ms": round((event.now_s - item.started_s) * 1000),
            },
        )
        reply = self._reply(
            event,
            event.work_id,
            outcome,
            event.sent,
            event.step,
            retry_after_s=TARGET_ERROR_RETRY_S,
            target_unavailable=not event.sent or report is not None,
            crash_reports=() if report is None else (report,),
        )
        return [decision, reply]

    def handle_timeout(self, event):
        """Refuse queued work, or cancel running work, when its timer fires."""
        held = self.held.pop(event.subject, None)
        if held is not None:
            return self._refuse(
                held, event.now_s, "waited for others in crashes", LATE_RETRY_AFTER_S
            )
        item = self.queue.remove_waiting(event.subject)
        if item is not None:
            return self._refuse(
                item.event,
                event.now_s,
                "waited for too long",
                self.queue.suggest_retry_after_s(item.event),
            )
        item = self.queue.finish(event.subject, event.now_s, False)
        if item is None:
            return []
        decision = self._make_cancel_decision(item, "time is over", event.now_s)
        reply = self._reply(event, event.subject, UNKNOWN, True, "time is over")
        cancel = CancelWork(event.subject, silent=True)
        return [decision, cancel, reply, *self._start_next(event.now_s)]
