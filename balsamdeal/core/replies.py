"""Replies to work and answers to callers."""

from dataclasses import dataclass

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Load:
    """What a target's node says of itself with each reply."""

    busy: int
    queued: int
    slots: int
    draining: bool


@dataclass(frozen=True, slots=True)
class Reply:
    """The end of a piece of work.

    ``outcome`` is ANSWERED with the target's whole answer, NOT_RUN only where the
    work was provably never handed to a target and never will be, else UNKNOWN.
    ``moved_to`` names the VM whose inquiry barred the key here.
    """

    outcome: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    step: str = ""
    peer: str = ""
    reason: str = ""
    retry_after_s: float = 0.0
    load: Load | None = None
    moved_to: str = ""


def make_not_run(step, peer, reason, retry_after_s=1.0, **fields):
    """Return the reply for work that no target has received or will receive."""
    return Reply(
        NOT_RUN,
        503,
        step=step,
        peer=peer,
        reason=reason,
        retry_after_s=retry_after_s,
        **fields,
    )


def make_unknown(step, peer, reason, retry_after_s=1.0):
    """Return the reply for work that may have run."""
    return Reply(
        UNKNOWN,
        504,
        step=step,
        peer=peer,
        reason=reason,
        retry_after_s=retry_after_s,
    )
