"""The platform's messages, validated, and their translation to the product's types."""

import base64
import json
from typing import Annotated, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

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
HexNumber = Annotated[int, BeforeValidator(lambda text: int(text, 16))]
Text = Annotated[str, Field(min_length=1)]


class BackendMessage(Message):
    """A weighted part of a route."""

    service: Text
    weight: float = Field(ge=0)


class ActionMessage(Message):
    """Where a rule sends requests: one service, or several with weights."""

    service: Text | None = None
    weighted_backends: list[BackendMessage] | None = None
    timeout_s: float = Field(gt=0)
    max_attempts: int = Field(default=1, ge=1)


class MatchMessage(Message):
    """What a rule applies to."""

    path_prefix: str = Field(pattern="^/")


class RuleMessage(Message):
    """A route; ``kind`` says whether a request may run more than once."""

    name: Text
    kind: Literal["safe", "unsafe"]
    target_latency_s: float = Field(default=1.0, gt=0)
    priority: int = 0
    match: MatchMessage
    action: ActionMessage


class ListenerMessage(Message):
    """The routes of a host."""

    host: Text
    route_rules: list[RuleMessage]


class ClusterMessage(Message):
    """A service."""

    name: Text


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
    listeners: list[ListenerMessage]
    clusters: list[ClusterMessage]


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


def _build_route(rule):
    action = rule.action
    parts = action.weighted_backends
    if parts is None:
        if action.service is None:
            raise ContentError("names no service", "resolve", rule.name)
        backends = (Backend(action.service, 1.0),)
    else:
        backends = tuple(Backend(part.service, part.weight) for part in parts)
        if sum(backend.weight for backend in backends) <= 0:
            raise ContentError("has no weight above zero", "resolve", rule.name)
    return HostRoute(
        rule.name,
        rule.match.path_prefix,
        backends,
        rule.kind == "safe",
        action.timeout_s,
        rule.target_latency_s,
        action.max_attempts,
        rule.priority,
    )


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
    services = frozenset(cluster.name for cluster in message.clusters)
    hosts = {}
    for listener in message.listeners:
        routes = hosts.setdefault(listener.host.lower(), {})
        for rule in listener.route_rules:
            route = _build_route(rule)
            for backend in route.backends:
                if backend.service not in services:
                    reason = f"unknown service {backend.service}"
                    raise ContentError(reason, "resolve", rule.name)
            routes[route.prefix] = route
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
