"""Upstreams of one service, drawn at random by weight."""

from __future__ import annotations

from bisect import bisect_right
from itertools import accumulate
from typing import TYPE_CHECKING, Final

from fulmarstile_calls.balancing._upstream_stats import MIN_LATENCY_S

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from fulmarstile_calls.balancing._upstream_stats import UpstreamStats

REFRESH_S: Final = 0.25
"""Time after which the weights are recomputed, in seconds."""

MIN_SLOW_START_SHARE: Final = 0.05
"""Share of its full weight that a new upstream starts with."""

MIN_SPEED: Final = 0.1
"""Lower bound of an upstream's speed relative to the mean, as it enters the weight."""

MAX_SPEED: Final = 4.0
"""Upper bound of an upstream's speed relative to the mean, as it enters the weight."""


class WeightedSet:
    """Upstreams drawn at random by weight.

    Args:
        members: The upstreams.
    """

    __slots__ = ("_cumulative", "_total", "members")

    def __init__(self, members: Sequence[UpstreamStats]) -> None:
        self.members = tuple(members)
        self._cumulative: list[float] = []
        self._total = 0.0

    def replace_weights(self, weights: dict[str, float]) -> None:
        """Replaces the weights, by `daemon_id`."""
        self._cumulative = list(
            accumulate(weights[member.endpoint.daemon_id] for member in self.members)
        )
        self._total = self._cumulative[-1] if self._cumulative else 0.0

    def draw(self, random: random.Random) -> UpstreamStats | None:
        """Draws an upstream; returns None if all weights are 0."""
        if self._total <= 0.0:
            return None
        index = bisect_right(self._cumulative, random.random() * self._total)
        return self.members[min(index, len(self.members) - 1)]


class ServiceGroup:
    """Upstreams of one service, weighted for the pools that have the same slow-start duration.

    Args:
        members: The upstreams.
        availability_zone: Availability zone of this daemon.
        slow_start_s: Time over which a new upstream's weight grows, in seconds.
    """

    __slots__ = ("_refresh_at", "_slow_start_s", "full_set", "local_set", "mean_latency_s")

    def __init__(
        self, members: Sequence[UpstreamStats], availability_zone: str, slow_start_s: float
    ) -> None:
        self.full_set = WeightedSet(members)
        """All upstreams of the service."""
        local = [m for m in members if m.endpoint.availability_zone == availability_zone]
        self.local_set = WeightedSet(local)
        """Upstreams in this daemon's availability zone."""
        self.mean_latency_s = 0.0
        """Mean latency of the upstreams, in seconds."""
        self._slow_start_s = slow_start_s
        self._refresh_at = float("-inf")

    def refresh(self, now: float, half_life_s: float) -> None:
        """Recomputes the weights if they are due."""
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_S
        members = self.full_set.members
        latencies_s = [member.latency_s for member in members if member.latency_s > 0.0]
        self.mean_latency_s = sum(latencies_s) / len(latencies_s) if latencies_s else MIN_LATENCY_S
        weights = {m.endpoint.daemon_id: self._compute_weight(m, now, half_life_s) for m in members}
        self.full_set.replace_weights(weights)
        self.local_set.replace_weights(weights)

    def expire_weights(self) -> None:
        """Makes the next refresh due at once."""
        self._refresh_at = float("-inf")

    def slow_start_share(self, member: UpstreamStats, now: float) -> float:
        """Returns the share of its full weight that an upstream has reached in its slow start."""
        if self._slow_start_s <= 0.0:
            return 1.0
        return min(
            1.0, max(MIN_SLOW_START_SHARE, (now - member.slow_start_from) / self._slow_start_s)
        )

    def _compute_weight(self, member: UpstreamStats, now: float, half_life_s: float) -> float:
        if member.is_ejected(now):
            return 0.0
        speed = self.mean_latency_s / member.expected_latency(now, self.mean_latency_s, half_life_s)
        speed = min(MAX_SPEED, max(MIN_SPEED, speed))
        return max(1, member.endpoint.slots) * speed * self.slow_start_share(member, now)
