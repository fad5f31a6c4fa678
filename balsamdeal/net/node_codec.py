"""Encoding of work and replies between nodes, each the body of an HTTP message.

Later releases add fields at the end of a head, and earlier ones skip these.

A message consists of a head and the body that the caller or the target sent. The head
is a JSON list, compressed by deflate with a preset dictionary of what most heads
contain: it crosses failure domains with each request, and that traffic is expensive.
HTTP headers would take more bytes, and time to parse each.
"""

import json
import struct
import zlib

from tornado.httputil import HTTPHeaders

from balsamdeal.core.request_events import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    LimitReport,
    LinkReport,
    NodeLoad,
    WorkReceived,
    WorkReply,
)
from balsamdeal.errors import ExchangeError
from balsamdeal.net.answer_checks import parse_rate
from balsamdeal.net.crash_codec import decode_reports, encode_reports
from balsamdeal.net.messages import Answer, Payload, compute_digest

# Header of work that carries a ``LimitReport``: the requests per second and the age in
# seconds. It is none of the head's fields, whose number is fixed, so that nodes of an
# earlier release skip it.
LIMIT_HEADER = "Target-Limit"
# Header of a reply that carries a ``LinkReport``: milliseconds and Mbit/s.
LINK_HEADER = "Node-Link"
# Header of work and of a reply that carries ``CrashReport`` objects.
CRASHES_HEADER = "Crash-Reports"
# Header of work for a request that may have run already.
REPEATED_HEADER = "Repeated"
# Nodes address each other by IP and port, but HTTP/1.1 requires a Host header.
PLACEHOLDER_HOST = "n"
OUTCOMES = (ANSWERED, NOT_RUN, UNKNOWN)
# Precedes the head: one byte of format version, three bytes of the head's length.
HEAD_PREFIX = struct.Struct(">I")
FORMAT_VERSION = 1
# Largest head once inflated; JSON may encode one byte of a header in six bytes.
MAX_HEAD_BYTES = 6 * 262_144
# A window of 1 KB holds dictionary and head, and takes little memory for each message.
# Negative: raw deflate, without the header and checksum of zlib.
WINDOW_BITS = -10
COMPRESSION_LEVEL = 6
MEMORY_LEVEL = 4
COMMON_HEADERS = (
    ("Host", ""),
    ("Accept-Encoding", "identity"),
    ("User-Agent", ""),
    ("Accept", "*/*"),
    ("Content-Type", "application/json"),
    ("Content-Type", "application/octet-stream"),
)


def make_work_headers(effect, now_s):
    """Return the HTTP headers of the message that carries an attempt.

    :param effect: the ``SendAttempt``.
    :param now_s: the event loop's time in seconds.
    """
    headers = HTTPHeaders({"Host": PLACEHOLDER_HOST})
    report = effect.limit_report
    if report is not None:
        headers[LIMIT_HEADER] = f"{report.per_s:g} {report.age_s:.3f}"
    if effect.crash_reports:
        headers[CRASHES_HEADER] = encode_reports(effect.crash_reports, now_s)
    if effect.repeated is not None:
        headers[REPEATED_HEADER] = "1"
    return headers


def _decode_limit_report(http_headers):
    """Return the ``LimitReport``, or None where the header is missing or malformed."""
    words = http_headers.get(LIMIT_HEADER, "").split()
    values = [parse_rate(word) for word in words]
    if len(values) != 2 or None in values:
        return None
    return LimitReport(*values)


def make_reply_headers(reply, now_s):
    """Return the HTTP headers of the message that carries a ``WorkReply``.

    :param now_s: the event loop's time in seconds.
    """
    headers = HTTPHeaders()
    link = reply.load.link
    if link is not None:
        headers[LINK_HEADER] = f"{link.wait_s * 1000:.0f} {link.mbps:g}"
    if reply.crash_reports:
        headers[CRASHES_HEADER] = encode_reports(reply.crash_reports, now_s)
    return headers


def _decode_link_report(http_headers):
    """Return the ``LinkReport``, or None where the header is missing or malformed."""
    words = http_headers.get(LINK_HEADER, "").split()
    values = [parse_rate(word) for word in words]
    if len(values) != 2 or None in values or not values[1]:
        return None
    return LinkReport(values[0] / 1000, values[1])


def _encode_json(values):
    return json.dumps(values, separators=(",", ":")).encode()


