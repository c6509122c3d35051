"""Event loop in virtual time for seeded simulations of the cores."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualTime:
    """Runs callbacks in the order of their virtual times."""

    def __init__(self) -> None:
        self.now = 0.0
        """Virtual time in seconds."""
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Calls back at a virtual time, or at once if it has passed."""
        self._sequence += 1
        heapq.heappush(self._events, (max(at, self.now), self._sequence, callback))

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Calls back after a delay in seconds."""
        self.call_at(self.now + delay_s, callback)

    def run_until(self, end: float) -> None:
        """Runs all callbacks up to a virtual time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end
