"""Estimates of how long the upstream takes for a request."""

from __future__ import annotations

from typing import Final

_MEAN_GAIN: Final = 0.05
_FAST_FALL_GAIN: Final = 0.2
_FAST_RISE_GAIN: Final = 0.02


class ServiceTime:
    """Moving estimates of the service time."""

    __slots__ = ("_deviation_s", "fast_s", "mean_s")

    def __init__(self) -> None:
        self.mean_s = 0.0
        """Mean of the recent requests, in seconds; 0 before the first one."""
        self.fast_s = 0.0
        """Time that most requests need at least, in seconds."""
        self._deviation_s = 0.0

    @property
    def slow_s(self) -> float:
        """Time within which most requests are finished, in seconds."""
        return self.mean_s + self._deviation_s

    def observe(self, elapsed_s: float) -> None:
        """Takes in the service time of a request that has ended."""
        if self.mean_s == 0.0:
            self.mean_s = self.fast_s = elapsed_s
            return
        deviation_s = abs(elapsed_s - self.mean_s)
        self._deviation_s += _MEAN_GAIN * (deviation_s - self._deviation_s)
        self.mean_s += _MEAN_GAIN * (elapsed_s - self.mean_s)
        gain = _FAST_FALL_GAIN if elapsed_s < self.fast_s else _FAST_RISE_GAIN
        self.fast_s += gain * (elapsed_s - self.fast_s)


class ServiceTimes:
    """Estimates for each class, and for all together.

    Requests of one class may take many times as long as those of another one. Whether one can
    still be answered in time follows from its own class, how soon a slot is free from all.

    Args:
        classes: Number of classes.
    """

    __slots__ = ("_classes", "all")

    def __init__(self, classes: int) -> None:
        self._classes = tuple(ServiceTime() for _ in range(classes))
        self.all = ServiceTime()
        """Estimate over all classes."""

    def of(self, priority: int) -> ServiceTime:
        """Returns the estimate of a class, that of all while none of its requests has ended.

        Args:
            priority: The class.

        Returns:
            The estimate.
        """
        own = self._classes[priority]
        return own if own.mean_s else self.all

    def observe(self, priority: int, elapsed_s: float) -> None:
        """Takes in the service time of a request of a class that has ended."""
        self._classes[priority].observe(elapsed_s)
        self.all.observe(elapsed_s)

    def observe_cancelled(self, priority: int, elapsed_s: float) -> None:
        """Takes in that a request of a class was cancelled after running for a time."""
        if elapsed_s > self.of(priority).mean_s:
            self.observe(priority, elapsed_s)
