"""Validated models of the data that a process receives from outside."""

from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator

MAX_TIMEOUT_S = 300.0
# Bounds of values in messages from other nodes: the wait of a poll, the number of
# links, and the bandwidth of a link.
MAX_WAIT_S = 10.0
MAX_LINKS = 64
MAX_LINK_MBPS = 1e6


def _check_address(value):
    host, separator, port = value.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("expected host:port")
    return value


Name = Annotated[str, Field(pattern=r"^[\w][\w.-]{0,62}$")]
Address = Annotated[str, AfterValidator(_check_address)]
Method = Literal["GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"]


class Model(BaseModel):
    """Base of all models: unknown fields and values of another type are errors."""

    model_config = ConfigDict(extra="forbid", strict=True)


class NodeMessage(BaseModel):
    """Base of messages between nodes: fields of later releases are ignored."""

    model_config = ConfigDict(extra="ignore", strict=True)


class ClassModel(Model):
    """A traffic class of a service; times in seconds."""

    weight: float = Field(gt=0, le=1000)
    timeout_s: float = Field(gt=0, le=MAX_TIMEOUT_S)
    hedge_after_s: float | None = Field(default=None, gt=0)


class ServiceModel(Model):
    """A part ``services/NAME.yaml``; its limits apply to each target of the service.

    ``slots`` is the number of requests that a target runs at once.
    """

    slots: int = Field(gt=0, le=10_000)
    connections: int = Field(gt=0, le=100_000)
    classes: dict[Name, ClassModel] = Field(min_length=1)

    @model_validator(mode="after")
    def _check_connections(self):
        if self.connections < self.slots:
            raise ValueError("connections must not be fewer than slots")
        return self


class WorkspaceModel(Model):
    """A part ``workspaces/NAME.yaml``: templates to render with ``parameters``."""

    templates: list[Name] = Field(min_length=1)
    parameters: dict[str, Any] = Field(default_factory=dict)
    share: float = Field(default=1.0, gt=0, le=1000)


class RouteModel(Model):
    """One route of a rendered template.

    ``reach`` is the name of the service. ``idempotent`` None leaves it to the methods.
    """

    path: str = Field(pattern=r"^/[^\s?#]*$")
    methods: list[Method] = Field(min_length=1)
    reach: Name
    traffic_class: Name = Field(alias="class")
    idempotent: bool | None = None


class RenderedTemplate(Model):
    """The output of a template, parsed as YAML."""

    routes: list[RouteModel] = Field(min_length=1)


class VmModel(Model):
    """One VM of the platform's list."""

    vm: Name
    region: Name
    failure_domain: Name
    service: Name
    peer_address: Address
    operator_address: Address
    state: Literal["live", "leaving"]


class VmListPart(Model):
    """The VM list, or the part of it in one failure domain."""

    vms: list[VmModel]


class PartReference(Model):
    """The key and digest of content that is stored under a key of its own.

    Parts that are too large for the bundle are stored under such keys.
    """

    key: str
    sha256: str


class Pointer(Model):
    """The value of a channel's key: a reference to the newest version's content.

    It is small, so that a watch that ends without a change transfers few bytes.
    """

    format: Literal[1]
    content: PartReference


class Bundle(Model):
    """The content of one version of the configuration: all its parts, by name."""

    format: Literal[1]
    parts: dict[str, str | PartReference]


class ViewMessage(NodeMessage):
    """A node's state, which two nodes exchange to compare their versions.

    ``started_s`` is the sender's start in seconds since the epoch; ``versions`` maps
    channels to revision and digest; ``source_age_s`` is the time since any node read
    the source, as far as the sender knows; ``starting`` is true while the sender
    starts.
    """

    vm: str
    failure_domain: str
    address: Address
    started_s: float
    versions: dict[str, tuple[int, str]]
    source_age_s: float | None
    starting: bool
    draining: bool


class DeltaMessage(NodeMessage):
    """A delta of a channel's document; see ``documents.Delta``."""

    base: tuple[int, str] | None
    version: tuple[int, str]
    changed: dict[str, str]
    removed: list[str]


# Values from another node: a wait and an age in seconds, a bandwidth in Mbit/s.
WaitSeconds = Annotated[float, Field(ge=0, le=MAX_WAIT_S)]
LinkMbps = Annotated[float, Field(ge=0, le=MAX_LINK_MBPS)]
AgeSeconds = Annotated[float, Field(ge=0, allow_inf_nan=False)]


class PollRequestMessage(NodeMessage):
    """A request for a newer configuration; see ``replication_messages.PollRequest``."""

    base: tuple[int, str] | None
    wait_s: WaitSeconds
    links: Annotated[list[tuple[str, LinkMbps]], Field(max_length=MAX_LINKS)]


class PollResponseMessage(NodeMessage):
    """The answer to a ``PollRequestMessage``; see ``PollResponse``."""

    delta: DeltaMessage | None
    is_behind: bool
    source_age_s: AgeSeconds | None
    links: Annotated[list[tuple[str, LinkMbps]], Field(max_length=MAX_LINKS)]


class InquiryAnswer(NodeMessage):
    """The answer to an ``InquiryMessage``: the state of the key at the node ``vm``.

    ``since_s`` is the start of the node's process in seconds since the epoch,
    ``vms_revision`` the revision of its VM list.
    """

    state: Literal["absent", "barred", "never", "running", "done"]
    vm: str
    since_s: float
    vms_revision: int


class WorkMessage(NodeMessage):
    """Metadata of a request that an ingress forwards to a target's node.

    ``vm`` and ``address`` are those of the ingress, ``attempt`` is its id of the
    attempt. ``flow`` is the pair of workspace and class. ``fresh`` is true if the
    caller sent no key, so that the ingress generated it. ``received_s`` is when the
    ingress received the request, in seconds since the epoch. ``config`` is the
    revision and digest of the configuration in force there.
    """

    attempt: str
    vm: str
    address: Address
    service: str
    flow: tuple[str, str]
    weight: float
    key: str
    fingerprint: str
    fresh: bool
    idempotent: bool
    timeout_s: float
    received_s: float
    method: Method
    path: str
    config: tuple[int, str]


class LoadMessage(NodeMessage):
    """The load of a target's node; see ``core.replies.Load``."""

    busy: int
    queued: int
    slots: int
    draining: bool


class ReplyMessage(NodeMessage):
    """Metadata of the reply to a forwarded request; see ``core.replies.Reply``."""

    attempt: str
    outcome: Literal["answered", "not-run", "unknown"]
    status: int
    step: str
    peer: str
    reason: str
    retry_after_s: float
    load: LoadMessage | None
    moved_to: str
    config: tuple[int, str]


class PullMessage(NodeMessage):
    """A request for a channel's document, as a delta from ``base`` if possible."""

    channel: Literal["config", "vms"]
    base: tuple[int, str] | None


class InquiryMessage(NodeMessage):
    """An inquiry about an idempotency key from the node ``asker``.

    Where the key is unknown it is barred, so that it never runs there.
    """

    key: str
    asker: str
