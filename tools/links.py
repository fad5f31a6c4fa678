"""A loopback TCP proxy that injects faults: delay, reset, silence or refusal."""

import asyncio

from standins.server import reset

# UP_ONLY forwards bytes only to the target, DOWN_ONLY only back to the client.
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
# Interval at which a blocked direction checks whether it may forward again.
POLL_INTERVAL_S = 0.02


class Link:
    """Forwards connections; ``mode`` selects the fault that is applied to them.

    Bytes that a silent or one-way link holds back are forwarded once it passes again,
    as TCP retransmissions would be.

    :param target: host and port to forward to.
    """

    def __init__(self, target):
        self.target = target
        self.mode = PASS
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def listen(self, host, port):
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self):
        """Stop listening and abort all connections."""
        self._server.close()
        self._abort_all()
        for task in self._tasks:
            task.cancel()

    def set_mode(self, mode):
        """Set the mode; ``RESET`` resets all open connections once and then passes."""
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
                self._forward(reader, other_writer, UP_ONLY),
                self._forward(other_reader, writer, DOWN_ONLY),
            )
        except (OSError, asyncio.CancelledError):
            pass  # one end has closed; the other is aborted below
        finally:
            for end_writer in (writer, other_writer):
                if end_writer is not None:
                    self._writers.discard(end_writer)
                    end_writer.transport.abort()
            self._tasks.discard(task)

    async def _forward(self, reader, writer, open_mode):
        while True:
            data = await reader.read(CHUNK_BYTES)
            if self.mode == DELAY:
                await asyncio.sleep(DELAY_S)
            while self.mode in (SILENT, UP_ONLY, DOWN_ONLY) and self.mode != open_mode:
                await asyncio.sleep(POLL_INTERVAL_S)
            if not data:
                # Closes both directions: no process here half-closes a connection.
                raise ConnectionResetError("closed")
            writer.write(data)
            await writer.drain()
