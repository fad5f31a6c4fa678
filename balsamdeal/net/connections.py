"""HTTP exchanges on kept connections, with tornado's HTTP/1 client connection.

Each exchange ends with a whole response or an ``ExchangeError`` that tells whether
the peer may have received the request. A connection with an unfinished exchange is
closed, never reused, and no exchange is ever repeated here.
"""

import asyncio
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
LINE_OVERHEAD = 4  # bytes of ": " and CRLF around a header


@dataclass(frozen=True, slots=True)
class Response:
    """A whole response; ``size`` is the bytes sent and received for it."""

    status: int
    headers: HTTPHeaders
    body: bytes
    size: int


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
    """A handle to cancel an exchange by closing its connection."""

    def __init__(self):
        self.stream = None
        self.step = "connect"
        self.cancelled = False

    def cancel(self):
        """Close the connection; the exchange then fails."""
        self.cancelled = True
        if self.stream is not None:
            self.stream.close()


class ConnectionPool:
    """Kept connections by address.

    :param max_body_bytes: the largest body accepted.
    """

    def __init__(self, max_body_bytes):
        self._idle = {}
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
                stream, address, method, path, headers, body, exchange
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
        for stream, _ in self._idle.pop(address, []):
            stream.close()

    def _take_idle(self, address, new_connection, once):
        if new_connection:
            return None
        idle = self._idle.get(address)
        limit_s = IDLE_MAX_ONCE_S if once else IDLE_MAX_S
        while idle:
            stream, kept_s = idle.pop()
            if not stream.closed() and self._loop.time() - kept_s <= limit_s:
                return stream
            stream.close()
        return None

    async def _connect(self, address, timeout_s, exchange):
        host, _, port = address.rpartition(":")
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
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

    async def _exchange(self, stream, address, method, path, headers, body, exchange):
        if stream.closed():
            raise ExchangeError("closed before writing", "connect", address, False)
        exchange.step = "read"
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
        except (StreamClosedError, OSError, ValueError) as error:
            stream.close()
            raise ExchangeError(str(error), exchange.step, address, True) from error
        if not collector.finished or not self._is_whole(collector, method):
            stream.close()
            raise ExchangeError("no whole answer", exchange.step, address, True)
        answer = b"".join(collector.chunks)
        status = collector.start_line.code
        size = measure_message(f"{method} {path} HTTP/1.1", headers, body)
        size += measure_message("HTTP/1.1 200 OK", collector.headers, answer)
        if collector.headers.get("Connection", "").lower() == "close":
            stream.close()
        self._keep(address, stream)
        return Response(status, collector.headers, answer, size)

    @staticmethod
    def _is_whole(collector, method):
        """An answer that only a closed connection ends may be cut short."""
        if method == "HEAD" or collector.start_line.code in (204, 304):
            return True
        headers = collector.headers
        return "Content-Length" in headers or "Transfer-Encoding" in headers

    def _keep(self, address, stream):
        if stream.closed():
            return
        idle = self._idle.setdefault(address, [])
        idle.append((stream, self._loop.time()))
        if len(idle) > MAX_IDLE_PER_PEER:
            idle.pop(0)[0].close()

    def close(self):
        """Close all kept connections."""
        for address in list(self._idle):
            self.drop_idle(address)
