"""Memory of idempotency keys at a target's node, and proof that a key never ran.

Work with a key runs at the service's VM that ranks first for the key by rendezvous
hashing. Views of the fleet differ, so a node proves before it runs a key that no
other VM which some view ranks first has run it: it inquires there, and an inquiry
bars the key where it was unknown. Where proof cannot be had, because the node that
would know is gone or silent, the outcome is unknown and the key does not run.

A key that is a UUID of version 7 tells when it was made. It cannot have run at a
process that had ended by then, which lets such keys run at once after a restart.
"""

import uuid
from dataclasses import dataclass, field, replace

from balsamdeal.core.membership import compute_score, rank
from balsamdeal.core.replies import make_unknown

MEMORY_S = 600.0
MAX_RECORDS = 20_000
MAX_STORED_BODY = 65_536  # bytes
MAX_STORED_BYTES = 16_000_000

ABSENT = "absent"
CLEARING = "clearing"
RUNNING = "running"
DONE = "done"
SHED = "shed"
BARRED = "barred"
NEVER = "never"
ENDED = "ended"
LOST = "lost"

CLEAR = "clear"
ELSEWHERE = "elsewhere"
UNPROVED = "unproved"


def scope_key(workspace, key):
    """Return a key as nodes know it: one workspace's keys are not another's."""
    return f"{workspace}/{key}"


def parse_birth_s(key):
    """Return when a UUIDv7 key was made, in seconds since the epoch, or None.

    :param key: a key as by ``scope_key``.
    """
    try:
        parsed = uuid.UUID(key.partition("/")[2])
    except ValueError:
        return None
    return (parsed.int >> 80) / 1000.0 if parsed.version == 7 else None


@dataclass(frozen=True, slots=True)
class KeyPolicy:
    """What is taken for granted about keys; times in seconds.

    ``clock_skew_s`` bounds how far clocks of callers and VMs differ, which dated
    keys rest on. Undated keys are resent within ``resend_horizon_s`` only.
    """

    clock_skew_s: float = 0.5
    resend_horizon_s: float = 30.0


@dataclass(slots=True)
class Record:
    """What is remembered of a key.

    ``state`` is CLEARING while others are asked, RUNNING, DONE, SHED after a caller
    was told that it has not run, BARRED in favour of ``asker``, or NEVER after a
    caller asked about it.
    """

    state: str
    noted_s: float
    fingerprint: str = ""
    reply: object = None
    asker: str = ""
    waiters: list = field(default_factory=list)


