"""Events and effects of the request path, as data.

``now_s``, ``at_s``, ``end_s`` and ``accept_all_until_s`` are times of the event loop's
clock in seconds; all other fields in seconds are durations. Payloads are not part of
events and effects: the shell keeps them under the IDs that events and effects carry.
"""

import math
from dataclasses import dataclass

from balsamdeal.core.crashes import CrashReport

# Outcomes of work at a target's node.
ANSWERED = "answered"  # the target sent a complete answer
NOT_RUN = "not-run"  # no target has begun it, and none will
UNKNOWN = "unknown"  # a target may have run it
# Replies report a stop from this long before the end of the time in which the node
# accepts everything. Until then other nodes use its target as usual; after that, even
# the longest runs of the users' services (two seconds at a slow target) still end in
# time.
STOP_NOTICE_S = 1.5


@dataclass(frozen=True, slots=True)
class LinkReport:
    """How busy a VM's own link is.

    ``wait_s`` is how long it takes for the large answers that wait or are expected of
    running work, in seconds; ``mbps`` is its bandwidth in Mbit/s.
    """

    wait_s: float
    mbps: float


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """The load of a target, which its node sends with each reply.

    ``busy`` counts running work and ``queued`` waiting work; ``limit`` is the number
    of concurrent runs. ``wait_s`` is the expected wait of work that arrives now,
    ``work_s`` the mean length of a run. ``stopping`` is set when the node is about to
    stop. ``link`` is None unless large answers wait for the VM's link.
    """

    busy: int
    queued: int
    limit: int
    work_s: float
    wait_s: float
    stopping: bool
    link: LinkReport | None = None


@dataclass(frozen=True, slots=True)
class WorkReply:
    """The result of work, as a target's node reports it.

    ``target_reached`` is set if anything was sent to the target, which counts against
    retry budgets. ``retry_after_s`` is the time until there will be room, for
    ``NOT_RUN``. ``ran_s`` is the length of the run, for ``ANSWERED``. ``failed`` is set
    if the target's answer is itself a failure. ``target_unavailable`` is set if the
    target takes no work from any node for now. ``crash_reports`` are those of crashes
    that ended the run, or for which the work is refused.
    """

    outcome: str
    target_reached: bool
    reason: str
    retry_after_s: float = 0.0
    ran_s: float = 0.0
    failed: bool = False
    target_unavailable: bool = False
    load: NodeLoad | None = None
    crash_reports: tuple[CrashReport, ...] = ()


@dataclass(frozen=True, slots=True)
class TargetNotice:
    """What a target says of itself in an answer.

    ``has_limit`` is set if it names a limit, and ``requests_per_s`` is that limit for
    the requests of all nodes together, or None if it is no valid number. ``leaving`` is
    set if the target is about to exit.
    """

    has_limit: bool = False
    requests_per_s: float | None = None
    leaving: bool = False


NO_NOTICE = TargetNotice()


@dataclass(frozen=True, slots=True)
class LimitReport:
    """The limit that a target has named in answers to the node that reports it.

    ``per_s`` is the limit in requests per second, ``age_s`` the time in seconds since
    that node has first received it.
    """

    per_s: float
    age_s: float


# Events at the node that received a caller's request


@dataclass(frozen=True, slots=True)
class CallReceived:
    """A complete request arrived; ``time_left_s`` is None if it set no timeout.

    ``digest`` is the same in all attempts at one request.
    """

    call_id: int
    request_id: str
    host: str
    path: str
    time_left_s: float | None
    now_s: float
    digest: str = ""


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """A caller closed its connection before it got an answer."""

    call_id: int
    now_s: float


@dataclass(frozen=True, slots=True)
class AttemptReplied:
    """A target's node replied to an attempt; ``answer_bytes`` is the answer's size."""

    attempt_id: int
    reply: WorkReply
    now_s: float
    notice: TargetNotice = NO_NOTICE
    answer_bytes: int = 0


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt got no reply; ``sent`` is set if a byte may have left this node."""

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
    """Work for this node's target arrived.

    ``time_left_s`` is the time until its deadline. ``objective_left_s`` is the time
    left to meet its latency objective, negative if that has passed. ``objective_s`` is
    the whole latency objective of its route. ``limit_report`` is what the sender knows
    of the target's limit, or None. ``local`` is set if its answer stays on this VM.
    ``digest`` is the same in all attempts at one request, and ``crash_reports`` are
    those that count against it. ``repeated`` is the request's host and path if it may
    have run already, else None.
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
    limit_report: LimitReport | None = None
    local: bool = False
    digest: str = ""
    crash_reports: tuple[CrashReport, ...] = ()
    repeated: tuple[str, str] | None = None


