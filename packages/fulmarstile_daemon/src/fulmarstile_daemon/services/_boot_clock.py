"""Clock for the age of knowledge."""

from __future__ import annotations

import time


def read_boot_clock() -> float:
    """Returns the time since the boot of the VM in seconds, including suspensions.

    The monotonic clock stands still while the VM is suspended, and the wall clock may jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
