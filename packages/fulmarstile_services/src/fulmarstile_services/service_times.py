"""Service times of an upstream, as the daemon beside it measures them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from fulmarstile_services.upstream_load import ReportedLoad

_GAIN: Final = 0.05
"""Weight of a new value in the EWMA of service times."""
SLOWDOWN_LIFETIME_S: Final = 0.6
"""Time after which a reported slowdown says nothing about the present one, in seconds."""


class ServiceTimes:
    """Mean service times, as they are when the upstream's VM isn't slowed down."""

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._mean_s_by_priority: dict[int, float] = {}
        self._slowdown = 0.0
        self._reported_at = -math.inf

    @property
    def mean_s(self) -> float:
        """Mean over requests of all priorities, in seconds; 0 if unknown."""
        return self._mean_s

    def class_mean_s(self, priority: int) -> float:
        """Returns the mean over requests of one priority.

        Args:
            priority: The priority.

        Returns:
            The mean in seconds; 0 if unknown.
        """
        return self._mean_s_by_priority.get(priority, 0.0)

    def slowdown(self, now: float) -> float:
        """Returns the factor by which the VM slows requests down.

        Args:
            now: Current time in seconds.

        Returns:
            The last reported factor, or 1 once that is too old; 0 if none was ever reported.
        """
        if self._slowdown and now - self._reported_at > SLOWDOWN_LIFETIME_S:
            return 1.0
        return self._slowdown

    def on_load(self, load: ReportedLoad, now: float) -> bool:
        """Records what the upstream reports about its VM.

        Args:
            load: Load that came with a response.
            now: Current time in seconds.

        Returns:
            Whether it reported a slowdown for the first time.
        """
        is_first = load.slowdown > 0.0 and self._slowdown == 0.0
        if load.slowdown:
            self._slowdown = load.slowdown
            self._reported_at = now
        return is_first

    def observe(self, priority: int, elapsed_s: float, now: float) -> None:
        """Records the service time of a request.

        Args:
            priority: Priority of the request.
            elapsed_s: Time for which it held its slot, in seconds.
            now: Current time in seconds.
        """
        usual_s = elapsed_s / (self.slowdown(now) or 1.0)
        self._mean_s = _update_mean(self._mean_s, usual_s)
        known_s = self._mean_s_by_priority.get(priority, 0.0)
        self._mean_s_by_priority[priority] = _update_mean(known_s, usual_s)


def _update_mean(mean_s: float, elapsed_s: float) -> float:
    """Updates an EWMA of times in seconds; 0 means that there is no value yet."""
    return mean_s + _GAIN * (elapsed_s - mean_s) if mean_s else elapsed_s
