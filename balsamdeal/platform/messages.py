"""The platform's messages, validated, and their translation to the product's types."""

import base64
import json
from functools import partial
from itertools import repeat
from typing import Annotated, Any, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from balsamdeal.core.routes import Backend, Configuration, HostRoute, Limits
from balsamdeal.core.targets import Target
from balsamdeal.errors import ContentError
from balsamdeal.net.messages import HeaderNames

HEADERS = HeaderNames(
    request_id="X-Request-Id",
    time_left_ms="X-Deadline-Ms",
    instance="X-Expected-Instance",
    caller_service="X-Caller-Service",
    seal="X-Server-Seal",
    declined="X-Not-Executed",
)


def _dash(name):
    return name.replace("_", "-")


class Message(BaseModel):
    """Base of the platform's messages: names have dashes, new fields may come."""

    model_config = ConfigDict(alias_generator=_dash, extra="ignore", strict=True)


# Versions are numbers in hexadecimal digits.
HexNumber = Annotated[str, AfterValidator(partial(int, base=16))]
Text = Annotated[str, Field(min_length=1)]
Prefix = Annotated[str, Field(pattern="^/")]
Positive = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(ge=1)]
# A field without a column is null in each row.
ABSENT = repeat(None)
DEFAULT_OBJECTIVE_S = 1.0
DEFAULT_MAX_ATTEMPTS = 1
DEFAULT_RANK = 0


class BackendMessage(Message):
    """A weighted part of a route."""

    service: Text
    weight: float = Field(ge=0)


class Table(Message):
    """Rows of values, and the names of their columns in any order."""

    columns: list[str]
    rows: list[list[Any]]


class TableMessage(Message):
    """Base of messages that come as a table; each field is a column.

    Checking a column at once costs less than a message for each row. Null stands for a
    field that a row does not have.
    """

    @model_validator(mode="before")
    @classmethod
    def _turn(cls, content):
        table = Table.model_validate(content)
        if any(len(row) != len(table.columns) for row in table.rows):
            raise ValueError("a row has more or fewer values than there are columns")
        return {
            name: tuple([row[place] for row in table.rows])
            for place, name in enumerate(table.columns)
        }


class RouteColumns(TableMessage):
    """Routes; ``kind`` says whether a request may run more than once.

    A route has a service, or several with weights.
    """

    host: tuple[Text, ...]
    name: tuple[Text, ...]
    path_prefix: tuple[Prefix, ...]
    kind: tuple[Literal["safe", "unsafe"], ...]
    service: tuple[Text | None, ...] = ABSENT
    weighted_backends: tuple[list[BackendMessage] | None, ...] = ABSENT
    timeout_s: tuple[Positive, ...]
    target_latency_s: tuple[Positive | None, ...] = ABSENT
    max_attempts: tuple[Count | None, ...] = ABSENT
    priority: tuple[int | None, ...] = ABSENT


class ServiceColumns(TableMessage):
    """Services."""

    name: tuple[Text, ...]


class LimitsMessage(Message):
    """What requesters may send."""

    max_header_bytes: int = Field(gt=0)
    max_body_bytes: int = Field(gt=0)
    header_timeout_s: float = Field(gt=0)
    idle_timeout_s: float = Field(gt=0)


class ConfigurationMessage(Message):
    """A whole configuration."""

    version: HexNumber
    limits: LimitsMessage
    routes: RouteColumns
    services: ServiceColumns


class ServerMessage(Message):
    """A server's entry. ``sequence`` counts its reports and is of no use here."""

    service: Text
    address: str = Field(pattern=r"^\d+\.\d+\.\d+\.\d+:\d+$")
    zone: Text
    slots: int = Field(gt=0)
    state: Literal["ready", "draining"]
    # Not used: how fast a target is shows in its runs. It is checked, as an entry with
    # a wrong type in it comes from another writer.
    cold_remaining_s: float = Field(default=0.0, ge=0)
    born: int | None = None


class ItemMessage(Message):
    """An item of the store, or a removal of one."""

    key: str
    revision: int
    value: str = ""
    deleted: bool = False


def _build_backends(route, service, parts, services):
    """Return the backends of the route of that name."""
    if parts is None:
        if service is None:
            raise ContentError("names no service", "resolve", route)
        backends = (Backend(service, 1.0),)
    else:
        backends = tuple([Backend(part.service, part.weight) for part in parts])
        if sum([backend.weight for backend in backends]) <= 0:
            raise ContentError("has no weight above zero", "resolve", route)
    for backend in backends:
        if backend.service not in services:
            reason = f"unknown service {backend.service}"
            raise ContentError(reason, "resolve", route)
    return backends


def _build_hosts(routes, services):
    """Return the routes by host and prefix."""
    parts = zip(routes.name, routes.service, routes.weighted_backends)
    built = map(
        HostRoute,
        routes.name,
        routes.path_prefix,
        [_build_backends(*part, services) for part in parts],
        [kind == "safe" for kind in routes.kind],
        routes.timeout_s,
        (value or DEFAULT_OBJECTIVE_S for value in routes.target_latency_s),
        (value or DEFAULT_MAX_ATTEMPTS for value in routes.max_attempts),
        (value or DEFAULT_RANK for value in routes.priority),
    )
    hosts = {}
    for host, route in zip(routes.host, built):
        hosts.setdefault(host.lower(), {})[route.prefix] = route
    return hosts


def decode_configuration(content):
    """Return the ``Configuration`` in the JSON bytes of a value.

    :raises ContentError: when any part of it is bad; nothing of it is used then.
    """
    try:
        message = ConfigurationMessage.model_validate_json(content)
    except ValidationError as error:
        fault = error.errors()[0]
        reason = f"{'.'.join(map(str, fault['loc']))}: {fault['msg']}"
        raise ContentError(reason, "validate", "configuration") from error
    services = frozenset(message.services.name)
    hosts = _build_hosts(message.routes, services)
    limits = Limits(
        message.limits.max_header_bytes,
        message.limits.max_body_bytes,
        message.limits.header_timeout_s,
        message.limits.idle_timeout_s,
    )
    return Configuration(message.version, hosts, services, limits)


def decode_value(item):
    """Return the bytes of an item's value.

    :raises ContentError: when it is not base64 text.
    """
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise ContentError("not base64", "decode", item.key) from error


def decode_target(item, prefix, node_port):
    """Return the ``Target`` of a server's entry.

    :param item: the ``ItemMessage``.
    :param prefix: what the keys of entries begin with.
    :param node_port: the port of nodes for each other, the same on all VMs.
    :raises ContentError: when the entry names no server to use.
    """
    try:
        message = ServerMessage.model_validate(json.loads(decode_value(item)))
    except (ValueError, RecursionError) as error:
        raise ContentError("names no server", "decode", item.key) from error
    ip = message.address.rpartition(":")[0]
    return Target(
        item.key[len(prefix) :],
        message.born,
        message.service,
        message.address,
        f"{ip}:{node_port}",
        message.zone,
        message.slots,
        message.state == "draining",
        item.revision,
    )
