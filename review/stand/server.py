"""Stand-in for an application server, as PROTOCOL.md says."""

import asyncio
import hashlib
import time


class Server:
    """One server; ``arrivals`` holds each request that it took up to run.

    An arrival is the time, the id, the method and the path. ``ended`` maps the id of
    each run to how it ended: ``answered``, ``dropped`` if its connection closed first,
    or ``lost`` with the server.

    :param work_s: how long a request runs, or a function of its path.
    :param make_body: returns the body of the answer to a path.
    """

    def __init__(self, service, instance, host, port, work_s, make_body, slots=18):
        self.service = service
        self.instance = instance
        self.host = host
        self.port = port
        self.slots = slots
        self.arrivals = []
        self.ended = {}
        self.leaving = False
        self.gone = False
        self._work_s = work_s
        self._make_body = make_body
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._listener = None
        self._writers = set()

    async def listen(self):
        """Accept connections."""
        self._listener = await asyncio.start_server(self._serve, self.host, self.port)

    def exit(self):
        """End like a process: nothing listens any more, and all connections close."""
        self.gone = True
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        line, *rest = head.rstrip("\r\n").split("\r\n")
        headers = {}
        for item in rest:
            name, _, value = item.partition(":")
            headers[name.lower()] = value.strip()
        await reader.readexactly(int(headers.get("content-length", 0)))
        method, path, _ = line.split(" ", 2)
        request_id = headers.get("x-request-id")
        echo = [("X-Request-Id", request_id)] if request_id else []
        if path == "/health":
            status = 503 if self.leaving else 200
            return self._write(writer, status, [("X-Instance-Id", self.instance)], b"")
        if headers.get("x-expected-instance", self.instance) != self.instance:
            found = [*echo, ("X-Instance-Id", self.instance)]
            return self._write(writer, 421, found, b"")
        if request_id is None:
            return self._write(writer, 400, [("X-Not-Executed", "1")], b"")
        if self._free.locked() and self._waiting >= 4 * self.slots:
            return self._write(writer, 503, [*echo, ("X-Not-Executed", "1")], b"")
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self.arrivals.append((time.monotonic(), request_id, method, path))
            if not await self._run(reader, path):
                self.ended[request_id] = "lost" if self.gone else "dropped"
                return False
        self.ended[request_id] = "answered"
        body = self._make_body(path)
        seal = f"{request_id}.{hashlib.sha256(body).hexdigest()[:16]}"
        return self._write(writer, 200, [*echo, ("X-Server-Seal", seal)], body)

    async def _run(self, reader, path):
        """Work; return False if the connection closes meanwhile."""
        work_s = self._work_s(path) if callable(self._work_s) else self._work_s
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({closed}, timeout=work_s)
        if done:
            closed.exception()
            return False
        closed.cancel()
        try:
            await closed
        except asyncio.CancelledError:
            return True
        return False

    def _write(self, writer, status, headers, body):
        lines = [f"HTTP/1.1 {status} Status", "Keep-Alive: timeout=10"]
        if self.leaving:
            lines.append("Connection: close")
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode("latin1") + b"\r\n\r\n" + body)
        return not self.leaving