class Outcomes:
    """Records by key, oldest first; changed in place.

    :param own_name: the name of this node's VM.
    """

    def __init__(self, own_name):
        self.own_name = own_name
        self.records = {}
        self.stored_bytes = 0

    def find(self, key, now_s):
        """Return the record of a key, or None."""
        self.expire(now_s)
        return self.records.get(key)

    def expire(self, now_s):
        """Drop records that are older than MEMORY_S; running ones stay."""
        expired = []
        for key, record in self.records.items():
            if now_s - record.noted_s <= MEMORY_S:
                break
            if record.state not in (CLEARING, RUNNING):
                expired.append(key)
        for key in expired:
            self._drop(key)

    def has_room(self, fresh):
        """Return whether a key can be noted.

        At the bound new keys are refused: dropping a young record could let a
        resent key run twice. Keys made by an ingress are not resent, so they leave
        half of the room to those of callers.

        :param fresh: whether the key was made by an ingress.
        """
        return len(self.records) < (MAX_RECORDS // 2 if fresh else MAX_RECORDS)

    def begin(self, key, state, now_s, fingerprint=""):
        """Note that a key is CLEARING or RUNNING, and for which request."""
        self.records[key] = Record(state, now_s, fingerprint)

    def answer_inquiry(self, key, asker, now_s):
        """Return the state that a peer is told, and bar the key if it is unknown.

        Two nodes that clear one key at once ask each other; the one that ranks
        first for the key goes on, and the other is barred.

        :param key: the idempotency key.
        :param asker: the VM that wants to run it, or the empty string.
        :param now_s: the loop's time in seconds.
        """
        record = self.find(key, now_s)
        if record is None:
            self._bar(key, asker, now_s)
            return ABSENT
        if record.state == SHED:
            if asker:
                return RUNNING
            self._bar(key, asker, now_s)
            return ABSENT
        if record.state == CLEARING:
            own_score = compute_score(key, self.own_name)
            if asker and compute_score(key, asker) < own_score:
                return RUNNING
            record.state = BARRED if asker else NEVER
            record.asker = asker
            return ABSENT
        if record.state == BARRED and asker:
            return ABSENT
        return record.state

    def _bar(self, key, asker, now_s):
        state = BARRED if asker else NEVER
        self.records[key] = Record(state, now_s, asker=asker)

    def _drop(self, key):
        record = self.records.pop(key, None)
        if record is not None and record.reply is not None:
            self.stored_bytes -= len(record.reply.body)
        return record

    def finish(self, key, reply):
        """Keep the reply of a key; return the work that waits for it.

        Where there is no room for the reply, a resend hears that the key ran.
        """
        record = self.records[key]
        record.state = DONE
        size = len(reply.body)
        if size > MAX_STORED_BODY or self.stored_bytes + size > MAX_STORED_BYTES:
            reason = "it ran, and there was no room to keep its answer"
            reply = replace(make_unknown("memory", self.own_name, reason), status=409)
        record.reply = reply
        self.stored_bytes += len(reply.body)
        waiters, record.waiters = record.waiters, []
        return waiters

    def refuse(self, key, now_s):
        """Note that a key did not run and a caller hears so.

        Copies that were sent before must not run any more; see ``is_refused``.

        :returns: the work that waits for the key.
        """
        record = self._drop(key)
        self.records[key] = Record(SHED, now_s)
        return record.waiters

    def is_refused(self, record, received_s, policy):
        """Return whether work was received before its key was called not run.

        :param record: a record that is SHED.
        :param received_s: when the ingress received the work, in the time of
            ``Record.noted_s``.
        :param policy: the ``KeyPolicy``.
        """
        return received_s <= record.noted_s + policy.clock_skew_s

    def forget(self, key):
        """Drop a key whose outcome stays unknown; return the work that waits.

        A key that was barred meanwhile stays barred: whoever barred it counts on it.
        """
        record = self.records.get(key)
        if record is None:
            return []
        waiters, record.waiters = record.waiters, []
        if record.state not in (BARRED, NEVER):
            self._drop(key)
        return waiters


def list_inquiries(membership, key, service, in_doubt, now_s, wall_s, policy):
    """Return the VMs that must be asked before this node runs a key.

    These are all VMs that rank above this node, and below it those that ranked
    first in some older list, unless they were known to hold the list in force before
    the key was first sent. When this node's own memory leaves a doubt, all are asked,
    as one may have the answer.

    :param membership: the node's ``Membership``.
    :param key: the idempotency key.
    :param service: the service's name.
    :param in_doubt: whether to ask all VMs of the service.
    :param now_s: the loop's time in seconds.
    :param wall_s: the same moment in seconds since the epoch.
    :param policy: the ``KeyPolicy``.
    """
    own = membership.own
    members = {vm.name: vm for vm in membership.list_service(service)}
    members[own.name] = own
    ranking = rank(key, members.values())
    position = next(i for i, vm in enumerate(ranking) if vm.name == own.name)
    if in_doubt:
        return ranking[:position] + ranking[position + 1 :]
    inquiries = ranking[:position]
    for vm in ranking[position + 1 :]:
        agreed_s = membership.get_agreed_s(vm)
        if agreed_s is None or not was_sent_after(
            key, wall_s - (now_s - agreed_s), wall_s, policy
        ):
            inquiries.append(vm)
        joined_s = membership.joined_s.get(vm.name, float("-inf"))
        if now_s - joined_s > policy.resend_horizon_s:
            break
    return inquiries


def was_sent_after(key, moment_s, now_wall_s, policy):
    """Return whether a key was first sent after a moment; no if that is not sure.

    :param key: the idempotency key.
    :param moment_s: the moment in seconds since the epoch.
    :param now_wall_s: the time in seconds since the epoch.
    :param policy: the ``KeyPolicy``.
    """
    birth_s = parse_birth_s(key)
    if birth_s is None:
        return now_wall_s - moment_s >= policy.resend_horizon_s
    return birth_s > moment_s + policy.clock_skew_s


def covers(key, started_s, now_wall_s, policy):
    """Return whether a process's memory reaches back to a key's first sending.

    :param key: the idempotency key.
    :param started_s: the process's start in seconds since the epoch.
    :param now_wall_s: the time in seconds since the epoch.
    :param policy: the ``KeyPolicy``.
    """
    birth_s = parse_birth_s(key)
    if birth_s is not None and now_wall_s - birth_s > MEMORY_S:
        return False
    return was_sent_after(key, started_s, now_wall_s, policy)


def find_departed_owner(membership, key, service, now_s, now_wall_s, policy):
    """Return a departed VM that may have run the key, or the empty string.

    :param membership: the node's ``Membership``.
    :param key: the idempotency key.
    :param service: the service's name.
    :param now_s: the loop's time in seconds.
    :param now_wall_s: the same moment in seconds since the epoch.
    :param policy: the ``KeyPolicy``.
    """
    own_score = compute_score(key, membership.own.name)
    for name, (vm, departed_s) in membership.departed.items():
        if vm.service != service or compute_score(key, name) < own_score:
            continue
        departed_wall_s = now_wall_s - (now_s - departed_s)
        if not was_sent_after(key, departed_wall_s, now_wall_s, policy):
            return name
    return ""


def judge(key, findings, now_wall_s, policy):
    """Return CLEAR, ELSEWHERE, UNPROVED or NEVER, and the VM that decided it.

    NEVER means that a caller asked about the key. A VM that refuses connections runs
    no process. A key that was first sent after its process ended cannot have run
    there.

    :param key: the idempotency key.
    :param findings: one ``events.Finding`` for each VM that was asked.
    :param now_wall_s: the time in seconds since the epoch.
    :param policy: the ``KeyPolicy``.
    """
    for finding in findings:
        if finding.state in (RUNNING, DONE):
            return ELSEWHERE, finding.vm
    for finding in findings:
        if finding.state == NEVER:
            return NEVER, finding.vm
    for finding in findings:
        if finding.state == ENDED:
            proved = was_sent_after(key, finding.since_s, now_wall_s, policy)
        else:
            proved = finding.state == ABSENT and covers(
                key, finding.since_s, now_wall_s, policy
            )
        if not proved:
            return UNPROVED, finding.vm
    return CLEAR, ""


def is_proved_unrun(key, findings, now_wall_s, policy):
    """Return whether findings prove to a caller who asks that a key has not run.

    :param key: the idempotency key.
    :param findings: one ``events.Finding`` for each VM of the service.
    :param now_wall_s: the time in seconds since the epoch.
    :param policy: the ``KeyPolicy``.
    """
    return all(
        finding.state in (ABSENT, NEVER)
        and covers(key, finding.since_s, now_wall_s, policy)
        for finding in findings
    )
