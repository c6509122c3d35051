"""Measures how late the event loop runs its tasks."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services.events import LoopLate

if TYPE_CHECKING:
    from fulmarstile_daemon.services.event_log import EventLog

_MIN_LOGGED_S: Final = 0.1
"""Lateness from which it is logged, in seconds."""


class LoopLateness:
    """Compares when periodic tasks wake up with when they should.

    A loop is late when one of its tasks computes or blocks for long, or when the VM gives the
    process no processor time. Whatever arrives meanwhile is not read.

    Args:
        log: Log of the daemon.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self.longest_s = 0.0
        """Largest lateness since the start, in seconds."""
        self.times_late = 0
        """Number of times that the loop was late enough to be logged."""
        self._expected: dict[object, float] = {}

    @property
    def held_s(self) -> float:
        """Time for which the loop has been late until now, in seconds; 0 if it is not."""
        late_s = trio.current_time() - min(self._expected.values(), default=math.inf)
        return late_s if late_s >= _MIN_LOGGED_S else 0.0

    async def sleep(self, duration_s: float) -> None:
        """Sleeps, and measures by how much it takes longer.

        Args:
            duration_s: Duration in seconds.
        """
        sleep = object()
        expected_at = self._expected[sleep] = trio.current_time() + duration_s
        try:
            await trio.sleep(duration_s)
        finally:
            del self._expected[sleep]
        late_s = trio.current_time() - expected_at
        self.longest_s = max(self.longest_s, late_s)
        if late_s >= _MIN_LOGGED_S:
            self.times_late += 1
            self._log.write(LoopLate(late_ms=round(late_s * 1000, 1)))
