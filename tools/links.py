"""A loopback proxy between two processes that delays, resets, silences or cuts."""

import asyncio

from standins.server import reset

PASS, DELAY, RESET, SILENT, UP_ONLY, DOWN_ONLY, REFUSE = (
    "pass",
    "delay",
    "reset",
    "silent",
    "up-only",
    "down-only",
    "refuse",
)
FAULTS = (DELAY, RESET, SILENT, UP_ONLY, DOWN_ONLY, REFUSE)
DELAY_S = 0.3
CHUNK_BYTES = 65_536
# How often a silenced direction looks whether it may go on, in seconds.
POLL_S = 0.02


class Link:
    """Forwards connections; ``mode`` decides what becomes of their bytes.

    Bytes that a silent or one-way link holds back go on when it passes again, as
    retransmissions would.

    :param target: host and port to forward to.
    """

    def __init__(self, target):
        self.target = target
        self.mode = PASS
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def listen(self, host, port):
        """Open the link."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self):
        """Close the link and what goes over it."""
        self._server.close()
        self._abort_all()
        for task in self._tasks:
            task.cancel()

    def set_mode(self, mode):
        """Change the mode; ``RESET`` ends all connections once."""
        self.mode = mode
        if mode == RESET:
            for writer in self._writers:
                reset(writer)
            self.mode = PASS

    def _abort_all(self):
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        other_writer = None
        try:
            if self.mode == REFUSE:
                reset(writer)
                return
            other_reader, other_writer = await asyncio.open_connection(*self.target)
            self._writers.add(other_writer)
            await asyncio.gather(
                self._pump(reader, other_writer, UP_ONLY),
                self._pump(other_reader, writer, DOWN_ONLY),
            )
        except (OSError, asyncio.CancelledError):
            pass  # one of the two ends has gone; the other is told below
        finally:
            for item in (writer, other_writer):
                if item is not None:
                    self._writers.discard(item)
                    item.transport.abort()
            self._tasks.discard(task)

    async def _pump(self, reader, writer, one_way):
        while True:
            data = await reader.read(CHUNK_BYTES)
            if self.mode == DELAY:
                await asyncio.sleep(DELAY_S)
            while self.mode in (SILENT, UP_ONLY, DOWN_ONLY) and self.mode != one_way:
                await asyncio.sleep(POLL_S)
            if not data:
                # Both directions end with one: nobody here closes half a connection.
                raise ConnectionResetError("closed")
            writer.write(data)
            await writer.drain()
