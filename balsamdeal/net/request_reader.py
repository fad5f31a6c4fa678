"""Reads complete requests on the connections of a node's servers.

Tornado parses the framing; it answers malformed requests with 400 and closes the
connection. The sizes of headers and bodies are checked here.
"""

from weakref import WeakSet

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
)

from balsamdeal.net.connections import enable_dead_peer_detection
from balsamdeal.net.messages import write_response


class RequestReader(HTTPMessageDelegate):
    """Collects one request and passes it to a handler once it is complete.

    :param connection: the ``HTTP1Connection``.
    :param limits: a function that returns the ``routes.Limits`` in force.
    :param handle: the handler, called with the connection, the start line, the headers
        and the body.
    """

    def __init__(self, connection, limits, handle):
        self._connection = connection
        self._limits = limits
        self._handle = handle
        self._body = bytearray()
        self._refused = False

    def headers_received(self, start_line, headers):
        """Refuse a request whose headers or declared body exceed the limits."""
        self._start_line = start_line
        self._headers = headers
        limits = self._limits()
        size = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
        if size + len(start_line.path) > limits.header_bytes:
            self._refuse(431)
        elif _parse_length(headers) > limits.body_bytes:
            self._refuse(413)
        if self._refused:
            self._close_connection()

    def _refuse(self, status):
        self._refused = True
        headers = HTTPHeaders({"Connection": "close"})
        write_response(self._connection, "GET", status, headers, b"")

    def _close_connection(self):
        # The rest of the refused request must not be parsed as a new one. Closing the
        # connection alone is not enough: tornado would go on parsing what it has read
        # already.
        stream = self._connection.detach()
        if stream is not None:
            stream.close()

    def data_received(self, chunk):
        """Store a chunk of the body; refuse the request if the body is too large."""
        if self._refused:
            return
        if len(self._body) + len(chunk) > self._limits().body_bytes:
            self._refuse(413)
            return
        self._body += chunk

    def finish(self):
        """Pass the complete request to the handler."""
        if self._refused:
            self._close_connection()
            return
        body = bytes(self._body)
        self._body.clear()
        self._handle(self._connection, self._start_line, self._headers, body)

    def on_connection_close(self):
        """Discard a request whose connection closed before its end."""
        self._body.clear()


def _parse_length(headers):
    text = headers.get("Content-Length", "0")
    return int(text) if text.isdigit() else 0


class RequestServer(HTTPServerConnectionDelegate):
    """Creates a ``RequestReader`` for each request.

    :param limits: see ``RequestReader``.
    :param handle: see ``RequestReader``.
    """

    def __init__(self, limits, handle):
        self._limits = limits
        self._handle = handle

    def start_request(self, server_conn, request_conn):
        """Return the ``RequestReader`` of a new request."""
        return RequestReader(request_conn, self._limits, self._handle)


def _ignore_nodelay(value):
    """Do nothing: TCP_NODELAY stays on."""


class DrainableServer(HTTPServer):
    """A server that tells whether all that it has sent is on its way.

    Bytes that a slow receiver has not taken are in this process, and end with it.
    """

    def initialize(self, *arguments, **options):
        """Set up the server; the arguments are those of tornado's."""
        super().initialize(*arguments, **options)
        self._streams = WeakSet()

    def handle_stream(self, stream, address):
        """Serve a new connection."""
        self._streams.add(stream)
        super().handle_stream(stream, address)

    def is_writing(self):
        """Return whether any open connection has bytes that are not written yet."""
        return any(stream.writing() for stream in self._streams if not stream.closed())


class KeepaliveServer(DrainableServer):
    """A server that closes connections whose peer has silently gone away."""

    def handle_stream(self, stream, address):
        """Serve a new connection."""
        enable_dead_peer_detection(stream.socket)
        stream.set_nodelay(True)
        # Tornado would switch it off and on for each message, at a system call each.
        stream.set_nodelay = _ignore_nodelay
        super().handle_stream(stream, address)
