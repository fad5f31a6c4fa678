"""HTTP messages that a node passes on: payloads, header names, own responses."""

from dataclasses import dataclass
from http.client import responses

from tornado.httputil import HTTPHeaders, ResponseStartLine

# Headers that concern one connection only and are never passed on.
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "expect",
        "host",
        "keep-alive",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(slots=True)
class Payload:
    """What a caller sent, as it goes to the target."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def get_header(self, name):
        """Return the first value of a header, or an empty text."""
        wanted = name.lower()
        for item, value in self.headers:
            if item.lower() == wanted:
                return value
        return ""


@dataclass(slots=True)
class Answer:
    """A target's whole answer, as it goes to the caller."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that callers and targets of a deployment use.

    ``request_id`` names a request and is echoed, ``time_left_ms`` is how long the
    caller still waits, ``instance`` is the only target that may run a request,
    ``caller_service`` is the service of the VM where it began. In answers, ``seal``
    marks a target's own, and ``declined`` says that nothing was run.
    """

    request_id: str
    time_left_ms: str
    instance: str
    caller_service: str
    seal: str
    declined: str


def filter_headers(headers, dropped=HOP_HEADERS):
    """Return the headers to pass on, as pairs.

    :param headers: ``HTTPHeaders``.
    :param dropped: lower-case names to leave out.
    """
    return tuple(
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in dropped
    )


def make_headers(pairs):
    """Return ``HTTPHeaders`` of pairs."""
    headers = HTTPHeaders()
    for name, value in pairs:
        headers.add(name, value)
    return headers


def write_response(connection, method, status, headers, body, reason=None):
    """Write a whole response on a connection of tornado's server.

    :param connection: the ``HTTP1Connection``.
    :param method: the request's method.
    :param status: the HTTP status.
    :param headers: ``HTTPHeaders``; the length is added.
    :param body: the body as bytes.
    :param reason: the reason phrase; None for the usual one.
    """
    if connection.stream is None or connection.stream.closed():
        return
    headers["Content-Length"] = str(len(body))
    reason = reason or responses.get(status, "Unknown")
    line = ResponseStartLine("HTTP/1.1", status, reason)
    chunk = None if method == "HEAD" else body
    connection.write_headers(line, headers, chunk or None)
    connection.finish()
