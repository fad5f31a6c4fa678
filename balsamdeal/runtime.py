"""Settings of the interpreter that both daemons use."""

import gc
import time


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
