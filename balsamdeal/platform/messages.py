"""Validated models of the platform's messages, and their conversion to core types.

Field names are the platform's wire names, with dashes for underscores: a ``server`` is
a target, and a ``zone`` is a failure domain.
"""

import base64
import ipaddress
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

from balsamdeal.core.revisions import Revision
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
    requests_per_s="Server-Limit",
    leaving="Server-Leaving",
)


def _to_alias(name):
    return name.replace("_", "-")


class Message(BaseModel):
    """Base of the platform's messages: dashes in names, unknown fields ignored.

    Numbers that no float holds are invalid: JSON has them, but sums and products of
    them are none.
    """

    model_config = ConfigDict(
        alias_generator=_to_alias, extra="ignore", strict=True, allow_inf_nan=False
    )


def _check_address(address):
    """Return an address of IPv4 and port if a socket can connect to it.

    :raises ValueError: if it can't.
    """
    host, _, port = address.rpartition(":")
    ip = ipaddress.IPv4Address(host)
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise ValueError(f"{ip} is not the address of a VM")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not (is_number and 1 <= int(port) <= MAX_PORT):
        raise ValueError(f"port is not within 1 and {MAX_PORT}")
    return address


# A version is sent as a string of hexadecimal digits.
HexNumber = Annotated[str, AfterValidator(partial(int, base=16))]
Address = Annotated[str, AfterValidator(_check_address)]
NonEmptyText = Annotated[str, Field(min_length=1)]
PathPrefix = Annotated[str, Field(pattern="^/")]
PositiveFloat = Annotated[float, Field(gt=0)]
PositiveInt = Annotated[int, Field(ge=1)]
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
# More concurrent runs than any target has; products of larger numbers may overflow.
MAX_SLOTS = 1_000_000
# The range of a 64-bit integer, in which times and counts are.
MAX_INTEGER = 2**63 - 1
# Longest timeout and objective of a route that is told from a longer one, in seconds.
MAX_ROUTE_TIME_S = 86_400.0
# Default of an optional column that a table lacks: null in each row.
NULL_COLUMN = repeat(None)
DEFAULT_OBJECTIVE_S = 1.0
DEFAULT_MAX_ATTEMPTS = 1
DEFAULT_RANK = 0
# Kinds of routes whose requests may run more than once. A download has a large answer.
IDEMPOTENT_KINDS = frozenset({"safe", "download"})
KNOWN_KINDS = IDEMPOTENT_KINDS | {"unsafe"}
# Unknown words that are reported of one configuration, and the characters of each.
MAX_UNKNOWN_WORDS = 10
MAX_WORD_LENGTH = 40


class BackendMessage(Message):
    """A service of a route, and its relative weight."""

    service: NonEmptyText
    weight: float = Field(ge=0)


class Table(Message):
    """Rows of values, and the column names, which may be in any order."""

    columns: list[str]
    rows: list[list[Any]]


class TableMessage(Message):
    """Base of messages sent as a table; each field is a column.

    Validating whole columns costs less than validating a model for each row. Null means
    that a row lacks the field.
    """

    @model_validator(mode="before")
    @classmethod
    def _transpose(cls, content):
        table = Table.model_validate(content)
        if any(len(row) != len(table.columns) for row in table.rows):
            raise ValueError("a row has more or fewer values than there are columns")
        return {
            name: tuple([row[index] for row in table.rows])
            for index, name in enumerate(table.columns)
        }


class RouteColumns(TableMessage):
    """The routes, by column.

    ``kind`` tells whether a request may run more than once, see IDEMPOTENT_KINDS; of
    an unknown kind none may. A route has either ``service`` or ``weighted_backends``.
    ``target_latency_s`` is the latency objective; a lower ``priority`` is more urgent.
    """

    host: tuple[NonEmptyText, ...]
    name: tuple[NonEmptyText, ...]
    path_prefix: tuple[PathPrefix, ...]
    kind: tuple[NonEmptyText, ...]
    service: tuple[NonEmptyText | None, ...] = NULL_COLUMN
    weighted_backends: tuple[list[BackendMessage] | None, ...] = NULL_COLUMN
    timeout_s: tuple[PositiveFloat, ...]
    target_latency_s: tuple[PositiveFloat | None, ...] = NULL_COLUMN
    max_attempts: tuple[PositiveInt | None, ...] = NULL_COLUMN
    priority: tuple[int | None, ...] = NULL_COLUMN


class ServiceColumns(TableMessage):
    """The services, by column."""

    name: tuple[NonEmptyText, ...]


class LimitsMessage(Message):
    """Limits for callers: sizes in bytes, timeouts in seconds."""

    max_header_bytes: int = Field(gt=0)
    max_body_bytes: int = Field(gt=0)
    header_timeout_s: float = Field(gt=0)
    idle_timeout_s: float = Field(gt=0)