class NodeCodec:
    """Encodes and decodes work and replies that nodes exchange.

    :param names: the ``HeaderNames`` of callers and targets.
    """

    def __init__(self, names):
        self._names = names
        common_headers = [
            *COMMON_HEADERS,
            (names.seal, ""),
            (names.request_id, None),
        ]
        sample_reply = _encode_json(
            [200, "OK", 0, 1, "", 0, 100, 0, 0, 1, 0, 10, 100, 0, 0]
        )
        self._dictionary = sample_reply + _encode_json(
            ["POST", "GET", "/", common_headers]
        )
        self._deflate = zlib.compressobj(
            COMPRESSION_LEVEL,
            zlib.DEFLATED,
            WINDOW_BITS,
            MEMORY_LEVEL,
            zlib.Z_DEFAULT_STRATEGY,
            self._dictionary,
        )

    def _encode(self, head, body):
        deflate = self._deflate.copy()
        packed = deflate.compress(_encode_json(head)) + deflate.flush()
        return HEAD_PREFIX.pack(FORMAT_VERSION << 24 | len(packed)) + packed + body

    def _decode(self, message):
        """Return the head and the body of a message."""
        (prefix,) = HEAD_PREFIX.unpack_from(message)
        if prefix >> 24 != FORMAT_VERSION:
            raise ValueError("unknown format")
        end = HEAD_PREFIX.size + (prefix & 0xFFFFFF)
        inflate = zlib.decompressobj(WINDOW_BITS, self._dictionary)
        head = inflate.decompress(message[HEAD_PREFIX.size : end], MAX_HEAD_BYTES)
        if not inflate.eof:
            raise ValueError("head is cut short")
        return json.loads(head), message[end:]

    def encode_work(self, effect, caller_service, payload):
        """Return the message that carries an attempt to the target's node.

        :param effect: the ``SendAttempt``.
        :param caller_service: the service of the VM where the request originated.
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

    def decode_work(self, message, work_id, now_s, http_headers):
        """Return ``WorkReceived``, the caller's service and the ``Payload``.

        :param work_id: the id that this node gives to the work.
        :param http_headers: the HTTP headers of the message.
        :param now_s: the event loop's time in seconds.
        :raises ExchangeError: when the message is not valid work.
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
                *_,
            ) = head
            payload = Payload(str(method), str(path), _decode_headers(headers), body)
            repeated = None
            if REPEATED_HEADER in http_headers:
                repeated = (payload.get_header("Host"), payload.path)
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
                _decode_limit_report(http_headers),
                digest=compute_digest(payload),
                crash_reports=decode_reports(http_headers.get(CRASHES_HEADER), now_s),
                repeated=repeated,
            )
        except (ValueError, TypeError, struct.error, zlib.error) as error:
            raise ExchangeError(
                "malformed work message", "decode", "node", False
            ) from error
        return event, str(caller_service), payload

    def encode_reply(self, reply, answer, request_id):
        """Return the message that carries a ``WorkReply``.

        :param answer: the target's ``Answer``, or None.
        :param request_id: the id of the request; the header that echoes it is sent
            without its value, as the receiver knows it.
        """
        load = reply.load
        echoed_id = (self._names.request_id.lower(), request_id)
        head = [
            OUTCOMES.index(reply.outcome),
            int(reply.target_reached),
            "" if reply.outcome == ANSWERED else reply.reason,
            round(reply.retry_after_s * 1000),
            round(reply.ran_s * 1000),
            int(reply.failed),
            int(reply.target_unavailable),
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
            (name, None if (name.lower(), value) == echoed_id else value)
            for name, value in answer.headers
        ]
        head += [answer.status, answer.reason, pairs]
        return self._encode(head, answer.body)

    def decode_reply(self, message, peer, request_id, http_headers, now_s):
        """Return the ``WorkReply``, and the target's ``Answer`` or None.

        :param peer: the address of the node that sent it, for errors.
        :param request_id: the id of the request, for the header that echoes it.
        :param http_headers: the HTTP headers of the message.
        :param now_s: the event loop's time in seconds.
        :raises ExchangeError: when the message is not a valid reply.
        """
        try:
            head, body = self._decode(message)
            (
                outcome,
                target_reached,
                reason,
                retry_after_ms,
                ran_ms,
                failed,
                target_unavailable,
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
                _decode_link_report(http_headers),
            )
            reply = WorkReply(
                OUTCOMES[outcome],
                bool(target_reached),
                str(reason),
                retry_after_ms / 1000,
                ran_ms / 1000,
                bool(failed),
                bool(target_unavailable),
                load,
                decode_reports(http_headers.get(CRASHES_HEADER), now_s),
            )
            if reply.outcome != ANSWERED:
                return reply, None
            status, phrase, headers, *_ = details
            pairs = _decode_headers(headers, request_id)
            return reply, Answer(int(status), str(phrase), pairs, body)
        except (ValueError, TypeError, IndexError, struct.error, zlib.error) as error:
            raise ExchangeError(
                "malformed reply message", "decode", peer, True
            ) from error


def _decode_headers(pairs, default=""):
    """Return pairs of header name and value, with ``default`` for a null value."""
    return tuple(
        (str(name), default if value is None else str(value)) for name, value in pairs
    )
