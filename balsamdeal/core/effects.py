"""Effects that the reducer returns and the shell executes."""

from dataclasses import dataclass

from balsamdeal.core.events import Finding, View
from balsamdeal.core.replies import Reply
from balsamdeal.documents import Version

ANNOUNCE = "announce"
COMPARE = "compare"


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver ``TimerFired(kind, subject)`` at ``at_s`` of the loop's clock."""

    kind: str
    subject: str
    at_s: float


@dataclass(frozen=True, slots=True)
class ReadSource:
    """Read a channel's key.

    The source may hold the read for ``wait_s`` until it has a revision newer than
    ``after_revision``. ``read_id`` tells apart the reads of a channel that overlap.
    """

    channel: str
    after_revision: int
    wait_s: float
    read_id: int = 0


@dataclass(frozen=True, slots=True)
class SendView:
    """Send this node's view to a peer; ``purpose`` is ANNOUNCE or COMPARE."""

    address: str
    view: View
    purpose: str


@dataclass(frozen=True, slots=True)
class AnswerView:
    """Answer a peer's view with this node's, in the exchange ``exchange_id``."""

    exchange_id: str
    view: View


@dataclass(frozen=True, slots=True)
class PullDelta:
    """Request the delta from ``base`` to a peer's version of a channel.

    If ``base`` is None, that is the whole document.
    """

    address: str
    channel: str
    base: Version | None


@dataclass(frozen=True, slots=True)
class ReportChange:
    """Log a change of state as one line."""

    change: str
    fields: dict[str, str | int | float]


@dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Send a caller the final answer to its request."""

    request_id: str
    reply: Reply
    service: str
    traffic_class: str
    workspace: str
    attempts: int


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request to the node of the VM ``vm``.

    ``new_connection`` is set if no idle connection may be used. The fields that
    describe the work are as in ``events.WorkReceived``.
    """

    attempt_id: str
    request_id: str
    vm: str
    address: str
    service: str
    flow: tuple[str, str]
    weight: float
    key: str
    fingerprint: str
    fresh: bool
    idempotent: bool
    timeout_s: float
    received_s: float
    new_connection: bool


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close the exchange of an attempt whose reply is no longer wanted."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class RunOnTarget:
    """Send work to this node's target, once."""

    work_id: str
    timeout_s: float
    idempotent: bool


@dataclass(frozen=True, slots=True)
class CancelTarget:
    """Cancel work at this node's target."""

    work_id: str


@dataclass(frozen=True, slots=True)
class ReplyWork:
    """Reply to the ingress node that sent the work."""

    work_id: str
    reply: Reply


@dataclass(frozen=True, slots=True)
class SendInquiry:
    """Inquire about a key at the peer at ``address``."""

    subject: str
    vm: str
    address: str
    key: str
    asker: str


@dataclass(frozen=True, slots=True)
class AnswerInquiry:
    """Answer a peer's inquiry."""

    exchange_id: str
    finding: Finding
