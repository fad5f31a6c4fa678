"""Logs as JSON lines: bounded in volume, and never waited for.

Decisions on requests are many. ``DecisionLog`` bounds them by a rate and says how
many it left out; of routine ones it leaves out more.
"""

import errno
import logging
import os
import sys

from pythonjsonlogger.json import JsonFormatter

# Lines a second and the size of a burst of them, for decisions on requests. A line
# costs some 60 us of processor time: 20 a second stay below 0.2 % of a core.
DECISIONS_PER_S = 20.0
DECISION_BURST = 100.0
# Routine decisions are written only while this share of the burst is left.
ROUTINE_SHARE = 0.5
STDOUT = 1


def make_formatter(vm):
    """Return the formatter of all lines; each names the VM."""
    return JsonFormatter(
        "{asctime}{levelname}{name}{message}", style="{", static_fields={"vm": vm}
    )


def install(handler, level, vm):
    """Make a handler the only one of the process.

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
    """Writes lines to a descriptor and drops those that it does not take at once.

    ``dropped`` counts them; the next line that is written tells the number.

    :param descriptor: the file descriptor, put into non-blocking mode.
    """

    def __init__(self, descriptor=STDOUT):
        super().__init__()
        self._descriptor = descriptor
        self.dropped = 0
        self._told = 0
        self._rest = b""
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Write one line, or count it as dropped."""
        if self.dropped > self._told:
            record.lines_dropped = self.dropped
        line = self.format(record).encode() + b"\n"
        try:
            if self._rest:
                # The end of a line that was taken in part goes first.
                self._rest = self._rest[os.write(self._descriptor, self._rest) :]
            if self._rest:
                self.dropped += 1
                return
            self._rest = line[os.write(self._descriptor, line) :]
            self._told = self.dropped
        except OSError as error:
            # Nobody reads: a log that cannot be written must not stop the node.
            self.dropped += 1
            if error.errno not in (errno.EAGAIN, errno.EPIPE):
                self.handleError(record)


class DecisionLog:
    """Writes decisions on requests within a rate.

    :param logger: the ``logging.Logger`` to write to.
    :param per_s: lines a second.
    :param burst: lines that may come at once.
    """

    def __init__(self, logger, per_s=DECISIONS_PER_S, burst=DECISION_BURST):
        self._logger = logger
        self._per_s = per_s
        self._burst = burst
        self._left = burst
        self._updated_s = None
        self.omitted = 0

    def write(self, decision, now_s):
        """Write a ``traffic.Decision``, or count it as left out."""
        if self._updated_s is not None:
            earned = (now_s - self._updated_s) * self._per_s
            self._left = min(self._burst, self._left + earned)
        self._updated_s = now_s
        needed = ROUTINE_SHARE * self._burst if decision.routine else 1.0
        if self._left < needed:
            self.omitted += 1
            return
        self._left -= 1.0
        fields = decision.fields
        if self.omitted:
            fields = {**fields, "omitted": self.omitted}
            self.omitted = 0
        self._logger.info(decision.event, extra=fields)
