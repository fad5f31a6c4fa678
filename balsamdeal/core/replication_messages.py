"""Messages, events and effects of the replication of the configuration, as data.

Each ``now_s`` is the loop's time in seconds.
"""

from dataclasses import dataclass

from balsamdeal.documents import Delta, Version


@dataclass(frozen=True, slots=True)
class PollRequest:
    """A long poll of another node for a version newer than ``base``.

    ``base`` is the version in force at the sender, or None. The other node may hold the
    poll for ``wait_s`` while it has nothing newer. ``links`` are pairs of node address
    and Mbit/s: the links with the highest bandwidth known to the sender, and its own.
    """

    base: Version | None
    wait_s: float
    links: tuple


@dataclass(frozen=True, slots=True)
class PollResponse:
    """The answer to a ``PollRequest``.

    ``delta`` leads from the base to a newer version, or is None. ``is_behind`` is set
    if there is a newer version that must be read from the source, as no delta is
    available or it is too large for the link. ``source_age_s`` is the time since the
    source last confirmed the version in force at the sender, or None if that is not
    known or the source seems lost. ``links`` are as in the ``PollRequest``.
    """

    delta: Delta | None
    is_behind: bool
    source_age_s: float | None
    links: tuple


# Events


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The nodes of the own failure domain have changed to ``addresses``."""

    addresses: frozenset
    now_s: float


@dataclass(frozen=True, slots=True)
class PollReceived:
    """Another node has sent a poll; ``exchange_id`` identifies it in the answer."""

    exchange_id: int
    request: PollRequest
    now_s: float


@dataclass(frozen=True, slots=True)
class PollResponseReceived:
    """The node at ``address`` has answered a poll."""

    address: str
    response: PollResponse
    now_s: float


# Effects


@dataclass(frozen=True, slots=True)
class SendPoll:
    """Polls the node at ``address``; each node gets one poll at a time."""

    address: str
    request: PollRequest


@dataclass(frozen=True, slots=True)
class SendPollResponse:
    """Answers the poll with this ``exchange_id``."""

    exchange_id: int
    response: PollResponse


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """Another configuration is in force.

    ``version`` and ``before`` are the revisions of this and of the replaced one, which
    is None for the first. ``routes`` is the number of parts in this one. ``origin`` is
    the address of the node that sent it, or ``"source"``, and ``asked_s`` how long ago
    the poll or read began that brought it, in seconds. ``parents`` are the nodes that
    this one polls, none if it watches the source.
    """

    version: int
    before: int | None
    routes: int
    origin: str
    asked_s: float
    parents: tuple[str, ...]
