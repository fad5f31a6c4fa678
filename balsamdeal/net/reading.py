"""Reads whole requests on the connections of a node's servers.

Framing is tornado's; what it refuses is answered with 400 and the connection closed.
Sizes are checked here.
"""

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
)

from balsamdeal.net.connections import detect_silence
from balsamdeal.net.messages import write_response


class RequestReader(HTTPMessageDelegate):
    """Collects one request and hands it on once it is whole.

    :param connection: the ``HTTP1Connection``.
    :param limits: a function that returns the ``routes.Limits`` in force.
    :param handle: takes the connection, the start line, the headers and the body.
    """

    def __init__(self, connection, limits, handle):
        self._connection = connection
        self._limits = limits
        self._handle = handle
        self._chunks = []
        self._size = 0
        self._refused = False

    def headers_received(self, start_line, headers):
        """Refuse what is larger than the limits allow."""
        self._start_line = start_line
        self._headers = headers
        limits = self._limits()
        size = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
        if size + len(start_line.path) > limits.header_bytes:
            self._refuse(431)
        elif _parse_length(headers) > limits.body_bytes:
            self._refuse(413)
        if self._refused:
            self._leave()

    def _refuse(self, status):
        self._refused = True
        headers = HTTPHeaders({"Connection": "close"})
        write_response(self._connection, "GET", status, headers, b"")

    def _leave(self):
        # What follows on the connection must not be taken for a request. Closing it
        # is not enough: tornado would go on with what it has read already.
        stream = self._connection.detach()
        if stream is not None:
            stream.close()

    def data_received(self, chunk):
        """Keep a piece of the body."""
        if self._refused:
            return
        self._size += len(chunk)
        if self._size > self._limits().body_bytes:
            self._refuse(413)
            return
        self._chunks.append(chunk)

    def finish(self):
        """Hand the whole request on."""
        if self._refused:
            self._leave()
            return
        body = b"".join(self._chunks)
        self._handle(self._connection, self._start_line, self._headers, body)

    def on_connection_close(self):
        """Forget a request that was cut short."""
        self._chunks.clear()


def _parse_length(headers):
    text = headers.get("Content-Length", "0")
    return int(text) if text.isdigit() else 0


class RequestServer(HTTPServerConnectionDelegate):
    """Makes a ``RequestReader`` for each request.

    :param limits: see ``RequestReader``.
    :param handle: see ``RequestReader``.
    """

    def __init__(self, limits, handle):
        self._limits = limits
        self._handle = handle

    def start_request(self, server_conn, request_conn):
        """Return the reader of a new request."""
        return RequestReader(request_conn, self._limits, self._handle)


def _keep_undelayed(value):
    """Leave a connection as it is."""


class SilenceAwareServer(HTTPServer):
    """A server whose connections end when their other end is gone for good."""

    def handle_stream(self, stream, address):
        """Serve a new connection."""
        detect_silence(stream.socket)
        stream.set_nodelay(True)
        # Tornado would switch it off and on with each message, by a system call each.
        stream.set_nodelay = _keep_undelayed
        super().handle_stream(stream, address)
