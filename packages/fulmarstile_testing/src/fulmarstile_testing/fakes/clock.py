"""Virtual time."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualClock:
    """Runs callbacks in order of due time, and equal ones in the order they were scheduled."""

    def __init__(self) -> None:
        self._now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self._now

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Schedules a callback for a time, or for the current time if that has passed.

        Args:
            at: Time in seconds.
            callback: Function to run.
        """
        self._sequence += 1
        heapq.heappush(self._queue, (max(at, self._now), self._sequence, callback))

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay.

        Args:
            delay_s: Delay in seconds.
            callback: Function to run.
        """
        self.call_at(self._now + delay_s, callback)

    def run_until(self, end: float) -> None:
        """Runs all callbacks due up to a time, and advances the clock to it.

        Args:
            end: Time in seconds.
        """
        while self._queue and self._queue[0][0] <= end:
            at, _, callback = heapq.heappop(self._queue)
            self._now = at
            callback()
        self._now = end
