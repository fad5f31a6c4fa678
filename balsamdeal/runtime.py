"""Settings of the interpreter that both daemons use."""

import asyncio
import gc
import selectors
import time

# Batches of ready callbacks that run before the loop asks for I/O again. An exchange
# takes about ten batches, and asking costs as much as one of them.
MAX_SKIPPED_POLLS = 8


class PatientSelector(selectors.DefaultSelector):
    """A selector that does not poll each time that callbacks are ready."""

    def __init__(self):
        super().__init__()
        self._skipped = 0

    def select(self, timeout=None):
        """Return the events of I/O, or none while callbacks wait that are ready."""
        ready = timeout is not None and timeout <= 0
        if ready and self._skipped < MAX_SKIPPED_POLLS:
            self._skipped += 1
            return []
        self._skipped = 0
        return super().select(timeout)


def make_loop():
    """Return an event loop that polls for I/O once for several batches of callbacks."""
    return asyncio.SelectorEventLoop(PatientSelector())


def exempt_startup_objects():
    """Take what was made so far out of garbage collection.

    Modules and models live as long as the process. A full collection that visits
    them holds the loop for some 30 ms.
    """
    gc.collect()
    gc.freeze()


def read_boot_clock_s():
    """Return seconds since the start of the VM, its suspensions included.

    The loop's clock stands still in a suspension, so a gap between the two shows one.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
