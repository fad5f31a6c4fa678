"""Logs as JSON lines on standard error, written on changes of state only."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def configure(level, vm):
    """Send the package's logs to standard error as JSON.

    :param level: one of ``settings.LOG_LEVELS``.
    :param vm: the VM's name, added to each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{name}{message}", style="{", static_fields={"vm": vm}
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
