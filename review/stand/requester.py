"""Stand-in for requesters: single requests, each on a new connection."""

import asyncio
import hashlib
import socket
import time
from dataclasses import dataclass


@dataclass
class Result:
    """What a requester saw.

    ``status`` is None if no head of an answer came. ``whole`` tells whether the whole
    body came, ``sealed`` whether the seal fits the request and the body.
    """

    request_id: str
    method: str
    path: str
    sent_s: float
    status: int | None = None
    whole: bool = False
    sealed: bool = False
    received: int = 0
    expected: int = 0
    ended_s: float = 0.0
    error: str = ""


async def open_link(address, receive_bytes=None, segment_bytes=None):
    """Connect; a small window and Ethernet segments make a link like a real one."""
    link = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    link.setblocking(False)
    if receive_bytes:
        link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    if segment_bytes:
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
    await asyncio.get_running_loop().sock_connect(link, address)
    return await asyncio.open_connection(sock=link, limit=receive_bytes or 65536)


async def send(
    address,
    method,
    host,
    path,
    request_id,
    deadline_s,
    body=b"",
    bytes_per_s=None,
    receive_bytes=None,
    segment_bytes=None,
):
    """Send one request and return its ``Result``.

    :param bytes_per_s: how fast the link takes the answer; None for at once.
    """
    result = Result(request_id, method, path, time.monotonic())
    writer = None
    try:
        async with asyncio.timeout(deadline_s + 1.0):
            reader, writer = await open_link(address, receive_bytes, segment_bytes)
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {host}",
                f"X-Request-Id: {request_id}",
                f"X-Deadline-Ms: {round(deadline_s * 1000)}",
                f"Content-Length: {len(body)}",
            ]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await _read_answer(reader, result, bytes_per_s)
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        result.error = type(error).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
    result.ended_s = time.monotonic()
    return result


async def _read_answer(reader, result, bytes_per_s):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    line, *rest = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for item in rest:
        name, _, value = item.partition(":")
        headers[name.lower()] = value.strip()
    result.status = int(line.split(" ")[1])
    result.expected = int(headers["content-length"])
    digest = hashlib.sha256()
    chunk_bytes = 65536
    if bytes_per_s:
        chunk_bytes = max(1, int(bytes_per_s * 0.02))
    begun_s = time.monotonic()
    while result.received < result.expected:
        chunk = await reader.read(min(chunk_bytes, result.expected - result.received))
        if not chunk:
            raise asyncio.IncompleteReadError(b"", None)
        result.received += len(chunk)
        digest.update(chunk)
        if bytes_per_s:
            due_s = begun_s + result.received / bytes_per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
    result.whole = True
    seal = f"{result.request_id}.{digest.hexdigest()[:16]}"
    result.sealed = headers.get("x-server-seal") == seal


async def send_on_kept(connection, method, host, path, request_id, deadline_s):
    """Send one request on an open connection, a reader and a writer; return the result.

    The answer is read at once.
    """
    result = Result(request_id, method, path, time.monotonic())
    reader, writer = connection
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {round(deadline_s * 1000)}",
        "Content-Length: 0",
    ]
    try:
        async with asyncio.timeout(deadline_s + 1.0):
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            await _read_answer(reader, result, None)
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        result.error = type(error).__name__
    result.ended_s = time.monotonic()
    return result
