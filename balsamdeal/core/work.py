"""Work at the node of a target: from an ingress, through admission, to the target.

Each piece of work is a job in one of four states: INQUIRING while peers are asked
whether its key has run, QUEUED, RUNNING, or WAITING for another job with the same
key. The reply is NOT_RUN only if nothing was written to the target, or if the target
itself says that it ran nothing.
"""

from dataclasses import dataclass, field, replace

from balsamdeal.core import effects, key_records
from balsamdeal.core.admission import Admission
from balsamdeal.core.events import Finding
from balsamdeal.core.replies import Load, make_not_run, make_unknown
from balsamdeal.documents import VMS

INQUIRING = "clearing"
QUEUED = "queued"
RUNNING = "running"
WAITING = "waiting"

# Slots until a configuration with this node's service is in force.
DEFAULT_SLOTS = 16
# A job's deadline is this long before the ingress's timeout, so that the reply arrives
# in time.
REPLY_MARGIN_S = 0.02
WORK_TIMER = "work"


@dataclass(slots=True)
class Job:
    """A piece of work; times in seconds of the loop's clock.

    ``lost_memory_vm`` names a VM, if any, that may have run the key but no longer
    has the record: this one after a restart or the record's expiry, or one that
    left the VM list.
    ``expected`` is the number of VMs that were asked, ``findings`` their answers.
    """

    event: object
    state: str
    deadline_s: float
    started_s: float = 0.0
    expected: int = 0
    findings: list = field(default_factory=list)
    lost_memory_vm: str = ""


