"""How late this process itself is, so that nobody else is blamed for it."""

from __future__ import annotations

from typing import Final

_BLAMED_SHARE: Final = 0.2
"""Part of a time that this process may have been late for others to be blamed for the rest."""


class OwnLateness:
    """Sums up how much later than planned this process woke.

    A process that gets no processor time finds deadlines passed that others have kept.
    """

    def __init__(self) -> None:
        self._late_s = 0.0
        self._planned_at = 0.0

    def plan(self, at: float) -> None:
        """Notes when this process is to wake next.

        Args:
            at: The time in seconds.
        """
        self._planned_at = at

    def on_wake(self, now: float) -> None:
        """Takes in that this process woke as planned or later.

        Args:
            now: Current time in seconds.
        """
        self._late_s = self.measure(now)
        self._planned_at = now

    def measure(self, now: float) -> float:
        """Returns how late this process has been in all, in seconds.

        Args:
            now: Current time in seconds.
        """
        return self._late_s + max(0.0, now - self._planned_at)

    def explains(self, late_before_s: float, elapsed_s: float, now: float) -> bool:
        """Tells whether a time may have passed because this process was late.

        Args:
            late_before_s: What `measure` returned when the time began.
            elapsed_s: The time in seconds.
            now: Current time in seconds.

        Returns:
            Whether this process was late for a part of it that matters.
        """
        return self.measure(now) - late_before_s > elapsed_s * _BLAMED_SHARE
