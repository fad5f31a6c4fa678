"""HTTP exchanges on kept connections, with tornado's HTTP/1 client connection.

Each exchange ends with a whole response or an ``ExchangeError`` that tells whether
the peer may have received the request. A connection with an unfinished exchange is
closed, never reused, and no exchange is ever repeated here.
"""

import asyncio
import re
import socket
from dataclasses import dataclass

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError

from balsamdeal.core.membership import REFUSED
from balsamdeal.errors import ExchangeError

CONNECT_TIMEOUT_S = 0.5
IDLE_MAX_S = 30.0
IDLE_MAX_ONCE_S = 3.0
MAX_IDLE_PER_PEER = 16
# Probes of an idle connection, in whole seconds, and how many may stay unanswered.
KEEPALIVE_S = 1
KEEPALIVE_COUNT = 3
# How long sent bytes may stay unacknowledged: some round trips of lost packets.
SILENCE_MS = 2500
# A kept connection is left this much before its other end closes it, in seconds.
IDLE_MARGIN_S = 1.0
# Answers to other requests that are skipped before a connection is given up.
MAX_FOREIGN_ANSWERS = 3
LINE_OVERHEAD = 4  # bytes of ": " and CRLF around a header


KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,6})")


def _ignore_close():
    """Take the end of an idle connection; the pool drops it when it is looked at."""


@dataclass(frozen=True, slots=True)
class Response:
    """A whole response; ``size`` is the bytes sent and received for it."""

    status: int
    headers: HTTPHeaders
    body: bytes
    size: int
    reason: str = ""


def measure_message(first_line, headers, body):
    """Return the bytes of an HTTP message on the wire.

    :param first_line: the start line without its end.
    :param headers: the headers.
    :param body: the body.
    """
    size = len(first_line) + 4 + len(body)
    for name, value in headers.get_all():
        size += len(name) + len(value) + LINE_OVERHEAD
    return size


class Stream(IOStream):
    """A connection that tells whether bytes came that nobody asked for."""

    _undelayed = False

    def set_nodelay(self, value):
        """Keep small packets undelayed for the connection's life.

        Tornado switches this on and off with each message, a system call each time.
        """
        if value and not self._undelayed:
            self._undelayed = True
            super().set_nodelay(True)

    @property
    def has_unread(self):
        """Whether bytes lie in the buffer of received data."""
        return self._read_buffer_size > 0


class _Collector(HTTPMessageDelegate):
    """Collects one response; ``finished`` only once its whole body has come."""

    def __init__(self):
        self.start_line = None
        self.headers = None
        self.chunks = []
        self.finished = False

    def headers_received(self, start_line, headers):
        self.start_line = start_line
        self.headers = headers

    def data_received(self, chunk):
        self.chunks.append(chunk)

    def finish(self):
        self.finished = True


class Exchange:
    """A handle to cancel an exchange by closing its connection.

    :param address: the peer's address, for whoever cancels it.
    """

    def __init__(self, address=""):
        self.address = address
        self.stream = None
        self.step = "connect"
        self.cancelled = False

    def cancel(self):
        """Close the connection; the exchange then fails."""
        self.cancelled = True
        if self.stream is not None:
            self.stream.close()


