"""Events that the reducer takes; times are seconds of the loop's clock.

Every event carries ``now_s``. Nothing in the core reads a clock.
"""

from dataclasses import dataclass

from balsamdeal.core.replies import Reply
from balsamdeal.documents import Delta, Document, Version


@dataclass(frozen=True, slots=True)
class Started:
    """The process has started; ``wall_s`` is the time since the epoch."""

    wall_s: float
    now_s: float


@dataclass(frozen=True, slots=True)
class Ticked:
    """The periodic timer fired."""

    now_s: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that a ``SetTimer`` effect asked for has fired."""

    kind: str
    subject: str
    now_s: float


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The process was told to stop: take no new work, finish what is in flight."""

    now_s: float


@dataclass(frozen=True, slots=True)
class SourceAnswered:
    """The source answered; ``document`` is None when nothing is newer."""

    channel: str
    revision: int
    document: Document | None
    now_s: float


@dataclass(frozen=True, slots=True)
class SourceFailed:
    """The source could not be read, or what it published was not consistent."""

    channel: str
    step: str
    reason: str
    now_s: float


@dataclass(frozen=True, slots=True)
class View:
    """What a node says of itself in a comparison; see ``models.ViewMessage``."""

    vm: str
    failure_domain: str
    address: str
    started_s: float
    versions: dict[str, Version]
    source_age_s: float | None
    starting: bool
    draining: bool


@dataclass(frozen=True, slots=True)
class PeerHeard:
    """A peer sent its view and waits for ours on ``exchange_id``."""

    exchange_id: str
    view: View
    now_s: float


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """A peer answered our comparison with its view."""

    view: View
    now_s: float


@dataclass(frozen=True, slots=True)
class PeerFailed:
    """An exchange with a peer failed at ``step``.

    ``purpose`` is that of the ``SendView``, or the channel of a ``PullDelta``.
    """

    address: str
    step: str
    purpose: str
    now_s: float


@dataclass(frozen=True, slots=True)
class DeltaPulled:
    """A peer answered a pull."""

    address: str
    channel: str
    delta: Delta
    now_s: float


@dataclass(frozen=True, slots=True)
class VersionHinted:
    """A call from ``address`` carried this version of the channel ``config``."""

    address: str
    version: Version
    now_s: float


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A caller's request.

    ``key`` is its Idempotency-Key or the empty string, ``fingerprint`` a digest of
    what the request is.
    """

    request_id: str
    workspace: str
    method: str
    path: str
    key: str
    fingerprint: str
    timeout_s: float | None
    may_retry: bool
    now_s: float


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed its connection before the answer."""

    request_id: str
    now_s: float


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """The node of a target replied to an attempt."""

    attempt_id: str
    reply: Reply
    now_s: float


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt had no whole reply; ``written`` if it may have been received."""

    attempt_id: str
    step: str
    peer: str
    written: bool
    now_s: float


@dataclass(frozen=True, slots=True)
class OutcomeAsked:
    """A caller asks what became of a key; ``key`` as by ``outcomes.scope_key``."""

    request_id: str
    service: str
    key: str
    now_s: float


@dataclass(frozen=True, slots=True)
class WorkReceived:
    """An ingress hands over work for this node's own target.

    ``fresh`` says that the key was made for this attempt, so no copy of it can
    have been sent anywhere else. ``received_s`` is when the ingress received it, in
    seconds since the epoch.
    """

    work_id: str
    service: str
    flow: tuple[str, str]
    weight: float
    key: str
    fingerprint: str
    fresh: bool
    idempotent: bool
    timeout_s: float
    received_s: float
    now_s: float


@dataclass(frozen=True, slots=True)
class WorkAbandoned:
    """The ingress closed the exchange and will not read a reply."""

    work_id: str
    now_s: float


@dataclass(frozen=True, slots=True)
class TargetAnswered:
    """The own target answered whole; ``not_run`` and ``draining`` are its words."""

    work_id: str
    reply: Reply
    not_run: bool
    draining: bool
    now_s: float


@dataclass(frozen=True, slots=True)
class TargetFailed:
    """The own target gave no whole answer."""

    work_id: str
    step: str
    written: bool
    now_s: float


@dataclass(frozen=True, slots=True)
class KeyInquired:
    """A peer asks about a key and wants it never to run here if it is unknown."""

    exchange_id: str
    key: str
    asker: str
    now_s: float


@dataclass(frozen=True, slots=True)
class Finding:
    """What a peer knows of a key.

    ``state`` is absent, running, done, barred, never, ended or lost. ``barred`` tells
    whoever asks for a caller that another VM may run it, ``never`` that a caller
    asked about it before. ``ended`` stands for a peer whose VM refuses connections,
    so that no process runs there, ``lost`` for one that could not be asked.
    ``since_s`` is when the process started, or has ended, in seconds since the epoch.
    """

    vm: str
    state: str
    since_s: float
    vms_revision: int


@dataclass(frozen=True, slots=True)
class InquiryAnswered:
    """An inquiry ended for the work or the caller's question ``subject``."""

    subject: str
    finding: Finding
    now_s: float
