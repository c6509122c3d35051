"""Clock that includes the time for which the VM was suspended."""

from __future__ import annotations

import time


def read_boot_time_s() -> float:
    """Returns the time since boot in seconds, including suspensions of the VM.

    The monotonic clock stops while the VM is suspended, so knowledge whose age it measured would
    look newer than it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
