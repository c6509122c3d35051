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

    def observe_cancelled(self, elapsed_s: float) -> None:
        """Takes in that a request was cancelled after running for a time."""
        if elapsed_s > self.mean_s:
            self.observe(elapsed_s)