def detect_silence(connection):
    """Have the kernel close a connection whose other end is silent for seconds.

    :param connection: a TCP socket.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
        (socket.TCP_USER_TIMEOUT, SILENCE_MS),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)


class ConnectionPool:
    """Kept connections by address.

    :param max_body_bytes: the largest body accepted.
    :param allow_unframed: whether an answer without a length, which ends with its
        connection, is taken as whole if that was not reset.
    :param idle_once_s: how long a connection may have been idle, in seconds, to
        carry a request that is not idempotent.
    """

    def __init__(
        self, max_body_bytes, allow_unframed=False, idle_once_s=IDLE_MAX_ONCE_S
    ):
        self._idle = {}
        self._allow_unframed = allow_unframed
        self._idle_once_s = idle_once_s
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
        once=False,
        exchange=None,
        is_own=None,
    ):
        """Return the whole response to one request.

        :param address: ``IP:port`` of the peer.
        :param method: the HTTP method.
        :param path: the path with its query.
        :param headers: ``HTTPHeaders`` to send; Host and length are added.
        :param body: the body.
        :param timeout_s: the longest that the exchange may take, in seconds.
        :param new_connection: whether to avoid kept connections.
        :param once: whether the request is not idempotent, so that a connection
            that may have gone silent is not worth a try.
        :param exchange: an ``Exchange`` that can cancel it.
        :param is_own: a function of an answer's status and headers that tells
            whether it belongs to this request. Others are skipped, and the
            connection is then closed.
        :raises ExchangeError: when no whole response came.
        """
        exchange = exchange or Exchange()
        timer = self._loop.call_later(timeout_s, self._time_out, address, exchange)
        try:
            stream = self._take_idle(address, new_connection, once)
            if stream is None:
                stream = await self._connect(address, timeout_s, exchange)
            exchange.stream = stream
            if exchange.cancelled:
                stream.close()
            return await self._exchange(
                stream, address, method, path, headers, body, exchange, is_own
            )
        finally:
            timer.cancel()

    def _time_out(self, address, exchange):
        # New connections may work where old ones have gone silent.
        self.drop_idle(address)
        if exchange.step != "connect":
            exchange.step = "timeout"
        exchange.cancel()

    def drop_idle(self, address):
        """Close the kept connections to an address."""
        for stream, _, _ in self._idle.pop(address, []):
            stream.close()

    def _take_idle(self, address, new_connection, once):
        if new_connection:
            return None
        idle = self._idle.get(address)
        now_s = self._loop.time()
        while idle:
            stream, kept_s, until_s = idle[-1]
            if stream.closed() or stream.has_unread or now_s > until_s:
                idle.pop()
                stream.close()
            elif once and now_s - kept_s > self._idle_once_s:
                return None
            else:
                idle.pop()
                stream.set_close_callback(None)
                return stream
        return None

    async def _connect(self, address, timeout_s, exchange):
        host, _, port = address.rpartition(":")
        stream = Stream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        detect_silence(stream.socket)
        exchange.stream = stream
        limit = self._loop.call_later(min(CONNECT_TIMEOUT_S, timeout_s), stream.close)
        try:
            await stream.connect((host, int(port)))
        except (StreamClosedError, OSError) as error:
            stream.close()
            reason = str(stream.error or error or "closed")
            refused = isinstance(stream.error, ConnectionRefusedError)
            step = REFUSED if refused else "connect"
            raise ExchangeError(reason, step, address, False) from error
        finally:
            limit.cancel()
        stream.set_nodelay(True)
        return stream

    async def _exchange(
        self, stream, address, method, path, headers, body, exchange, is_own
    ):
        if stream.closed():
            raise ExchangeError("closed before writing", "connect", address, False)
        exchange.step = "read"
        if "Host" not in headers:
            headers["Host"] = address
        if body or method not in ("GET", "HEAD"):
            headers["Content-Length"] = str(len(body))
        connection = HTTP1Connection(stream, True, self._parameters)
        collector = _Collector()
        try:
            line = RequestStartLine(method, path, "HTTP/1.1")
            connection.write_headers(line, headers, body or None)
            connection.finish()
            await connection.read_response(collector)
            foreign = 0
            while is_own is not None and self._is_foreign(collector, is_own):
                foreign += 1
                if foreign > MAX_FOREIGN_ANSWERS:
                    raise ValueError("answers belong to other requests")
                collector = _Collector()
                connection = HTTP1Connection(stream, True, self._parameters)
                # Nothing more is written; tornado waits for the end of that.
                connection.finish()
                await connection.read_response(collector)
        except (StreamClosedError, OSError, ValueError) as error:
            stream.close()
            raise ExchangeError(str(error), exchange.step, address, True) from error
        if not collector.finished or not self._is_whole(collector, method, stream):
            stream.close()
            raise ExchangeError("no whole answer", exchange.step, address, True)
        answer = b"".join(collector.chunks)
        status = collector.start_line.code
        size = measure_message(f"{method} {path} HTTP/1.1", headers, body)
        size += measure_message("HTTP/1.1 200 OK", collector.headers, answer)
        if collector.headers.get("Connection", "").lower() == "close" or foreign:
            stream.close()
        self._keep(address, stream, collector.headers)
        reason = collector.start_line.reason
        return Response(status, collector.headers, answer, size, reason)

    @staticmethod
    def _is_foreign(collector, is_own):
        if not collector.finished:
            return False
        return not is_own(collector.start_line.code, collector.headers)

    def _is_whole(self, collector, method, stream):
        """An answer that only a closed connection ends may be cut short."""
        if method == "HEAD" or collector.start_line.code in (204, 304):
            return True
        headers = collector.headers
        if "Content-Length" in headers or "Transfer-Encoding" in headers:
            return True
        return self._allow_unframed and stream.closed() and stream.error is None

    def _keep(self, address, stream, headers):
        # Bytes after the answer, or an answer before the whole request was sent,
        # leave the connection at an unknown place.
        if stream.closed() or stream.has_unread or stream.writing():
            stream.close()
            return
        idle = self._idle.setdefault(address, [])
        now_s = self._loop.time()
        idle.append((stream, now_s, now_s + self._get_idle_s(headers)))
        # Registers the stream for reading, so that its end is noticed.
        stream.set_close_callback(_ignore_close)
        if len(idle) > MAX_IDLE_PER_PEER:
            idle.pop(0)[0].close()

    @staticmethod
    def _get_idle_s(headers):
        match = KEEP_ALIVE_TIMEOUT.search(headers.get("Keep-Alive", ""))
        if match is None:
            return IDLE_MAX_S
        return max(0.0, int(match[1]) - IDLE_MARGIN_S)

    def close(self):
        """Close all kept connections."""
        for address in list(self._idle):
            self.drop_idle(address)
