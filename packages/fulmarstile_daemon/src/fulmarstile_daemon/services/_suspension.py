"""Notices that the VM was suspended."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from fulmarstile_daemon.services.events import Suspended

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._loop_lateness import LoopLateness
    from fulmarstile_daemon.services.event_log import EventLog

_POLL_S: Final = 0.5
_MIN_SUSPENDED_S: Final = 0.5
"""Shortest suspension that is noticed, in seconds."""


async def watch_suspension(
    lateness: LoopLateness, log: EventLog, on_suspended: Callable[[], None]
) -> None:
    """Watches for suspensions of the VM, until cancelled.

    Args:
        lateness: Measures how late the event loop is.
        log: Log of the daemon.
        on_suspended: Called when the VM runs again.
    """
    while True:
        offset_s = _read_suspended_s()
        await lateness.sleep(_POLL_S)
        for_s = _read_suspended_s() - offset_s
        if for_s >= _MIN_SUSPENDED_S:
            log.write(Suspended(for_s=round(for_s, 2)))
            on_suspended()


def _read_suspended_s() -> float:
    """Returns the total time that the VM has been suspended since boot, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
