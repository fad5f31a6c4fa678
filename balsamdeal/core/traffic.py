"""Events and effects of the request path, as data.

Times ending in ``now_s`` and ``_at_s`` are the loop's, in seconds. Payloads stay with
the shell, under the ids that events and effects carry.
"""

from dataclasses import dataclass

# Outcomes of work at a target's node.
ANSWERED = "answered"  # a whole answer of the target
NOT_RUN = "not-run"  # no target began it, and none will
UNKNOWN = "unknown"  # a target may have run it
# Other nodes hear of a stop this long before the end of the time in which everything is
# taken. Until then the target serves them as before; later the longest runs of the
# users' services (two seconds where a target is slow) still end in time.
NOTICE_S = 1.5


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """What a target's node tells of its target with each reply.

    ``wait_s`` is the wait of work that would arrive now, ``work_s`` the mean time of
    a run. ``stopping`` says that the node is about to end.
    """

    busy: int
    queued: int
    limit: int
    work_s: float
    wait_s: float
    stopping: bool


@dataclass(frozen=True, slots=True)
class WorkReply:
    """How work ended at a target's node.

    ``reached`` tells whether the target was sent anything, which counts against
    retry budgets. ``retry_after_s`` is when there will be room, for ``NOT_RUN``.
    ``ran_s`` is the length of the run, for ``ANSWERED``.
    ``failed`` marks an answer of the target that is a failure of its own. ``unusable``
    says that the target takes no work for now, whoever asks.
    """

    outcome: str
    reached: bool
    reason: str
    retry_after_s: float = 0.0
    ran_s: float = 0.0
    failed: bool = False
    unusable: bool = False
    load: NodeLoad | None = None


# Events at the node that a caller reached


@dataclass(frozen=True, slots=True)
class CallReceived:
    """A caller's whole request arrived; ``time_left_s`` is None if it named none."""

    call_id: int
    request_id: str
    host: str
    path: str
    time_left_s: float | None
    now_s: float


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """A caller closed its connection before its answer."""

    call_id: int
    now_s: float


@dataclass(frozen=True, slots=True)
class AttemptReplied:
    """A target's node replied to an attempt."""

    attempt_id: int
    reply: WorkReply
    now_s: float


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt got no reply; ``sent`` if a byte of it may have left this node."""

    attempt_id: int
    sent: bool
    step: str
    now_s: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of a call or of work is due."""

    kind: str
    subject: int
    now_s: float


# Events at the node in front of a target


@dataclass(frozen=True, slots=True)
class WorkReceived:
    """Work for the own target arrived.

    ``time_left_s`` bounds it, ``objective_left_s`` is the time in which its answer
    is still in time (it may be negative), ``objective_s`` is that of its route.
    """

    work_id: int
    request_id: str
    instance: str
    service: str
    idempotent: bool
    rank: int
    time_left_s: float
    objective_left_s: float
    objective_s: float
    now_s: float


@dataclass(frozen=True, slots=True)
class WorkAbandoned:
    """The node that sent work has left or cancelled it."""

    work_id: int
    now_s: float


@dataclass(frozen=True, slots=True)
class TargetReplied:
    """The target gave a whole answer; ``declined`` if it says that it ran nothing.

    ``misdirected`` if another server holds its address, ``failed`` if the answer is a
    failure.
    """

    work_id: int
    declined: bool
    misdirected: bool
    failed: bool
    now_s: float


@dataclass(frozen=True, slots=True)
class TargetFailed:
    """The target gave no usable answer; ``sent`` if it may have begun the work."""

    work_id: int
    sent: bool
    step: str
    now_s: float


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was asked to end, and does so at ``end_s`` at the latest.

    Up to ``open_until_s`` it takes everything, as callers have not heard of it yet;
    after that only what ends in time.
    """

    open_until_s: float
    end_s: float
    now_s: float

    def is_near(self, now_s):
        """Return whether other nodes should send their work elsewhere."""
        return now_s >= self.open_until_s - NOTICE_S

    def takes(self, now_s, time_left_s):
        """Return whether something new is taken that may last for so long."""
        return now_s <= self.open_until_s or now_s + time_left_s <= self.end_s


# Effects


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Asks for ``TimerFired`` at a time; a later one for the subject replaces it."""

    kind: str
    subject: int
    at_s: float


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Sends a call to the node in front of a target."""

    attempt_id: int
    call_id: int
    node_address: str
    local: bool
    instance: str
    service: str
    idempotent: bool
    rank: int
    time_left_s: float
    objective_left_s: float
    objective_s: float


def make_work(effect, work_id, request_id, now_s):
    """Return the ``WorkReceived`` that an attempt is at its target's node.

    :param effect: the ``SendAttempt``.
    """
    return WorkReceived(
        work_id,
        request_id,
        effect.instance,
        effect.service,
        effect.idempotent,
        effect.rank,
        effect.time_left_s,
        effect.objective_left_s,
        effect.objective_s,
        now_s,
    )


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Breaks an attempt off, so that the target's node hears of it.

    ``silent`` if that node should have replied by now: other connections to it may be
    silent, too.
    """

    attempt_id: int
    silent: bool = False


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """Gives a target's answer, which came with an attempt, to the caller."""

    call_id: int
    attempt_id: int
    service: str
    route: str


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Answers a caller in the node's own name.

    ``retry_after_s`` is None where the caller is not asked back. ``service`` and
    ``route`` are empty where no route was found.
    """

    call_id: int
    status: int
    reason: str
    retry_after_s: float | None
    service: str = ""
    route: str = ""


@dataclass(frozen=True, slots=True)
class DropCall:
    """Forgets a call whose caller has left."""

    call_id: int


@dataclass(frozen=True, slots=True)
class RunWork:
    """Sends work to the own target."""

    work_id: int
    instance: str
    idempotent: bool
    time_left_s: float


@dataclass(frozen=True, slots=True)
class CancelWork:
    """Breaks off work at the own target; ``silent`` as for ``CancelAttempt``."""

    work_id: int
    silent: bool = False


@dataclass(frozen=True, slots=True)
class ReplyWork:
    """Replies to the node that sent work."""

    work_id: int
    reply: WorkReply


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision for the log: what was decided, and the inputs that decided it."""

    event: str
    fields: dict
    routine: bool = False
