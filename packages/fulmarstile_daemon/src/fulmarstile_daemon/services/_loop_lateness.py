"""Measures how late the event loop runs its tasks."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services.events import LoopLate

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.metrics import ServiceMetrics

_MIN_LOGGED_S: Final = 0.1
"""Lateness from which it is logged, in seconds."""


@dataclass(frozen=True, slots=True, eq=False)
class _Sleep:
    """A wait whose end shows whether the loop is late."""

    began_at: float
    """Time of its begin, in seconds."""
    ends_at: float
    """Time at which it should end, in seconds."""
    processor_s: float
    """Processor time that the thread had used at its begin, in seconds."""


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
        self._sleeps: dict[_Sleep, None] = {}
        self._signs_of_life: list[Callable[[], float]] = []

    @property
    def halted_s(self) -> float:
        """Longest time for which the process may have been halted until now, in seconds.

        A halt shows when a wait should have ended, and may have begun with the wait, or after
        another sign of life.
        """
        if not self._sleeps:
            return 0.0
        first = min(self._sleeps, key=lambda sleep: sleep.ends_at)
        now = trio.current_time()
        used_s = time.thread_time() - first.processor_s
        if now - first.ends_at - used_s < _MIN_LOGGED_S:
            return 0.0
        ran_at = max(sleep.began_at for sleep in self._sleeps)
        return now - max([ran_at, *(read() for read in self._signs_of_life)])

    def add_sign_of_life(self, read: Callable[[], float]) -> None:
        """Adds a time at which the loop ran, read only when the loop is late.

        Args:
            read: Returns the last such time by the loop's clock, in seconds.
        """
        self._signs_of_life.append(read)

    def add_gauges(self, metrics: ServiceMetrics) -> None:
        """Adds the gauges of the event loop.

        Args:
            metrics: Metrics of the daemon.
        """
        add = metrics.add_gauge
        add("loop_longest_late_seconds", lambda: self.longest_s)
        add("loop_times_late", lambda: self.times_late)

    async def sleep(self, duration_s: float) -> None:
        """Sleeps, and measures by how much it takes longer.

        Args:
            duration_s: Duration in seconds.
        """
        now = trio.current_time()
        sleep = _Sleep(now, now + duration_s, time.thread_time())
        self._sleeps[sleep] = None
        try:
            await trio.sleep(duration_s)
        finally:
            del self._sleeps[sleep]
        late_s = trio.current_time() - sleep.ends_at
        self.longest_s = max(self.longest_s, late_s)
        if late_s >= _MIN_LOGGED_S:
            self.times_late += 1
            used_s = time.thread_time() - sleep.processor_s
            self._log.write(
                LoopLate(late_ms=round(late_s * 1000, 1), processor_ms=round(used_s * 1000, 1))
            )
