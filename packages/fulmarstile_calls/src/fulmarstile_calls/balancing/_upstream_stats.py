"""What this daemon has observed of one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from fulmarstile_calls.balancing.balancer import CallSample
    from fulmarstile_calls.request import UpstreamEndpoint

ERROR_PENALTY: Final = 4.0
"""By how much an upstream that always fails looks busier than it is."""

MIN_LATENCY_S: Final = 0.0001
"""Shortest latency that is told apart, in seconds."""

SLOWED_FACTOR: Final = 1.6
"""Ratio of the latency to its usual floor above which requests are queueing."""

_FLOOR_RISE: Final = 0.002
_ERROR_GAIN: Final = 0.1
_MIN_SAMPLE_WEIGHT: Final = 0.05


class Observation:
    """Requests in flight, latency and errors of one upstream."""

    __slots__ = (
        "ejected_until",
        "ejections",
        "endpoint",
        "error_rate",
        "failures",
        "floor_s",
        "full_until",
        "in_flight",
        "latency_s",
        "ramp_from",
        "sampled_at",
    )

    def __init__(self, endpoint: UpstreamEndpoint, now: float) -> None:
        self.endpoint = endpoint
        self.in_flight = 0
        self.latency_s = 0.0
        """Moving average of the successful calls, in seconds; 0 before the first one."""
        self.floor_s = 0.0
        """Lowest recent value of `latency_s`, in seconds."""
        self.sampled_at = now
        self.error_rate = 0.0
        self.failures = 0
        """Failures in a row."""
        self.ejected_until = float("-inf")
        self.ejections = 0
        """Ejections since the upstream last worked well."""
        self.ramp_from = now
        """Start of the slow start, in seconds."""
        self.full_until = float("-inf")

    def has_room(self, now: float) -> bool:
        """Returns whether the upstream is not known to be at capacity."""
        return self.in_flight < self.endpoint.slots and now >= self.full_until

    def is_slowed(self) -> bool:
        """Returns whether requests take so long that some of them must be queueing."""
        return self.latency_s > SLOWED_FACTOR * self.floor_s

    def is_ejected(self, now: float) -> bool:
        """Returns whether the upstream is set aside."""
        return now < self.ejected_until

    def expected_latency(self, now: float, usual_s: float, half_life_s: float) -> float:
        """Returns the latency to expect; an old observation fades towards the usual one.

        Args:
            now: Monotonic time in seconds.
            usual_s: Mean latency of the upstreams of the service.
            half_life_s: Age at which an observation counts half.
        """
        if self.latency_s == 0.0:
            return max(usual_s, MIN_LATENCY_S)
        age_s = max(0.0, now - self.sampled_at)
        trust = half_life_s / (half_life_s + age_s)
        return max(MIN_LATENCY_S, usual_s + (self.latency_s - usual_s) * trust)

    def record_success(self, sample: CallSample, now: float, half_life_s: float) -> None:
        """Takes in a call that the upstream answered."""
        self.failures = 0
        self.error_rate -= _ERROR_GAIN * self.error_rate
        if self.error_rate < _ERROR_GAIN:
            self.ejections = 0
        if self.latency_s == 0.0:
            self.latency_s = max(sample.latency_s, MIN_LATENCY_S)
        else:
            gap_s = max(0.0, now - self.sampled_at)
            weight = max(_MIN_SAMPLE_WEIGHT, gap_s / (gap_s + half_life_s))
            self.latency_s += weight * (sample.latency_s - self.latency_s)
        rising_s = self.floor_s + _FLOOR_RISE * (self.latency_s - self.floor_s)
        known = self.floor_s > 0.0
        self.floor_s = min(self.latency_s, rising_s) if known else self.latency_s
        self.sampled_at = now

    def record_failure(self) -> None:
        """Takes in a call that failed; its latency says nothing."""
        self.failures += 1
        self.error_rate += _ERROR_GAIN * (1.0 - self.error_rate)
