"""Effects that the reducer returns; the shell carries them out."""

from dataclasses import dataclass

from balsamdeal.core.events import Finding, View
from balsamdeal.core.replies import Reply
from balsamdeal.documents import Version

ANNOUNCE = "announce"
COMPARE = "compare"


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Fire ``TimerFired(kind, subject)`` at ``at_s`` of the loop's clock."""

    kind: str
    subject: str
    at_s: float


@dataclass(frozen=True, slots=True)
class ReadSource:
    """Read a channel's key, waiting up to ``wait_s`` for a newer revision."""

    channel: str
    after_revision: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class SendView:
    """Compare views with the peer at ``address``; ``purpose`` says why."""

    address: str
    view: View
    purpose: str


@dataclass(frozen=True, slots=True)
class AnswerView:
    """Answer the comparison ``exchange_id``."""

    exchange_id: str
    view: View


@dataclass(frozen=True, slots=True)
class PullDelta:
    """Ask a peer for what leads from ``base`` to its version of a channel."""

    address: str
    channel: str
    base: Version | None


@dataclass(frozen=True, slots=True)
class ReportChange:
    """Log one line: something changed state."""

    change: str
    fields: dict[str, str | int | float]


@dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Give a caller its final answer."""

    request_id: str
    reply: Reply
    service: str
    traffic_class: str
    workspace: str
    attempts: int


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Hand a request to the node of the VM ``vm``."""

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
    """Send the work to the own target, once."""

    work_id: str
    timeout_s: float
    idempotent: bool


@dataclass(frozen=True, slots=True)
class CancelTarget:
    """Cancel the work at the own target."""

    work_id: str


@dataclass(frozen=True, slots=True)
class ReplyWork:
    """Reply to the ingress that handed over the work."""

    work_id: str
    reply: Reply


@dataclass(frozen=True, slots=True)
class SendInquiry:
    """Ask the peer at ``address`` what it knows of a key."""

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
