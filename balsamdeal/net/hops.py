"""The hop between nodes: work and its reply, each the body of an HTTP message.

A body is a head and what the caller or the target sent. The head is a JSON list,
deflated with a dictionary of what most heads contain: its bytes cross between failure
domains with each request, and that is dear. HTTP headers would take more of them, and
time to parse each.
"""

import json
import struct
import zlib

from balsamdeal.core.traffic import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    NodeLoad,
    WorkReceived,
    WorkReply,
)
from balsamdeal.errors import ExchangeError
from balsamdeal.net.messages import Answer, Payload

# Nodes are asked by address; HTTP wants a host in each request.
HOP_HOST = "n"
OUTCOMES = (ANSWERED, NOT_RUN, UNKNOWN)
# Before the head: the format of the hop in the first byte, then the head's length.
PREFIX = struct.Struct(">I")
FORMAT = 1
# Largest head once inflated; JSON may take six bytes for one of a header.
MAX_HEAD_BYTES = 6 * 262_144
# A window of 1 KB holds dictionary and head, and needs little memory for each message.
WINDOW_BITS = -10
LEVEL = 6
MEMORY_LEVEL = 4
USUAL_HEADERS = (
    ("Host", ""),
    ("Accept-Encoding", "identity"),
    ("User-Agent", ""),
    ("Accept", "*/*"),
    ("Content-Type", "application/json"),
    ("Content-Type", "application/octet-stream"),
)


def _pack(values):
    return json.dumps(values, separators=(",", ":")).encode()


class HopCodec:
    """Encodes and decodes what goes between nodes.

    :param names: the ``HeaderNames`` of callers and targets.
    """

    def __init__(self, names):
        self._names = names
        usual = [
            *USUAL_HEADERS,
            (names.seal, ""),
            (names.request_id, None),
        ]
        samples = _pack([200, "OK", 0, 1, "", 0, 100, 0, 0, 1, 0, 10, 100, 0, 0])
        self._dictionary = samples + _pack(["POST", "GET", "/", usual])
        self._deflate = zlib.compressobj(
            LEVEL,
            zlib.DEFLATED,
            WINDOW_BITS,
            MEMORY_LEVEL,
            zlib.Z_DEFAULT_STRATEGY,
            self._dictionary,
        )

    def _encode(self, head, body):
        deflate = self._deflate.copy()
        packed = deflate.compress(_pack(head)) + deflate.flush()
        return PREFIX.pack(FORMAT << 24 | len(packed)) + packed + body

    def _decode(self, message):
        """Return the head and the body of a message."""
        (prefix,) = PREFIX.unpack_from(message)
        if prefix >> 24 != FORMAT:
            raise ValueError("unknown format")
        end = PREFIX.size + (prefix & 0xFFFFFF)
        inflate = zlib.decompressobj(WINDOW_BITS, self._dictionary)
        head = inflate.decompress(message[PREFIX.size : end], MAX_HEAD_BYTES)
        if not inflate.eof:
            raise ValueError("head is cut short")
        return json.loads(head), message[end:]

    def encode_work(self, effect, caller_service, payload):
        """Return the body that carries an attempt.

        :param effect: the ``SendAttempt``.
        :param caller_service: the service of the VM where the request began.
        :param payload: the caller's ``Payload``.
        """
        head = [
            payload.method,
            payload.path,
            payload.headers,
            effect.instance,
            effect.service,
            int(effect.idempotent),
            effect.rank,
            round(effect.time_left_s * 1000),
            round(effect.objective_left_s * 1000),
            round(effect.objective_s * 1000),
            caller_service,
        ]
        return self._encode(head, payload.body)

    def decode_work(self, message, work_id, now_s):
        """Return ``WorkReceived``, the caller's service and the ``Payload``.

        :raises ExchangeError: when the message is not work.
        """
        try:
            head, body = self._decode(message)
            (
                method,
                path,
                headers,
                instance,
                service,
                idempotent,
                rank,
                time_left_ms,
                objective_left_ms,
                objective_ms,
                caller_service,
            ) = head
            payload = Payload(str(method), str(path), _read_pairs(headers), body)
            event = WorkReceived(
                work_id,
                payload.get_header(self._names.request_id),
                str(instance),
                str(service),
                bool(idempotent),
                int(rank),
                time_left_ms / 1000,
                objective_left_ms / 1000,
                objective_ms / 1000,
                now_s,
            )
        except (ValueError, TypeError, struct.error, zlib.error) as error:
            raise ExchangeError("not work", "decode", "node", False) from error
        return event, str(caller_service), payload

    def encode_reply(self, reply, answer, request_id):
        """Return the body that carries a ``WorkReply``.

        :param answer: the target's ``Answer``, or None.
        :param request_id: the id of the work, which is left out of the answer.
        """
        load = reply.load
        own = (self._names.request_id.lower(), request_id)
        head = [
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
        if answer is None:
            return self._encode(head, b"")
        pairs = [
            (name, None if (name.lower(), value) == own else value)
            for name, value in answer.headers
        ]
        head += [answer.status, answer.reason, pairs]
        return self._encode(head, answer.body)

    def decode_reply(self, message, peer, request_id):
        """Return the ``WorkReply``, and the target's ``Answer`` or None.

        :param peer: the node that sent it, for errors.
        :param request_id: the id of the work.
        :raises ExchangeError: when the message is no reply.
        """
        try:
            head, body = self._decode(message)
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
                *details,
            ) = head
            load = NodeLoad(
                int(busy),
                int(queued),
                int(limit),
                work_ms / 1000,
                wait_ms / 1000,
                bool(stopping),
            )
            reply = WorkReply(
                OUTCOMES[outcome],
                bool(reached),
                str(reason),
                retry_after_ms / 1000,
                ran_ms / 1000,
                bool(failed),
                bool(unusable),
                load,
            )
            if reply.outcome != ANSWERED:
                return reply, None
            status, phrase, headers = details
            pairs = _read_pairs(headers, request_id)
            return reply, Answer(int(status), str(phrase), pairs, body)
        except (ValueError, TypeError, IndexError, struct.error, zlib.error) as error:
            raise ExchangeError("not a reply", "decode", peer, True) from error


def _read_pairs(pairs, missing=""):
    """Return pairs of header names and values; None stands for ``missing``."""
    return tuple(
        (str(name), missing if value is None else str(value)) for name, value in pairs
    )
