"""Exponential backoff after failures of the log."""

from __future__ import annotations

_MAX_DOUBLINGS = 16


class Backoff:
    """Delay that doubles on each consecutive failure.

    Args:
        min_s: First delay, in seconds.
        max_s: Longest delay, in seconds.
    """

    def __init__(self, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._failures = 0
        self._blocked_until = 0.0

    @property
    def failures(self) -> int:
        """Number of consecutive failures."""
        return self._failures

    @property
    def blocked_until(self) -> float:
        """Monotonic time at which the current delay ends, in seconds; 0 without one."""
        return self._blocked_until

    def on_failure(self, now: float) -> None:
        """Records a failure and starts the next delay."""
        doublings = min(self._failures, _MAX_DOUBLINGS)
        self._failures += 1
        self._blocked_until = now + min(self._max_s, self._min_s * 2**doublings)

    def on_success(self) -> None:
        """Ends the current delay and resets the next one."""
        self._failures = 0
        self._blocked_until = 0.0

    def is_blocked(self, now: float) -> bool:
        """Returns whether the current delay has not passed yet."""
        return now < self._blocked_until
