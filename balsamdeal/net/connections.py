"""HTTP exchanges on pooled connections, with tornado's HTTP/1 client connection.

Each exchange ends with a complete response or an ``ExchangeError`` whose ``written``
says whether the peer may have received the request. A connection with an unfinished
exchange is closed, never reused, and no request is ever retried here.
"""

import asyncio
import re
import socket
from dataclasses import dataclass
from functools import partial

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError

from balsamdeal.core.membership import REFUSED
from balsamdeal.errors import ExchangeError

CONNECT_TIMEOUT_S = 0.5
DEFAULT_IDLE_MAX_S = 30.0
NON_IDEMPOTENT_IDLE_MAX_S = 3.0
MAX_IDLE_PER_PEER = 16
# TCP keepalive: time between probes in whole seconds, and how many may be unanswered.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 3
# How long sent bytes may stay unacknowledged: time for lost packets to be resent
# a few times.
UNACKNOWLEDGED_MAX_MS = 2500
# An idle connection is discarded this long before its peer would close it.
IDLE_MARGIN_S = 1.0
# Answers to other requests that an exchange skips before it fails.
MAX_UNRELATED_ANSWERS = 3
# Request ids that a connection remembers. Attempts at one request follow each other
# within its time limit.
MAX_REMEMBERED_IDS = 256
HEADER_OVERHEAD_BYTES = 4  # ": " and CRLF around a header
# Received bytes that a connection holds before they are read: a head, or what a peer
# sends unasked while the connection is idle.
MAX_UNREAD_BYTES = 262_144
# For a connection without an answer that says how long its peer keeps it.
UNUSED_KEEP_ALIVE = HTTPHeaders({"Keep-Alive": "timeout=2"})
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,6})")


def _ignore_close():
    """Ignore the close of an idle connection; the pool discards it on its next use."""


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response; ``size`` is the bytes of the request and of the response.

    ``reused`` is set if its connection had carried other requests before.
    """

    status: int
    headers: HTTPHeaders
    body: bytes
    size: int
    reason: str = ""
    reused: bool = False


def measure_message(first_line, headers, body):
    """Return the size of an HTTP message on the wire, in bytes.

    :param first_line: the start line without CRLF.
    :param headers: the headers.
    :param body: the body.
    """
    size = len(first_line) + 4 + len(body)
    for name, value in headers.get_all():
        size += len(name) + len(value) + HEADER_OVERHEAD_BYTES
    return size


class Stream(IOStream):
    """A connection that can detect unsolicited bytes in its receive buffer.

    It knows the ids of the latest requests that it has carried: a copy of the answer to
    one could not be told from the answer to another attempt at it.
    """

    _nodelay_set = False

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self._request_ids = {}

    def record_request(self, request_id):
        """Remember that the connection carries a request."""
        self._request_ids[request_id] = None
        if len(self._request_ids) > MAX_REMEMBERED_IDS:
            del self._request_ids[next(iter(self._request_ids))]

    def has_carried(self, request_id):
        """Return whether the connection has carried a request with this id."""
        return request_id in self._request_ids

    def set_nodelay(self, value):
        """Set TCP_NODELAY once and keep it for the connection's life.

        Tornado switches it on and off for each message, at a system call each time.
        """
        if value and not self._nodelay_set:
            self._nodelay_set = True
            super().set_nodelay(True)

    @property
    def has_unread(self):
        """Whether received bytes have not been read yet."""
        return self._read_buffer_size > 0


class ResponseBuffers:
    """Bounds the bytes of all unfinished responses of one or more pools.

    A peer in trouble may send a body without end, on many connections. Beyond the bound
    the response that holds the most bytes fails, so that short ones still arrive.

    :param max_bytes: the bound, or None if there is none.
    """

    def __init__(self, max_bytes=None):
        self._max_bytes = max_bytes
        self._sizes = {}

    def add(self, exchange, size):
        """Count received bytes; cancel the exchange with the most if they exceed."""
        self._sizes[exchange] = self._sizes.get(exchange, 0) + size
        if self._max_bytes is not None and sum(self._sizes.values()) > self._max_bytes:
            largest = max(self._sizes, key=self._sizes.get)
            del self._sizes[largest]
            largest.cancel()

    def release(self, exchange):
        """Forget the bytes of an exchange, as it has ended."""
        self._sizes.pop(exchange, None)


class _Collector(HTTPMessageDelegate):
    """Collects one response; ``finished`` is set once its whole body has arrived."""

    def __init__(self, exchange, buffers):
        self.start_line = None
        self.headers = None
        self.body = bytearray()
        self.finished = False
        self._exchange = exchange
        self._buffers = buffers

    def headers_received(self, start_line, headers):
        self.start_line = start_line
        self.headers = headers

    def data_received(self, chunk):
        self.body += chunk
        self._buffers.add(self._exchange, len(chunk))

    def finish(self):
        self.finished = True


class Exchange:
    """A handle to cancel an exchange by closing its connection.

    :param address: the peer's address, for use by the code that cancels it.
    """

    def __init__(self, address=""):
        self.address = address
        self.stream = None
        self.step = "connect"
        self.cancelled = False

    def cancel(self):
        """Close the connection, so that the exchange fails."""
        self.cancelled = True
        if self.stream is not None:
            self.stream.close()


def enable_dead_peer_detection(connection):
    """Have the kernel close a connection after some seconds without acknowledgement.

    :param connection: a TCP socket.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)


