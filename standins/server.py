"""Stand-in for a target, a server of the platform: runs, faults, bad responses."""

import asyncio
import socket
import struct
from collections import Counter

SERVER_FAULTS = (
    "decline",
    "decline-twice",
    "decline-copied",
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
    "endless-head",
    "endless-body",
    "endless-chunks",
    "endless-interim",
    "endless-extra",
)
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What comes first, and what is repeated until the node closes the connection.
ENDLESS = {
    "endless-head": (HEAD, b"X-Filler: 0123456789\r\n" * 1000),
    "endless-body": (HEAD + b"\r\n", b"x" * 65_536),
    "endless-chunks": (CHUNKED_HEAD, b"2\r\nxx\r\n" * 8000),
    "endless-interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "endless-extra": (HEAD + b"Content-Length: 2\r\n\r\nok", b"x" * 65_536),
}
# A server that sends without end stops after this many bytes.
MAX_ENDLESS_BYTES = 100_000_000


def reset(writer):
    """Close a connection with a TCP reset instead of a FIN.

    :param writer: the ``asyncio.StreamWriter``.
    """
    linger = struct.pack("ii", 1, 0)
    peer = writer.get_extra_info("socket")
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Server:
    """One server; ``runs`` counts runs by request id.

    Each request for this instance removes the first entry of ``pending_faults``, one
    of SERVER_FAULTS, and gets that fault; the second copy of "decline-twice" has no
    request id and is sent when the next request arrives on the connection. A server
    with "decline-copied" declines whatever instance is expected, as if it was full; it
    sends that answer once more when the next request with the same id arrives on the
    connection. ``delay_s`` is the duration of a run in seconds. ``seen`` holds each
    request's line, headers and body. ``aborted_runs`` counts runs during which the node
    closed its connection. ``arrivals`` holds the event loop's time of each request, in
    seconds. ``notices`` are pairs of header name and value that all answers carry.
    ``on_arrival``, if set, is called with the server, the id of each request that
    arrives, and that time. ``padding`` is appended to the body of each answer. A
    request for one of ``crashing_paths`` ends the server ``crash_after_s`` after it
    began to run; it is back ``restart_s`` later under another instance id. ``on_crash``
    and ``on_restart``, if set, are called with it; the latter is a coroutine function.
    ``crashes`` holds the time and the path of each crash.

    :param instance: its instance id; requests that expect another one get status 421.
    """

    def __init__(self, instance):
        self.instance = instance
        self.runs = Counter()
        self.seen = []
        self.pending_faults = []
        self.delay_s = 0.0
        self.aborted_runs = 0
        self.notices = []
        self.arrivals = []
        self.on_arrival = None
        self.padding = b""
        self.crashing_paths = set()
        self.crash_after_s = 0.05
        self.restart_s = 1.0
        self.crashes = []
        self.on_crash = None
        self.on_restart = None
        self._restart_timer = None
        self.address = None
        self._server = None
        self._writers = set()
        self._late_copies = {}
        # Answers to send again, by connection and request id.
        self._copied_declines = {}

    async def listen(self, host, port=0):
        """Open the server, and set ``address``."""
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def stop(self):
        """Close the server and its connections for good."""
        if self._restart_timer is not None:
            self._restart_timer.cancel()
        self._close()

    def reset_connections(self):
        """Reset all connections, as a network device that forgets them."""
        for writer in self._writers:
            reset(writer)

    def _close(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def crash(self, path=""):
        """End like a process that is killed, and start again later.

        :param path: that of the request that caused it, if any.
        """
        loop = asyncio.get_running_loop()
        self.crashes.append((loop.time(), path))
        if not self._server.is_serving():
            return
        self._close()
        if self.on_crash is not None:
            self.on_crash(self)
        self._restart_timer = loop.call_later(
            self.restart_s, lambda: asyncio.ensure_future(self._restart())
        )

    async def _restart(self):
        self.instance += "b"
        host, _, port = self.address.rpartition(":")
        await self.listen(host, int(port))
        if self.on_restart is not None:
            await self.on_restart(self)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass  # the node has closed its connection
        finally:
            self._writers.discard(writer)
            self._late_copies.pop(writer, None)
            self._copied_declines.pop(writer, None)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        line, *header_lines = head.rstrip().split("\r\n")
        pairs = [item.split(": ", 1) for item in header_lines]
        headers = {name.lower(): value for name, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        self.seen.append((line, headers, body))
        now_s = asyncio.get_running_loop().time()
        self.arrivals.append(now_s)
        request_id = headers.get("x-request-id", "")
        if self.on_arrival is not None:
            self.on_arrival(self, request_id, now_s)
        if writer in self._late_copies:
            self._write(writer, *self._late_copies.pop(writer))
        copied = self._copied_declines.setdefault(writer, {})
        if request_id in copied:
            self._write(writer, 503, copied.pop(request_id), b"")
        elif self.pending_faults[:1] == ["decline-copied"]:
            del self.pending_faults[0]
            declined = [("X-Not-Executed", "1"), ("X-Request-Id", request_id)]
            copied[request_id] = declined
            self._write(writer, 503, declined, b"")
            return True
        if headers.get("x-expected-instance") != self.instance:
            echoed = [("X-Request-Id", request_id), ("X-Instance-Id", self.instance)]
            self._write(writer, 421, echoed, b"")
            return True
        fault = self.pending_faults.pop(0) if self.pending_faults else None
        if fault in ("decline", "decline-twice"):
            not_run = [("X-Not-Executed", "1"), *self.notices]
            echoed = [("X-Request-Id", request_id)]
            self._write(writer, 503, not_run + echoed, b"")
            if fault == "decline-twice":
                self._late_copies[writer] = (503, not_run, b"")
            return True
        self.runs[request_id] += 1
        path = line.split()[1]
        if path in self.crashing_paths:
            await asyncio.sleep(self.crash_after_s)
            self.crash(path)
            return False
        if not await self._simulate_run(reader):
            self.aborted_runs += 1
            return False
        if fault in ENDLESS:
            await self._send_without_end(writer, *ENDLESS[fault])
            return False
        return self._answer(writer, fault, request_id, line)

    async def _simulate_run(self, reader):
        """Wait ``delay_s``; return False if the node disconnects meanwhile."""
        if not self.delay_s:
            return True
        disconnect = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({disconnect}, timeout=self.delay_s)
        if not done:
            disconnect.cancel()
            done, _ = await asyncio.wait({disconnect})
            if disconnect.cancelled():
                return True
        disconnect.exception()  # marks a reset as retrieved; it counts as a close
        return False

    @staticmethod
    async def _send_without_end(writer, first, repeated):
        """Send until the node closes the connection, or very many bytes."""
        writer.write(first)
        for _ in range(MAX_ENDLESS_BYTES // len(repeated)):
            writer.write(repeated)
            await writer.drain()

    def _answer(self, writer, fault, request_id, line):
        answer_headers = [
            ("X-Request-Id", request_id),
            ("X-Server-Seal", f"seal-{request_id}"),
            *self.notices,
        ]
        body = f"{self.instance} ran {line.split()[1]}".encode() + self.padding
        if fault == "silent":
            return True
        if fault == "reset":
            reset(writer)
            return False
        if fault == "garbage":
            writer.write(b"this is no answer\r\n\r\n")
            return False
        if fault == "foreign-first":
            foreign_headers = [
                ("X-Request-Id", "other"),
                ("X-Server-Seal", "seal-other"),
            ]
            self._write(writer, 200, foreign_headers, b"another's answer")
        if fault == "unsealed":
            answer_headers = answer_headers[:1]
        if fault == "encoded":
            answer_headers.append(("Content-Encoding", "gzip"))
        if fault in ("unframed", "unframed-reset"):
            self._write(writer, 200, answer_headers, body, framed=False)
            if fault == "unframed-reset":
                reset(writer)
            return False
        if fault == "cut":
            self._write(writer, 200, answer_headers, body, truncate_by=3)
            return False
        self._write(writer, 500 if fault == "fail" else 200, answer_headers, body)
        if fault == "extra":
            self._write(writer, 200, answer_headers, b"a second answer")
        return True

    @staticmethod
    def _write(writer, status, headers, body, framed=True, truncate_by=0):
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers]
        if framed:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        writer.write(head + body[: len(body) - truncate_by])
