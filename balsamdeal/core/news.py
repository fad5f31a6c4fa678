"""Events and effects by which configurations spread between nodes, as data.

Times ending in ``now_s`` are the loop's, in seconds.
"""

from dataclasses import dataclass

from balsamdeal.documents import Delta, Version


@dataclass(frozen=True, slots=True)
class Question:
    """What a node asks another one: anything newer than ``base``?

    ``base`` is the version held, or None. The answer may take ``wait_s`` while there is
    nothing newer. ``links`` are pairs of node address and Mbit/s: the widest known.
    """

    base: Version | None
    wait_s: float
    links: tuple


@dataclass(frozen=True, slots=True)
class News:
    """What a node answers.

    ``delta`` leads from the base to a newer version, or is None. ``is_behind`` says
    that there is a newer version, to be read from the source, as no delta is at hand
    or it is too large for the link. ``source_age_s`` is the time since the source
    confirmed what this node holds, or None if it never did.
    """

    delta: Delta | None
    is_behind: bool
    source_age_s: float | None
    links: tuple


# Events


@dataclass(frozen=True, slots=True)
class MembersListed:
    """The nodes of the own failure domain have changed; ``addresses`` are theirs."""

    addresses: frozenset
    now_s: float


@dataclass(frozen=True, slots=True)
class QuestionReceived:
    """Another node asks, and waits for the answer to ``exchange_id``."""

    exchange_id: int
    question: Question
    now_s: float


@dataclass(frozen=True, slots=True)
class NewsReceived:
    """The node at ``address`` has answered."""

    address: str
    news: News
    now_s: float


# Effects


@dataclass(frozen=True, slots=True)
class Ask:
    """Puts a question to the node at ``address``; one at a time to each."""

    address: str
    question: Question


@dataclass(frozen=True, slots=True)
class AnswerQuestion:
    """Answers the question ``exchange_id``."""

    exchange_id: int
    news: News


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """Another configuration is in force.

    ``origin`` is the address of the node that brought it, or ``"source"``.
    """

    version: int
    before: int | None
    routes: int
    origin: str
