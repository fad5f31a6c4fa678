"""A stand-in for an application server of the platform: runs, faults, wrong bytes."""

import asyncio
import socket
import struct
from collections import Counter

MISBEHAVIOURS = (
    "decline",
    "fail",
    "reset",
    "cut",
    "foreign-first",
    "extra",
    "garbage",
    "unsealed",
    "encoded",
    "unframed",
    "unframed-reset",
    "silent",
)


def reset(writer):
    """Close a connection with a reset in place of an end.

    :param writer: the ``asyncio.StreamWriter``.
    """
    linger = struct.pack("ii", 1, 0)
    peer = writer.get_extra_info("socket")
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Server:
    """One application server; ``runs`` counts runs by request id.

    ``misbehaviours`` is used up, one for each request. ``seen`` keeps each request's
    line, headers and body.

    :param instance: the id that it answers to.
    """

    def __init__(self, instance):
        self.instance = instance
        self.runs = Counter()
        self.seen = []
        self.misbehaviours = []
        self.delay_s = 0.0
        self.broken_off = 0
        self.address = None
        self._server = None
        self._writers = set()

    async def listen(self, host, port=0):
        """Open the server."""
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def stop(self):
        """Close the server and its connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass  # the node has closed its connection
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        line, *rest = head.rstrip().split("\r\n")
        pairs = [item.split(": ", 1) for item in rest]
        headers = {name.lower(): value for name, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        self.seen.append((line, headers, body))
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expected-instance") != self.instance:
            self._write(writer, 421, [("X-Instance-Id", self.instance)], b"")
            return True
        misbehaviour = self.misbehaviours.pop(0) if self.misbehaviours else None
        if misbehaviour == "decline":
            self._write(writer, 503, [("X-Not-Executed", "1")], b"")
            return True
        self.runs[request_id] += 1
        if not await self._work(reader):
            self.broken_off += 1
            return False
        return self._answer(writer, misbehaviour, request_id, line)

    async def _work(self, reader):
        """Take the time of a run; return False if the node leaves in it."""
        if not self.delay_s:
            return True
        closing = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({closing}, timeout=self.delay_s)
        if not done:
            closing.cancel()
            done, _ = await asyncio.wait({closing})
            if closing.cancelled():
                return True
        closing.exception()  # a reset is an end like any other
        return False

    def _answer(self, writer, misbehaviour, request_id, line):
        good = [("X-Request-Id", request_id), ("X-Server-Seal", f"seal-{request_id}")]
        body = f"{self.instance} ran {line.split()[1]}".encode()
        if misbehaviour == "silent":
            return True
        if misbehaviour == "reset":
            reset(writer)
            return False
        if misbehaviour == "garbage":
            writer.write(b"this is no answer\r\n\r\n")
            return False
        if misbehaviour == "foreign-first":
            foreign = [("X-Request-Id", "other"), ("X-Server-Seal", "seal-other")]
            self._write(writer, 200, foreign, b"another's answer")
        if misbehaviour == "unsealed":
            good = good[:1]
        if misbehaviour == "encoded":
            good.append(("Content-Encoding", "gzip"))
        if misbehaviour in ("unframed", "unframed-reset"):
            self._write(writer, 200, good, body, framed=False)
            if misbehaviour == "unframed-reset":
                reset(writer)
            return False
        if misbehaviour == "cut":
            self._write(writer, 200, good, body, missing=3)
            return False
        self._write(writer, 500 if misbehaviour == "fail" else 200, good, body)
        if misbehaviour == "extra":
            self._write(writer, 200, good, b"a second answer")
        return True

    @staticmethod
    def _write(writer, status, headers, body, framed=True, missing=0):
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers]
        if framed:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        writer.write(head + body[: len(body) - missing])