class ConfigurationMessage(Message):
    """A complete version of the configuration."""

    version: HexNumber
    limits: LimitsMessage
    routes: RouteColumns
    services: ServiceColumns


class ServerMessage(Message):
    """A target's entry in the store.

    ``address`` is the target's own, ``zone`` its failure domain, ``born`` its start in
    Unix milliseconds. ``version`` of its software, ``cold_remaining_s`` and
    ``sequence``, a count of its reports, are not used. They are validated because an
    entry that lacks one, or has one of another type, comes from another writer.
    """

    service: NonEmptyText
    address: Address
    zone: NonEmptyText
    version: str
    slots: int = Field(gt=0, le=MAX_SLOTS)
    state: Literal["ready", "draining"]
    cold_remaining_s: float = Field(ge=0)
    sequence: int = Field(ge=-MAX_INTEGER, le=MAX_INTEGER)
    born: int | None = Field(default=None, ge=-MAX_INTEGER, le=MAX_INTEGER)


class ItemMessage(Message):
    """An item of the store; ``deleted`` is set in the event of its removal.

    ``revision`` orders items only among answers of one era.
    """

    key: str
    revision: int
    value: str = ""
    deleted: bool = False


def _build_backends(route, service, parts, services):
    """Return a route's backends.

    :param route: the route's name, for errors.
    :param service: the route's only service, or None.
    :param parts: its weighted backends, which take precedence, or None.
    :param services: the names of all services of the configuration.
    :raises ContentError: on no service, no positive weight or an unknown service.
    """
    if parts is None:
        if service is None:
            raise ContentError(
                "route has neither a service nor weighted backends", "resolve", route
            )
        backends = (Backend(service, 1.0),)
    else:
        backends = tuple([Backend(part.service, part.weight) for part in parts])
        if sum([backend.weight for backend in backends]) <= 0:
            raise ContentError("no backend has a weight above zero", "resolve", route)
    for backend in backends:
        if backend.service not in services:
            reason = f"unknown service {backend.service}"
            raise ContentError(reason, "resolve", route)
    return backends


def _build_hosts(routes, services):
    """Return ``HostRoute`` by lower-case host, then by path prefix."""
    parts = zip(routes.name, routes.service, routes.weighted_backends)
    host_routes = map(
        HostRoute,
        routes.name,
        routes.path_prefix,
        [_build_backends(*part, services) for part in parts],
        [kind in IDEMPOTENT_KINDS for kind in routes.kind],
        (min(value, MAX_ROUTE_TIME_S) for value in routes.timeout_s),
        (
            min(value or DEFAULT_OBJECTIVE_S, MAX_ROUTE_TIME_S)
            for value in routes.target_latency_s
        ),
        (value or DEFAULT_MAX_ATTEMPTS for value in routes.max_attempts),
        (value or DEFAULT_RANK for value in routes.priority),
    )
    hosts = {}
    for host, route in zip(routes.host, host_routes):
        hosts.setdefault(host.lower(), {})[route.prefix] = route
    return hosts


def _list_unknown_words(routes):
    """Return descriptions of the routes' unknown kinds, the first of them."""
    found = [
        f"kind {kind[:MAX_WORD_LENGTH]!r} of route {name[:MAX_WORD_LENGTH]!r}"
        for name, kind in zip(routes.name, routes.kind)
        if kind not in KNOWN_KINDS
    ]
    listed = found[:MAX_UNKNOWN_WORDS]
    if len(found) > len(listed):
        listed.append(f"{len(found) - len(listed)} more")
    return tuple(listed)


def decode_configuration(content):
    """Return the ``Configuration`` in the JSON bytes of a value.

    An unknown word of one route restricts that route alone.

    :raises ContentError: when any part is invalid; the whole version is rejected.
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
    words = _list_unknown_words(message.routes)
    return Configuration(message.version, hosts, services, limits, words)


def decode_value(item):
    """Return the bytes of an item's value.

    :raises ContentError: when the value is not base64.
    """
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise ContentError("not base64", "decode", item.key) from error


def decode_target(item, prefix, node_port, era):
    """Return the ``Target`` described by a server's entry.

    :param item: the ``ItemMessage``.
    :param prefix: the prefix of the entries' keys; the instance id follows it.
    :param node_port: the port on which nodes serve other nodes, equal on all VMs.
    :param era: the store's era in the answer that held the item.
    :raises ContentError: when the entry is not a valid ``ServerMessage``.
    """
    try:
        message = ServerMessage.model_validate(json.loads(decode_value(item)))
    except (ValueError, RecursionError) as error:
        raise ContentError("not a valid server entry", "decode", item.key) from error
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
        Revision(era, item.revision),
    )
