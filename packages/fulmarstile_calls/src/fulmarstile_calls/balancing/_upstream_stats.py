"""Load, latency and errors of one upstream, as observed by this daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from fulmarstile_calls.balancing.balancer import CallSample
    from fulmarstile_calls.request import UpstreamEndpoint

ERROR_PENALTY: Final = 4.0
"""Weight of the error rate, and factor of a recent refusal, in an upstream's expected wait."""

MIN_LATENCY_S: Final = 0.0001
"""Lower bound of latencies, in seconds."""

QUEUEING_FACTOR: Final = 1.6
"""Ratio of the latency to its baseline above which requests are assumed to be queueing."""

_BASELINE_RISE: Final = 0.002
_ERROR_GAIN: Final = 0.1
_MIN_SAMPLE_WEIGHT: Final = 0.05


class UpstreamStats:
    """Requests in flight, latency, errors and ejections of one upstream."""

    __slots__ = (
        "baseline_latency_s",
        "ejected_until",
        "ejections",
        "endpoint",
        "error_rate",
        "failures",
        "full_until",
        "in_flight",
        "latency_s",
        "sampled_at",
        "slow_start_from",
    )

    def __init__(self, endpoint: UpstreamEndpoint, now: float) -> None:
        self.endpoint = endpoint
        self.in_flight = 0
        self.latency_s = 0.0
        """EWMA of the successful calls, in seconds; 0 before the first one."""
        self.baseline_latency_s = 0.0
        """Lowest recent value of `latency_s`, taken as the latency without queueing, in seconds."""
        self.sampled_at = now
        self.error_rate = 0.0
        self.failures = 0
        """Consecutive failures."""
        self.ejected_until = float("-inf")
        self.ejections = 0
        """Ejections since the error rate was last low."""
        self.slow_start_from = now
        """Monotonic time at which the slow start begins, in seconds."""
        self.full_until = float("-inf")
        """Monotonic time until which the upstream counts as full after a refusal, in seconds."""

    def has_capacity(self, now: float) -> bool:
        """Returns whether the upstream is not known to be at capacity."""
        return self.in_flight < self.endpoint.slots and now >= self.full_until

    def is_queueing(self) -> bool:
        """Returns whether the latency suggests that requests are queueing at the upstream."""
        return self.latency_s > QUEUEING_FACTOR * self.baseline_latency_s

    def is_ejected(self, now: float) -> bool:
        """Returns whether the upstream is ejected."""
        return now < self.ejected_until

    def expected_latency(self, now: float, mean_latency_s: float, half_life_s: float) -> float:
        """Returns the expected latency; an old measurement decays towards the mean of the service.

        Args:
            now: Monotonic time in seconds.
            mean_latency_s: Mean latency of the upstreams of the service.
            half_life_s: Age at which a measurement counts half, in seconds.
        """
        if self.latency_s == 0.0:
            return max(mean_latency_s, MIN_LATENCY_S)
        age_s = max(0.0, now - self.sampled_at)
        # Weight of the measurement: 1 if it is new, 0.5 at the half-life, towards 0 with age.
        confidence = half_life_s / (half_life_s + age_s)
        return max(MIN_LATENCY_S, mean_latency_s + (self.latency_s - mean_latency_s) * confidence)

    def record_success(self, sample: CallSample, now: float, half_life_s: float) -> None:
        """Records a call that the upstream answered."""
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
        raised_s = self.baseline_latency_s + _BASELINE_RISE * (
            self.latency_s - self.baseline_latency_s
        )
        has_baseline = self.baseline_latency_s > 0.0
        self.baseline_latency_s = min(self.latency_s, raised_s) if has_baseline else self.latency_s
        self.sampled_at = now

    def record_failure(self) -> None:
        """Records a failed call; its latency is ignored because it says nothing about the speed."""
        self.failures += 1
        self.error_rate += _ERROR_GAIN * (1.0 - self.error_rate)