@dataclass(frozen=True, slots=True)
class WorkAbandoned:
    """The node that sent work has disconnected or cancelled it."""

    work_id: int
    now_s: float


@dataclass(frozen=True, slots=True)
class TargetReplied:
    """The target gave a complete answer.

    ``declined`` is set if the answer says that nothing ran, ``misdirected`` if another
    server holds the target's address, ``failed`` if the answer is a failure.
    ``answer_bytes`` is the size of its body.
    """

    work_id: int
    declined: bool
    misdirected: bool
    failed: bool
    now_s: float
    notice: TargetNotice = NO_NOTICE
    answer_bytes: int = 0


@dataclass(frozen=True, slots=True)
class TargetFailed:
    """No usable answer from the target; ``sent`` is set if it may have begun work."""

    work_id: int
    sent: bool
    step: str
    now_s: float


@dataclass(frozen=True, slots=True)
class TargetChecked:
    """Result of a ``CheckTarget``: whether the target refuses connections."""

    refused: bool
    now_s: float


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was asked to stop, and exits at ``end_s`` at the latest.

    Until ``accept_all_until_s`` it accepts everything, because callers have not yet
    noticed the stop; after that it accepts only what ends by ``end_s``.
    """

    accept_all_until_s: float
    end_s: float
    now_s: float

    def is_near(self, now_s):
        """Return whether other nodes should already send their work elsewhere."""
        return now_s >= self.accept_all_until_s - STOP_NOTICE_S

    def accepts(self, now_s, time_left_s):
        """Return whether a new call or work of this maximum duration is accepted."""
        return now_s <= self.accept_all_until_s or now_s + time_left_s <= self.end_s


@dataclass(frozen=True, slots=True)
class StopEnding:
    """The process is about to exit, and answers what is still in flight."""

    now_s: float


# Effects


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Requests a ``TimerFired``; a later timer for the same subject replaces it."""

    kind: str
    subject: int
    at_s: float


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Sends a call to the node in front of a target; ``local`` if that is this node.

    ``limit_report`` is the limit that the target has named to this node, or None.
    ``crash_reports`` are those that count against the request. ``repeated`` is its host
    and path if it may have run already, else None.
    """

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
    limit_report: LimitReport | None = None
    crash_reports: tuple[CrashReport, ...] = ()
    repeated: tuple[str, str] | None = None


def make_work(effect, work_id, request_id, now_s, digest=""):
    """Return the ``WorkReceived`` event of an attempt at its target's node.

    :param effect: the ``SendAttempt``.
    :param digest: that of the request.
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
        effect.limit_report,
        effect.local,
        digest,
        effect.crash_reports,
        effect.repeated,
    )


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancels an attempt, also at the target's node.

    ``silent`` is set if that node should have replied by now: other connections to it
    may be dead, too.
    """

    attempt_id: int
    silent: bool = False


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """Sends the target's answer to an attempt on to the caller."""

    call_id: int
    attempt_id: int
    service: str
    route: str


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Sends a caller an error answer of the node itself.

    ``retry_after_s`` is None if the answer has no Retry-After. ``service`` and
    ``route`` are empty if no route was found.
    """

    call_id: int
    status: int
    reason: str
    retry_after_s: float | None
    service: str = ""
    route: str = ""


@dataclass(frozen=True, slots=True)
class DropCall:
    """Drops the state of a call whose caller has disconnected."""

    call_id: int


@dataclass(frozen=True, slots=True)
class RunWork:
    """Sends work to this node's target."""

    work_id: int
    instance: str
    idempotent: bool
    time_left_s: float


@dataclass(frozen=True, slots=True)
class CheckTarget:
    """Asks whether this node's target still accepts connections."""


@dataclass(frozen=True, slots=True)
class CancelWork:
    """Cancels work at this node's target; ``silent`` as for ``CancelAttempt``."""

    work_id: int
    silent: bool = False


@dataclass(frozen=True, slots=True)
class ReplyWork:
    """Replies to the node that sent work; the reply should arrive by ``due_s``."""

    work_id: int
    reply: WorkReply
    due_s: float = math.inf


@dataclass(frozen=True, slots=True)
class LogDecision:
    """A log entry of a decision and its inputs.

    ``routine`` entries are the first to be left out above the log's rate limit.
    """

    event: str
    fields: dict
    routine: bool = False
