"""HTTP messages that a node forwards, header names, and writing of responses."""

from dataclasses import dataclass
from hashlib import blake2b
from http.client import responses

from tornado.httputil import HTTPHeaders, ResponseStartLine

# Headers that concern one connection only and are never forwarded.
HOP_BY_HOP_HEADERS = frozenset(
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
    """A caller's request as it is forwarded to the target."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def get_header(self, name):
        """Return the first value of a header, or an empty string."""
        wanted = name.lower()
        for item, value in self.headers:
            if item.lower() == wanted:
                return value
        return ""


# Headers that make a request another one, as they tell who the caller is.
IDENTITY_HEADERS = frozenset({"authorization", "cookie", "host"})
# Two of a million different requests have the same digest with a chance of 3e-8.
DIGEST_BYTES = 8


def compute_digest(payload):
    """Return what is alike in all attempts at one request, as hexadecimal digits.

    :param payload: the ``Payload``; its id and its deadline differ in each attempt.
    """
    state = blake2b(digest_size=DIGEST_BYTES)
    state.update(f"{payload.method} {payload.path}\n".encode())
    for name, value in payload.headers:
        if name.lower() in IDENTITY_HEADERS:
            state.update(f"{name.lower()}:{value}\n".encode())
    state.update(payload.body)
    return state.hexdigest()


@dataclass(slots=True)
class Answer:
    """A target's complete answer as it is forwarded to the caller."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that callers and targets of a deployment use.

    Headers of requests: ``request_id`` identifies a request and is echoed in its
    answer, ``time_left_ms`` is how long the caller still waits, ``instance`` is the
    only target that may run the request, ``caller_service`` is the service of the VM
    where it originated. Headers of answers: ``seal`` shows that the target itself
    produced the answer, ``declined`` that it did not run the request,
    ``requests_per_s`` how many requests the target accepts, ``leaving`` that it is
    about to exit.
    """

    request_id: str
    time_left_ms: str
    instance: str
    caller_service: str
    seal: str
    declined: str
    requests_per_s: str
    leaving: str


def filter_headers(headers, dropped=HOP_BY_HOP_HEADERS):
    """Return the headers to forward, as pairs of name and value.

    :param headers: ``HTTPHeaders``.
    :param dropped: names to leave out, in lower case.
    """
    return tuple(
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in dropped
    )


def make_headers(pairs):
    """Return ``HTTPHeaders`` made of pairs of name and value."""
    headers = HTTPHeaders()
    for name, value in pairs:
        headers.add(name, value)
    return headers


def write_response(connection, method, status, headers, body, reason=None):
    """Write a complete response on a connection of tornado's server.

    Nothing is written if the connection is closed already.

    :param connection: the ``HTTP1Connection``.
    :param method: the request's method.
    :param status: the HTTP status.
    :param headers: ``HTTPHeaders``; Content-Length is added.
    :param body: the body as bytes.
    :param reason: the reason phrase; None for the standard one of the status.
    """
    chunk = None if method == "HEAD" else body
    if begin_response(connection, status, headers, len(body), reason, chunk or None):
        connection.finish()


def begin_response(connection, status, headers, size, reason=None, chunk=None):
    """Write the head of a response, and its first bytes if there are any yet.

    :param size: the length of the body in bytes.
    :param chunk: the first bytes of the body, or None.
    :return: whether the connection is still open.
    """
    if connection.stream is None or connection.stream.closed():
        return False
    headers["Content-Length"] = str(size)
    reason = reason or responses.get(status, "Unknown")
    line = ResponseStartLine("HTTP/1.1", status, reason)
    connection.write_headers(line, headers, chunk)
    return True
