"""Events that the reducer handles; times are in seconds of the loop's clock.

Every event carries the current time as ``now_s``: nothing in the core reads a clock.
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
    """A stop was requested: take no new work, finish what is in flight."""

    now_s: float


@dataclass(frozen=True, slots=True)
class SourceAnswered:
    """The source answered; ``document`` is None if there is no newer revision.

    ``read_id`` is that of the ``ReadSource``. ``transfer_s`` is how long the document
    takes over the own link if it is idle, or None if there is none or it is not known.
    """

    channel: str
    revision: int
    document: Document | None
    now_s: float
    read_id: int = 0
    transfer_s: float | None = None


@dataclass(frozen=True, slots=True)
class SourceFailed:
    """The source could not be read, or its published data was inconsistent.

    ``read_id`` is that of the ``ReadSource``.
    """

    channel: str
    step: str
    reason: str
    now_s: float
    read_id: int = 0


@dataclass(frozen=True, slots=True)
class View:
    """A node's own state, as sent to peers; see ``models.ViewMessage``.

    ``started_s`` is in seconds since the epoch. ``source_age_s`` is the time since the
    last known contact of any node with the source, or None if none is known.
    """

    vm: str
    failure_domain: str
    address: str
    started_s: float
    versions: dict[str, Version]
    source_age_s: float | None
    starting: bool
    draining: bool


@dataclass(frozen=True, slots=True)
class PeerViewReceived:
    """A peer sent its view; the reply to ``exchange_id`` must carry this node's."""

    exchange_id: str
    view: View
    now_s: float


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """A peer answered a ``SendView`` with its own view."""

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
    """A peer answered a ``PullDelta``."""

    address: str
    channel: str
    delta: Delta
    now_s: float


@dataclass(frozen=True, slots=True)
class VersionHinted:
    """Work or a reply from ``address`` carried a newer version of ``config``."""

    address: str
    version: Version
    now_s: float


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A caller sent a request.

    ``key`` is its Idempotency-Key, or the empty string. ``fingerprint`` is a digest of
    the request, which shows whether a key is reused for another one. ``timeout_s`` is
    None if the caller set no timeout. ``may_retry`` is unset if the caller forbids the
    node to retry.
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
    """The caller closed its connection before it was answered."""

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
    """An attempt got no complete reply; ``written`` if the peer may have got it."""

    attempt_id: str
    step: str
    peer: str
    written: bool
    now_s: float


@dataclass(frozen=True, slots=True)
class OutcomeQueried:
    """A caller queries the outcome of ``key``, made by ``key_records.scope_key``."""

    request_id: str
    service: str
    key: str
    now_s: float


@dataclass(frozen=True, slots=True)
class WorkReceived:
    """An ingress node sent work for this node's own target.

    ``fresh`` means that the key was generated for this attempt, so no copy of it can
    have been sent to another node. ``received_s`` is when the ingress received the
    request, in seconds since the epoch.
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
    """The ingress node closed the exchange and will not read a reply."""

    work_id: str
    now_s: float


@dataclass(frozen=True, slots=True)
class TargetAnswered:
    """This node's target sent a complete answer.

    ``not_run`` is set if the answer says that nothing ran, ``draining`` if it says that
    the target is shutting down.
    """

    work_id: str
    reply: Reply
    not_run: bool
    draining: bool
    now_s: float


@dataclass(frozen=True, slots=True)
class TargetFailed:
    """This node's target sent no complete answer.

    ``written`` is set if the target may have received the work.
    """

    work_id: str
    step: str
    written: bool
    now_s: float


@dataclass(frozen=True, slots=True)
class InquiryReceived:
    """A peer inquires about a key, which is barred from running here if unknown.

    ``asker`` is the VM that wants to run the key, or the empty string if a caller
    queries its outcome.
    """

    exchange_id: str
    key: str
    asker: str
    now_s: float


@dataclass(frozen=True, slots=True)
class Finding:
    """The state of a key at a peer.

    ``state`` is absent, running, done, barred, never, ended or lost. In the answer to
    a caller's query, ``barred`` means that another VM may run the key; ``never``
    means that a caller has queried the key before. ``ended`` means that the peer's
    VM refuses connections, so no process runs there; ``lost`` that the peer could not
    be reached. ``since_s`` is when the peer's process started, or since when it is
    known to have ended, in seconds since the epoch. ``vms_revision`` is the revision of
    the peer's VM list, or 0 if the peer sent no answer.
    """

    vm: str
    state: str
    since_s: float
    vms_revision: int


@dataclass(frozen=True, slots=True)
class InquiryAnswered:
    """An inquiry ended; ``subject`` is the id of the work or the caller's request."""

    subject: str
    finding: Finding
    now_s: float
