"""The hop between nodes: what accompanies work and replies, as a JSON list a header.

Lists in place of objects: these bytes cross between failure domains with each
request, and that is dear.
"""

import json

from balsamdeal.core.traffic import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    NodeLoad,
    WorkReceived,
    WorkReply,
)
from balsamdeal.errors import ExchangeError

WORK_HEADER = "Bd-Work"
REPLY_HEADER = "Bd-Reply"
OUTCOMES = (ANSWERED, NOT_RUN, UNKNOWN)


def _pack(values):
    return json.dumps(values, separators=(",", ":"))


def encode_work(effect, caller_service):
    """Return the header of an attempt.

    :param effect: the ``SendAttempt``.
    :param caller_service: the service of the VM where the request began.
    """
    return _pack(
        [
            effect.instance,
            effect.service,
            int(effect.idempotent),
            effect.rank,
            round(effect.time_left_s * 1000),
            round(effect.objective_left_s * 1000),
            round(effect.objective_s * 1000),
            caller_service,
        ]
    )


def decode_work(text, work_id, request_id, now_s):
    """Return ``WorkReceived`` and the caller's service.

    :raises ExchangeError: when the header is not one of work.
    """
    try:
        (
            instance,
            service,
            idempotent,
            rank,
            time_left_ms,
            objective_left_ms,
            objective_ms,
            caller_service,
        ) = json.loads(text)
        event = WorkReceived(
            work_id,
            request_id,
            str(instance),
            str(service),
            bool(idempotent),
            int(rank),
            time_left_ms / 1000,
            objective_left_ms / 1000,
            objective_ms / 1000,
            now_s,
        )
    except (ValueError, TypeError) as error:
        raise ExchangeError("not a work header", "decode", "node", False) from error
    return event, str(caller_service)


def encode_reply(reply):
    """Return the header of a ``WorkReply``."""
    load = reply.load
    return _pack(
        [
            OUTCOMES.index(reply.outcome),
            int(reply.reached),
            "" if reply.outcome == ANSWERED else reply.reason,
            round(reply.retry_after_s * 1000),
            round(reply.ran_s * 1000),
            int(reply.failed),
            int(reply.unusable),
            load.busy,
            load.queued,
            load.limit,
            round(load.work_s * 1000),
            round(load.wait_s * 1000),
            int(load.stopping),
        ]
    )


def decode_reply(text, peer):
    """Return the ``WorkReply`` in a header.

    :raises ExchangeError: when it is none.
    """
    try:
        (
            outcome,
            reached,
            reason,
            retry_after_ms,
            ran_ms,
            failed,
            unusable,
            busy,
            queued,
            limit,
            work_ms,
            wait_ms,
            stopping,
        ) = json.loads(text)
        load = NodeLoad(
            int(busy),
            int(queued),
            int(limit),
            work_ms / 1000,
            wait_ms / 1000,
            bool(stopping),
        )
        return WorkReply(
            OUTCOMES[outcome],
            bool(reached),
            str(reason),
            retry_after_ms / 1000,
            ran_ms / 1000,
            bool(failed),
            bool(unusable),
            load,
        )
    except (ValueError, TypeError, IndexError) as error:
        raise ExchangeError("not a reply header", "decode", peer, True) from error