class ConnectionPool:
    """Idle connections by peer address, and exchanges on them.

    :param max_body_bytes: the largest body of a response that is accepted.
    :param allow_unframed: whether an answer without a length, which ends when its
        connection closes, counts as complete unless the connection was reset.
    :param non_idempotent_idle_s: how long a connection may have been idle, in
        seconds, to carry a request that is not idempotent.
    :param buffers: the ``ResponseBuffers``, which pools may share; by default only
        ``max_body_bytes`` bounds each response.
    """

    def __init__(
        self,
        max_body_bytes,
        allow_unframed=False,
        non_idempotent_idle_s=NON_IDEMPOTENT_IDLE_MAX_S,
        buffers=None,
    ):
        self._idle = {}
        self._buffers = buffers or ResponseBuffers()
        self._allow_unframed = allow_unframed
        self._non_idempotent_idle_s = non_idempotent_idle_s
        self._parameters = HTTP1ConnectionParameters(
            max_body_size=max_body_bytes, header_timeout=None, body_timeout=None
        )
        self._loop = asyncio.get_running_loop()

    async def fetch(
        self,
        address,
        method,
        path,
        headers,
        body=b"",
        *,
        timeout_s,
        new_connection=False,
        non_idempotent=False,
        exchange=None,
        request_id="",
        matches_request=None,
    ):
        """Send one request and return its complete response.

        :param address: ``IP:port`` of the peer.
        :param method: the HTTP method.
        :param path: the path with its query.
        :param headers: ``HTTPHeaders`` to send; Host and Content-Length are added.
        :param body: the body.
        :param timeout_s: the longest that the exchange may take, in seconds.
        :param new_connection: whether to open a connection even if one is idle.
        :param non_idempotent: whether the request is not idempotent, so that it must
            not be sent on a connection that has been idle for long and may be dead.
        :param exchange: an ``Exchange`` that can cancel it.
        :param request_id: the id that the answer echoes, if it does. No connection
            carries two requests with one id.
        :param matches_request: a predicate of an answer's status, its headers and
            whether the connection has carried other requests: whether the answer is to
            this request. Other answers are skipped, and the connection is closed after
            the exchange.
        :raises ExchangeError: when no complete response arrived.
        """
        exchange = exchange or Exchange()
        timer = self._loop.call_later(timeout_s, self._time_out, address, exchange)
        try:
            stream = None
            if not new_connection:
                stream = self._take_idle(address, non_idempotent, request_id)
            reused = stream is not None
            if not reused:
                stream = await self._connect(address, timeout_s, exchange)
            if request_id:
                stream.record_request(request_id)
            exchange.stream = stream
            if exchange.cancelled:
                stream.close()
            matches = matches_request and partial(matches_request, reused=reused)
            return await self._exchange(
                stream, address, method, path, headers, body, exchange, matches, reused
            )
        finally:
            timer.cancel()

    async def is_refused(self, address, timeout_s):
        """Return whether an address refuses a new connection.

        One that it accepts is kept for the next request.

        :param timeout_s: the longest to wait; no answer is no refusal.
        """
        try:
            stream = await self._connect(address, timeout_s, Exchange(address))
        except ExchangeError as error:
            return error.step == REFUSED
        self._keep_idle(address, stream, UNUSED_KEEP_ALIVE)
        return False

    def _time_out(self, address, exchange):
        # The idle connections to the peer may be dead too; new ones may work.
        self.drop_idle(address)
        if exchange.step != "connect":
            exchange.step = "timeout"
        exchange.cancel()

    def drop_idle(self, address):
        """Close the idle connections to an address."""
        for stream, _, _ in self._idle.pop(address, []):
            stream.close()

    def _take_idle(self, address, non_idempotent, request_id):
        """Return the idle connection that was used last and may carry a request."""
        idle = self._idle.get(address, [])
        now_s = self._loop.time()
        for index in reversed(range(len(idle))):
            stream, idle_since_s, expires_s = idle[index]
            if stream.closed() or stream.has_unread or now_s > expires_s:
                del idle[index]
                stream.close()
            elif non_idempotent and now_s - idle_since_s > self._non_idempotent_idle_s:
                return None
            elif not stream.has_carried(request_id):
                del idle[index]
                stream.set_close_callback(None)
                return stream
        return None

    async def _connect(self, address, timeout_s, exchange):
        host, _, port = address.rpartition(":")
        stream = Stream(
            socket.socket(socket.AF_INET, socket.SOCK_STREAM),
            max_buffer_size=MAX_UNREAD_BYTES,
        )
        enable_dead_peer_detection(stream.socket)
        exchange.stream = stream
        connect_timer = self._loop.call_later(
            min(CONNECT_TIMEOUT_S, timeout_s), stream.close
        )
        try:
            await stream.connect((host, int(port)))
        except (StreamClosedError, OSError, OverflowError, ValueError) as error:
            # The last two: no socket takes such an address.
            stream.close()
            reason = str(stream.error or error or "closed")
            refused = isinstance(stream.error, ConnectionRefusedError)
            step = REFUSED if refused else "connect"
            raise ExchangeError(reason, step, address, False) from error
        finally:
            connect_timer.cancel()
        stream.set_nodelay(True)
        return stream

    async def _exchange(
        self,
        stream,
        address,
        method,
        path,
        headers,
        body,
        exchange,
        matches_request,
        reused,
    ):
        if stream.closed():
            raise ExchangeError("closed before writing", "connect", address, False)
        exchange.step = "read"
        if "Host" not in headers:
            headers["Host"] = address
        if body or method not in ("GET", "HEAD"):
            headers["Content-Length"] = str(len(body))
        connection = HTTP1Connection(stream, True, self._parameters)
        collector = _Collector(exchange, self._buffers)
        try:
            line = RequestStartLine(method, path, "HTTP/1.1")
            connection.write_headers(line, headers, body or None)
            connection.finish()
            await connection.read_response(collector)
            unrelated = 0
            while matches_request is not None and self._is_unrelated(
                collector, matches_request
            ):
                unrelated += 1
                if unrelated > MAX_UNRELATED_ANSWERS:
                    raise ValueError("answers belong to other requests")
                collector = _Collector(exchange, self._buffers)
                connection = HTTP1Connection(stream, True, self._parameters)
                # Nothing more is written, but tornado waits until that is declared.
                connection.finish()
                await connection.read_response(collector)
        except (StreamClosedError, OSError, ValueError) as error:
            self._discard(collector, stream)
            raise ExchangeError(str(error), exchange.step, address, True) from error
        finally:
            self._buffers.release(exchange)
        if not collector.finished or not self._is_complete(
            collector, method, stream, exchange
        ):
            self._discard(collector, stream)
            raise ExchangeError("incomplete answer", exchange.step, address, True)
        answer = bytes(collector.body)
        status = collector.start_line.code
        size = measure_message(f"{method} {path} HTTP/1.1", headers, body)
        size += measure_message("HTTP/1.1 200 OK", collector.headers, answer)
        if collector.headers.get("Connection", "").lower() == "close" or unrelated:
            stream.close()
        self._keep_idle(address, stream, collector.headers)
        reason = collector.start_line.reason
        return Response(status, collector.headers, answer, size, reason, reused)

    @staticmethod
    def _discard(collector, stream):
        # Frees the body at once: the traceback of an error refers to the collector.
        collector.body.clear()
        stream.close()

    @staticmethod
    def _is_unrelated(collector, matches_request):
        if not collector.finished:
            return False
        return not matches_request(collector.start_line.code, collector.headers)

    def _is_complete(self, collector, method, stream, exchange):
        """Return whether an answer is complete.

        One that ends only when its connection closes may be truncated, and is if this
        side closed it.
        """
        if method == "HEAD" or collector.start_line.code in (204, 304):
            return True
        headers = collector.headers
        if "Content-Length" in headers or "Transfer-Encoding" in headers:
            return True
        if not self._allow_unframed or exchange.cancelled:
            return False
        return stream.closed() and stream.error is None

    def _keep_idle(self, address, stream, headers):
        # After unsolicited bytes, or an answer that came before the whole request was
        # sent, the position in the stream is unknown.
        if stream.closed() or stream.has_unread or stream.writing():
            stream.close()
            return
        idle = self._idle.setdefault(address, [])
        now_s = self._loop.time()
        idle.append((stream, now_s, now_s + self._get_idle_limit_s(headers)))
        # Registers the stream for reading, so that its close is detected.
        stream.set_close_callback(_ignore_close)
        if len(idle) > MAX_IDLE_PER_PEER:
            idle.pop(0)[0].close()

    @staticmethod
    def _get_idle_limit_s(headers):
        match = KEEP_ALIVE_TIMEOUT.search(headers.get("Keep-Alive", ""))
        if match is None:
            return DEFAULT_IDLE_MAX_S
        return max(0.0, int(match[1]) - IDLE_MARGIN_S)

    def close(self):
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop_idle(address)
