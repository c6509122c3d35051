"""Estimates of the time that the upstream takes for a request."""

from __future__ import annotations

from typing import Final

_MEAN_GAIN: Final = 0.05
_FAST_ESTIMATE_FALL_GAIN: Final = 0.2
"""EWMA gain of `fast_s` after a request that took less time than it."""
_FAST_ESTIMATE_RISE_GAIN: Final = 0.02
"""EWMA gain of `fast_s` after a slower request; smaller, so that `fast_s` stays a low estimate."""


class ServiceTime:
    """Moving estimates of the service time, by EWMA."""

    __slots__ = ("_deviation_s", "fast_s", "mean_s")

    def __init__(self) -> None:
        self.mean_s = 0.0
        """Mean of the recent requests, in seconds; 0 before the first one."""
        self.fast_s = 0.0
        """Estimated service time that most requests exceed, in seconds."""
        self._deviation_s = 0.0

    @property
    def slow_s(self) -> float:
        """Time within which most requests are finished, in seconds."""
        return self.mean_s + self._deviation_s

    def observe(self, elapsed_s: float) -> None:
        """Adds the service time of a request that has ended."""
        if self.mean_s == 0.0:
            self.mean_s = self.fast_s = elapsed_s
            return
        deviation_s = abs(elapsed_s - self.mean_s)
        self._deviation_s += _MEAN_GAIN * (deviation_s - self._deviation_s)
        self.mean_s += _MEAN_GAIN * (elapsed_s - self.mean_s)
        gain = _FAST_ESTIMATE_FALL_GAIN if elapsed_s < self.fast_s else _FAST_ESTIMATE_RISE_GAIN
        self.fast_s += gain * (elapsed_s - self.fast_s)


class ServiceTimes:
    """Estimates for each priority class, and for all of them together.

    Requests of one class may take many times as long as those of another one. So whether a
    request can meet its deadline is estimated from its own class, and how soon a slot becomes
    free from all classes.

    Args:
        classes: Number of classes.
    """

    __slots__ = ("_classes", "all")

    def __init__(self, classes: int) -> None:
        self._classes = tuple(ServiceTime() for _ in range(classes))
        self.all = ServiceTime()
        """Estimate over all classes."""

    def for_class(self, priority: int) -> ServiceTime:
        """Returns the estimate of a class, or that of all classes until one of its requests ends.

        Args:
            priority: The class.

        Returns:
            The estimate.
        """
        estimate = self._classes[priority]
        return estimate if estimate.mean_s else self.all

    def observe(self, priority: int, elapsed_s: float) -> None:
        """Adds the service time of a request of a class that has ended."""
        self._classes[priority].observe(elapsed_s)
        self.all.observe(elapsed_s)

    def observe_cancelled(self, priority: int, elapsed_s: float) -> None:
        """Adds the running time of a cancelled request if it exceeds the mean of its class."""
        if elapsed_s > self.for_class(priority).mean_s:
            self.observe(priority, elapsed_s)