class JobTable:
    """All jobs for this node's target; changed in place.

    :param distribution: the ``Distribution``, for versions and start times.
    :param own: the ``snapshots.Vm`` of this node.
    :param policy: the ``key_records.KeyPolicy``.
    """

    def __init__(self, distribution, own, policy):
        self.distribution = distribution
        self.membership = distribution.membership
        self.own = own
        self.policy = policy
        self.admission = Admission(DEFAULT_SLOTS)
        self.key_records = key_records.KeyRecords(own.name)
        self.jobs = {}
        self.target_draining = False
        self.resumed_s = None

    @property
    def draining(self):
        """Whether the node or its target is shutting down and accepts no new work."""
        return self.distribution.draining or self.target_draining

    def make_load(self):
        """Return the node's current load, which each reply carries."""
        admission = self.admission
        return Load(
            admission.busy, len(admission.queue), admission.slots, self.draining
        )

    def receive(self, event):
        """Accept work from an ingress, or reply why it does not run here."""
        self._update_slots()
        deduplicated = event.key and not event.idempotent
        if deduplicated:
            result = self._reply_from_record(event)
            if result is not None:
                return result
        if event.service != self.own.service:
            return self._refuse(event, "route", f"here is {self.own.service}")
        if self.draining:
            return self._refuse(event, "drain", "the target is leaving")
        margin_s = min(REPLY_MARGIN_S, event.timeout_s / 4)
        deadline_s = event.now_s + event.timeout_s - margin_s
        job = Job(event, QUEUED, deadline_s)
        if not deduplicated or (event.fresh and not self.key_records.has_room(True)):
            self.jobs[event.work_id] = job
            return self._admit(job, event.now_s)
        if not event.fresh and not self._is_view_confirmed():
            return self._refuse(event, "view", "this node's VM list may be outdated")
        if not self.key_records.has_room(False):
            return self._refuse(event, "memory", "too many keys are remembered")
        return self._verify_not_run(job, event.now_s)

    def _is_view_confirmed(self):
        """Return whether the VM list is current enough to run callers' keys.

        While the process was paused, this VM may have been removed from the VM list,
        and its keys may run at other VMs. So after a pause the list must have been
        confirmed again.
        """
        if self.own.name not in self.membership.vms:
            return False
        if self.resumed_s is None:
            return True
        return self.distribution.confirmed_s >= self.resumed_s

    def _update_slots(self):
        snapshot = self.distribution.snapshot
        if snapshot is not None and self.own.service in snapshot.services:
            self.admission.slots = snapshot.services[self.own.service].slots

    def _refuse(self, event, step, reason):
        """Refuse work at once.

        With a caller's key the outcome is UNKNOWN, since an earlier copy may have run.
        """
        make_reply = make_not_run
        if event.key and not event.fresh and not event.idempotent:
            make_reply = make_unknown
        retry_after_s = self.admission.get_retry_after_s()
        reply = make_reply(step, self.own.name, reason, retry_after_s)
        return [self._reply(event.work_id, reply)]

    def _reply(self, work_id, reply):
        return effects.ReplyWork(work_id, replace(reply, load=self.make_load()))

    # Keys

    def _reply_from_record(self, event):
        record = self.key_records.find(event.key, event.now_s)
        if record is None:
            return None
        if record.fingerprint and record.fingerprint != event.fingerprint:
            reason = "the key was used for another request"
            reply = replace(make_unknown("key", self.own.name, reason), status=422)
            return [self._reply(event.work_id, reply)]
        if record.state == key_records.DONE:
            self.distribution.count("work_from_memory")
            return [self._reply(event.work_id, record.reply)]
        if record.state == key_records.REPORTED_NOT_RUN:
            wall_s = self.distribution.get_wall_s(event.now_s)
            received_s = event.now_s - (wall_s - event.received_s)
            if not self.key_records.predates_refusal(record, received_s, self.policy):
                self.key_records.forget(event.key)
                return None
            reply = make_not_run("barred", self.own.name, "called not run before")
            return [self._reply(event.work_id, reply)]
        if record.state == key_records.NEVER:
            reason = "the key was asked about before it came, and never runs here"
            reply = make_unknown("barred", self.own.name, reason)
            return [self._reply(event.work_id, reply)]
        if record.state == key_records.BARRED:
            reason = "the key may run elsewhere"
            reply = make_not_run("barred", self.own.name, reason, moved_to=record.asker)
            return [self._reply(event.work_id, reply)]
        record.waiters.append(event.work_id)
        deadline_s = event.now_s + event.timeout_s
        self.jobs[event.work_id] = Job(event, WAITING, deadline_s)
        return [effects.SetTimer(WORK_TIMER, event.work_id, deadline_s)]

    def _verify_not_run(self, job, now_s):
        event = job.event
        self.jobs[event.work_id] = job
        if event.fresh:
            return self._admit_keyed(job, now_s)
        wall_s = self.distribution.get_wall_s(now_s)
        membership = self.membership
        policy = self.policy
        started_s = self.distribution.started_wall_s
        if not key_records.memory_covers_key(event.key, started_s, wall_s, policy):
            job.lost_memory_vm = self.own.name
        else:
            job.lost_memory_vm = key_records.find_removed_owner(
                membership, event.key, event.service, now_s, wall_s, policy
            )
        vms = key_records.list_inquiries(
            membership,
            event.key,
            event.service,
            bool(job.lost_memory_vm),
            now_s,
            wall_s,
            policy,
        )
        if not vms and job.lost_memory_vm:
            return self._reply_unproved(job, job.lost_memory_vm)
        if not vms:
            return self._admit_keyed(job, now_s)
        job.state = INQUIRING
        job.expected = len(vms)
        self.key_records.begin(
            event.key, key_records.INQUIRING, now_s, event.fingerprint
        )
        self.distribution.count("inquiries", len(vms))
        result = [
            effects.SendInquiry(
                event.work_id, vm.name, vm.peer_address, event.key, self.own.name
            )
            for vm in vms
        ]
        return [*result, effects.SetTimer(WORK_TIMER, event.work_id, job.deadline_s)]

    def _reply_unproved(self, job, peer):
        event = job.event
        del self.jobs[event.work_id]
        self.distribution.count("work_unproved")
        reply = make_unknown(
            "memory",
            peer,
            "an earlier copy of this key may have run where its outcome was lost",
            self.policy.resend_horizon_s,
        )
        result = [self._reply(event.work_id, reply)]
        return result + self._reply_waiters(self.key_records.forget(event.key), reply)

    def _reply_waiters(self, waiters, reply):
        result = []
        for work_id in waiters:
            if self.jobs.pop(work_id, None) is not None:
                result.append(self._reply(work_id, reply))
        return result

    def handle_finding(self, event):
        """Record a peer's answer about a key; continue once all peers answered."""
        job = self.jobs.get(event.subject)
        finding = event.finding
        if finding.vms_revision:
            self.membership.record_revision(
                finding.vm, finding.vms_revision, event.now_s
            )
        if job is None or job.state != INQUIRING:
            return []
        wall_s = self.distribution.get_wall_s(event.now_s)
        job.findings.append(
            self.membership.set_refusal_start(finding, event.now_s, wall_s)
        )
        if len(job.findings) < job.expected:
            return []
        return self._evaluate_findings(job, event.now_s)

    def _evaluate_findings(self, job, now_s):
        key = job.event.key
        verdict, vm = key_records.evaluate_findings(
            key, job.findings, self.distribution.get_wall_s(now_s), self.policy
        )
        record = self.key_records.records[key]
        if record.state == key_records.BARRED:
            verdict, vm = key_records.MAY_RUN_ELSEWHERE, record.asker
        if record.state == key_records.NEVER:
            verdict = key_records.NEVER
        if verdict == key_records.UNPROVED:
            return self._reply_unproved(job, vm)
        if verdict == key_records.PROVED_NOT_RUN and job.lost_memory_vm:
            return self._reply_unproved(job, job.lost_memory_vm)
        if verdict == key_records.PROVED_NOT_RUN:
            return self._admit_keyed(job, now_s)
        del self.jobs[job.event.work_id]
        waiters, record.waiters = record.waiters, []
        if verdict == key_records.NEVER:
            record.state, record.asker = key_records.NEVER, ""
            reason = "the key was asked about before it came"
            reply = make_unknown("clear", self.own.name, reason)
        else:
            record.state, record.asker = key_records.BARRED, vm
            reason = "the key may run elsewhere"
            reply = make_not_run("clear", self.own.name, reason, moved_to=vm)
        result = [self._reply(job.event.work_id, reply)]
        return result + self._reply_waiters(waiters, reply)

    def _admit_keyed(self, job, now_s):
        key = job.event.key
        record = self.key_records.records.get(key)
        if record is None:
            self.key_records.begin(
                key, key_records.RUNNING, now_s, job.event.fingerprint
            )
        else:
            record.state = key_records.RUNNING
        if now_s >= job.deadline_s:
            return self._finish_not_run(job, "clear", "the deadline passed", now_s)
        return self._admit(job, now_s)

    def answer_inquiry(self, event):
        """Answer a peer's inquiry with the state of a key.

        A key without a record is barred here: it will not run at this node.
        """
        state = self.key_records.answer_inquiry(event.key, event.asker, event.now_s)
        finding = Finding(
            self.own.name,
            state,
            self.distribution.started_wall_s,
            self.distribution.channels[VMS].version.revision,
        )
        return [effects.AnswerInquiry(event.exchange_id, finding)]

    # Queue

    def _admit(self, job, now_s):
        event = job.event
        decision, shed = self.admission.offer(
            event.work_id, event.flow, event.weight, job.deadline_s
        )
        result = []
        if shed:
            self.distribution.count("work_shed")
            reason = "shed for other work"
            result += self._finish_not_run(self.jobs[shed], "queue", reason, now_s)
        if decision == "run":
            return result + self._run(job, now_s)
        if decision == "shed":
            self.distribution.count("work_shed")
            reason = "the queue is full"
            return result + self._finish_not_run(job, "queue", reason, now_s)
        job.state = QUEUED
        timer = effects.SetTimer(WORK_TIMER, event.work_id, job.deadline_s)
        return [*result, timer]

    def _run(self, job, now_s):
        event = job.event
        job.state = RUNNING
        job.started_s = now_s
        timeout_s = max(0.001, job.deadline_s - now_s)
        return [effects.RunOnTarget(event.work_id, timeout_s, event.idempotent)]

    def _finish_not_run(self, job, step, reason, now_s, peer=""):
        """Reply NOT_RUN for work that provably no target ran or will run."""
        event = job.event
        self.jobs.pop(event.work_id, None)
        retry_after_s = self.admission.get_retry_after_s()
        reply = make_not_run(step, peer or self.own.name, reason, retry_after_s)
        result = [self._reply(event.work_id, reply)]
        if event.key in self.key_records.records and not event.idempotent:
            waiters = self.key_records.record_not_run(event.key, now_s)
            result += self._reply_waiters(waiters, reply)
        return result

    def _start_next(self, now_s):
        run, expired = self.admission.take_next(now_s)
        result = []
        for work_id in run:
            result += self._run(self.jobs[work_id], now_s)
        for work_id in expired:
            job = self.jobs[work_id]
            result += self._finish_not_run(job, "queue", "the deadline passed", now_s)
        return result

    def handle_timeout(self, event):
        """End a job whose deadline passed, unless it runs.

        A running job ends by the timeout of its ``RunOnTarget``.
        """
        job = self.jobs.get(event.subject)
        if job is None or job.state == RUNNING:
            return []
        if job.state == WAITING:
            del self.jobs[event.subject]
            reason = "the first sending of this key still runs"
            return [
                self._reply(event.subject, make_unknown("wait", self.own.name, reason))
            ]
        if job.state == INQUIRING:
            return self._reply_unproved(job, self.own.name)
        self.admission.remove(event.subject)
        return self._finish_not_run(job, "queue", "the deadline passed", event.now_s)

    def abandon(self, event):
        """Handle an ingress that closed the exchange.

        Work that waits for another job is dropped, and so is queued work unless other
        jobs wait for its result. Running work is cancelled only if it is idempotent.
        """
        job = self.jobs.get(event.work_id)
        if job is None:
            return []
        if job.state == QUEUED:
            record = self.key_records.records.get(job.event.key)
            if record is not None and record.waiters:
                return []
            self.admission.remove(event.work_id)
            return self._finish_not_run(job, "queue", "the ingress left", event.now_s)
        if job.state == RUNNING and job.event.idempotent:
            return [effects.CancelTarget(event.work_id)]
        if job.state == WAITING:
            del self.jobs[event.work_id]
            reply = make_unknown("wait", self.own.name, "the ingress left")
            return [self._reply(event.work_id, reply)]
        return []

    # Target

    def handle_target_answer(self, event):
        """Reply with the target's complete answer, and record it under its key."""
        self.target_draining = event.draining
        job = self.jobs.get(event.work_id)
        if job is None:
            return []
        self.admission.release(event.now_s - job.started_s)
        if event.not_run:
            step, reason = "target", "the target refused the work"
            result = self._finish_not_run(job, step, reason, event.now_s)
        else:
            result = self._finish(job, event.reply)
        return result + self._start_next(event.now_s)

    def handle_target_failure(self, event):
        """Reply NOT_RUN if nothing was written to the target, else UNKNOWN."""
        job = self.jobs.get(event.work_id)
        if job is None:
            return []
        self.admission.release(event.now_s - job.started_s)
        if event.written:
            reason = "the target gave no whole answer"
            result = self._finish(job, make_unknown(event.step, "target", reason))
        else:
            reason = "the target is unreachable"
            result = self._finish_not_run(
                job, event.step, reason, event.now_s, "target"
            )
        return result + self._start_next(event.now_s)

    def _finish(self, job, reply):
        event = job.event
        del self.jobs[event.work_id]
        result = [self._reply(event.work_id, reply)]
        if event.key in self.key_records.records and not event.idempotent:
            waiters = self.key_records.record_reply(event.key, reply)
            result += self._reply_waiters(waiters, reply)
        return result

    def is_idle(self):
        """Return whether there are no jobs."""
        return not self.jobs
