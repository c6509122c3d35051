"""Scheduling delay of this process, so that it is not mistaken for a fault of others."""

from __future__ import annotations

from typing import Final

_SIGNIFICANT_SHARE: Final = 0.2
"""Share of an interval above which this process's own delay may explain a missed deadline."""


class SchedulingDelay:
    """Sums up how much later than planned this process woke.

    A process that gets no processor time finds deadlines passed that others have met.
    """

    def __init__(self) -> None:
        self._delay_s = 0.0
        self._planned_at = 0.0

    def plan_wake(self, at: float) -> None:
        """Records when this process is to wake next.

        Args:
            at: Monotonic time in seconds.
        """
        self._planned_at = at

    def on_wake(self, now: float) -> None:
        """Adds the delay of a wake-up, if it came later than planned.

        Args:
            now: Monotonic time in seconds.
        """
        self._delay_s = self.measure(now)
        self._planned_at = now

    def measure(self, now: float) -> float:
        """Returns the total delay so far, in seconds, including that of an overdue wake-up.

        Args:
            now: Monotonic time in seconds.
        """
        return self._delay_s + max(0.0, now - self._planned_at)

    def was_significant_during(self, delay_before_s: float, elapsed_s: float, now: float) -> bool:
        """Returns whether the delay of this process took a significant share of an interval.

        Args:
            delay_before_s: Result of `measure` at the start of the interval.
            elapsed_s: Length of the interval, in seconds.
            now: Monotonic time at the end of the interval, in seconds.
        """
        return self.measure(now) - delay_before_s > elapsed_s * _SIGNIFICANT_SHARE
