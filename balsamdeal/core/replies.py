"""Replies to work and answers to callers."""

from dataclasses import dataclass

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Load:
    """The load of a target's node, reported with each reply.

    ``busy`` of ``slots`` requests run and ``queued`` wait; a ``draining`` node accepts
    no new work.
    """

    busy: int
    queued: int
    slots: int
    draining: bool


@dataclass(frozen=True, slots=True)
class Reply:
    """The result of a piece of work, returned to the ingress and to the caller.

    ``outcome`` is ANSWERED with the target's complete answer, NOT_RUN only if this copy
    of the work provably did not run at a target and never will, and UNKNOWN otherwise.
    ``step`` names the step that failed, ``peer`` the VM, service or other party that it
    concerned. ``moved_to`` names the VM to send the key to: its inquiry barred the key
    at the replying node, or it may have run the key.
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
    """Return the reply, with status 503, for a copy of work that never runs.

    :param fields: further fields of ``Reply``.
    """
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
    """Return the reply, with status 504, for work that may have run."""
    return Reply(
        UNKNOWN,
        504,
        step=step,
        peer=peer,
        reason=reason,
        retry_after_s=retry_after_s,
    )
