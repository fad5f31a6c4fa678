"""Event loop, garbage collection and clock of the daemons."""

import asyncio
import gc
import selectors
import time

# Batches of ready callbacks that run before the loop polls for I/O again. An exchange
# takes about ten batches, and a poll costs as much as one batch.
MAX_SKIPPED_POLLS = 8


class PollSkippingSelector(selectors.DefaultSelector):
    """A selector that skips most polls for I/O while callbacks are ready to run."""

    def __init__(self):
        super().__init__()
        self._skipped = 0

    def select(self, timeout=None):
        """Return the I/O events, or an empty list when the poll is skipped."""
        callbacks_ready = timeout is not None and timeout <= 0
        if callbacks_ready and self._skipped < MAX_SKIPPED_POLLS:
            self._skipped += 1
            return []
        self._skipped = 0
        return super().select(timeout)


def make_loop():
    """Return an event loop that polls for I/O once per several batches of callbacks."""
    return asyncio.SelectorEventLoop(PollSkippingSelector())


def exempt_startup_objects():
    """Exclude all objects that exist now from garbage collection.

    Modules and models live as long as the process. A full collection that visits
    them blocks the loop for about 30 ms.
    """
    gc.collect()
    gc.freeze()


def read_boot_clock_s():
    """Return the seconds since the VM booted, including its suspensions.

    The loop's clock stops during a suspension, so the gap between the two clocks
    grows by its length.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
