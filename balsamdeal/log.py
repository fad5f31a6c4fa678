"""Logs as JSON lines, with bounded volume and without blocking writes.

Requests cause many decisions. ``DecisionLog`` limits the rate of their lines and logs
how many it omitted; it omits routine decisions first.
"""

import errno
import logging
import os
import sys

from pythonjsonlogger.json import JsonFormatter

# Rate in lines per second and burst in lines, for decisions on requests. A line costs
# about 60 us of CPU time, so 20 lines per second use less than 0.2 % of a core.
DECISIONS_PER_S = 20.0
DECISION_BURST = 100.0
# Routine decisions are written only while at least this share of the burst is left.
ROUTINE_SHARE = 0.5
STDOUT = 1


def make_formatter(vm):
    """Return the JSON formatter, which adds the VM's name to each line."""
    return JsonFormatter(
        "{asctime}{levelname}{name}{message}", style="{", static_fields={"vm": vm}
    )


def install(handler, level, vm):
    """Make a handler the only one of the root logger.

    :param handler: the ``logging.Handler``.
    :param level: one of ``settings.LOG_LEVELS``.
    :param vm: the VM's name.
    """
    handler.setFormatter(make_formatter(vm))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def configure(level, vm):
    """Send the package's logs to standard error as JSON.

    :param level: one of ``settings.LOG_LEVELS``.
    :param vm: the VM's name, added to each line.
    """
    install(logging.StreamHandler(sys.stderr), level, vm)


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor; drops those that cannot be written at once.

    ``dropped`` counts the dropped lines. The next line that is written carries that
    total as ``lines_dropped``.

    :param descriptor: the file descriptor, put into non-blocking mode.
    """

    def __init__(self, descriptor=STDOUT):
        super().__init__()
        self._descriptor = descriptor
        self.dropped = 0
        self._reported = 0
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Write one line, or count it as dropped."""
        if self.dropped > self._reported:
            record.lines_dropped = self.dropped
        line = self.format(record).encode() + b"\n"
        try:
            if self._unwritten:
                # The rest of a partially written line goes first.
                self._unwritten = self._unwritten[
                    os.write(self._descriptor, self._unwritten) :
                ]
            if self._unwritten:
                self.dropped += 1
                return
            self._unwritten = line[os.write(self._descriptor, line) :]
            self._reported = self.dropped
        except OSError as error:
            # For example the pipe is full or closed. A log that cannot be written must
            # not stop the node.
            self.dropped += 1
            if error.errno not in (errno.EAGAIN, errno.EPIPE):
                self.handleError(record)


class DecisionLog:
    """Writes decisions on requests, limited by a token bucket.

    :param logger: the ``logging.Logger`` to write to.
    :param per_s: the rate, in lines per second.
    :param burst: the number of lines that may be written at once.
    """

    def __init__(self, logger, per_s=DECISIONS_PER_S, burst=DECISION_BURST):
        self._logger = logger
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._updated_s = None
        self.omitted = 0

    def write(self, decision, now_s):
        """Write a ``request_events.LogDecision``, or count it as omitted.

        The next line that is written carries the count as ``omitted``.
        """
        if self._updated_s is not None:
            refill = (now_s - self._updated_s) * self._per_s
            self._tokens = min(self._burst, self._tokens + refill)
        self._updated_s = now_s
        needed = ROUTINE_SHARE * self._burst if decision.routine else 1.0
        if self._tokens < needed:
            self.omitted += 1
            return
        self._tokens -= 1.0
        fields = decision.fields
        if self.omitted:
            fields = {**fields, "omitted": self.omitted}
            self.omitted = 0
        self._logger.info(decision.event, extra=fields)
