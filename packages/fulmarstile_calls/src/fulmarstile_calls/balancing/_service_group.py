"""Upstreams of one service and the weights with which they are drawn."""

from __future__ import annotations

from bisect import bisect_right
from itertools import accumulate
from typing import TYPE_CHECKING, Final

from fulmarstile_calls.balancing._observation import MIN_LATENCY_S

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from fulmarstile_calls.balancing._observation import Observation

REFRESH_S: Final = 0.25
"""Time after which the weights are computed again, in seconds."""

MIN_RAMP: Final = 0.05
"""Share of its full weight that a new upstream starts with."""

MIN_SPEED: Final = 0.1
"""Lowest speed relative to the usual one that reduces the weight further."""

MAX_SPEED: Final = 4.0
"""Highest speed relative to the usual one that raises the weight further."""


class WeightedSet:
    """Upstreams drawn at random by weight.

    Args:
        members: The upstreams.
    """

    __slots__ = ("_cumulative", "_total", "members")

    def __init__(self, members: Sequence[Observation]) -> None:
        self.members = tuple(members)
        self._cumulative: list[float] = []
        self._total = 0.0

    def replace_weights(self, weights: dict[str, float]) -> None:
        """Replaces the weights, by `daemon_id`."""
        self._cumulative = list(
            accumulate(weights[member.endpoint.daemon_id] for member in self.members)
        )
        self._total = self._cumulative[-1] if self._cumulative else 0.0

    def draw(self, random: random.Random) -> Observation | None:
        """Draws an upstream; returns None if all weights are 0."""
        if self._total <= 0.0:
            return None
        index = bisect_right(self._cumulative, random.random() * self._total)
        return self.members[min(index, len(self.members) - 1)]


class Group:
    """Upstreams of one service as one slow-start time sees them.

    Args:
        members: The upstreams.
        availability_zone: Availability zone of this daemon.
        slow_start_s: Time over which a new upstream's weight grows, in seconds.
    """

    __slots__ = ("_refresh_at", "_slow_start_s", "everywhere", "nearby", "usual_s")

    def __init__(
        self, members: Sequence[Observation], availability_zone: str, slow_start_s: float
    ) -> None:
        self.everywhere = WeightedSet(members)
        near = [m for m in members if m.endpoint.availability_zone == availability_zone]
        self.nearby = WeightedSet(near)
        self.usual_s = 0.0
        """Mean latency of the upstreams, in seconds."""
        self._slow_start_s = slow_start_s
        self._refresh_at = float("-inf")

    def refresh(self, now: float, half_life_s: float) -> None:
        """Computes the weights again if they are due."""
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_S
        members = self.everywhere.members
        known = [member.latency_s for member in members if member.latency_s > 0.0]
        self.usual_s = sum(known) / len(known) if known else MIN_LATENCY_S
        weights = {m.endpoint.daemon_id: self._weigh(m, now, half_life_s) for m in members}
        self.everywhere.replace_weights(weights)
        self.nearby.replace_weights(weights)

    def expire_weights(self) -> None:
        """Makes the next refresh due at once."""
        self._refresh_at = float("-inf")

    def ramp(self, member: Observation, now: float) -> float:
        """Returns the share of its full weight that an upstream has."""
        if self._slow_start_s <= 0.0:
            return 1.0
        return min(1.0, max(MIN_RAMP, (now - member.ramp_from) / self._slow_start_s))

    def _weigh(self, member: Observation, now: float, half_life_s: float) -> float:
        if member.is_ejected(now):
            return 0.0
        speed = self.usual_s / member.expected_latency(now, self.usual_s, half_life_s)
        speed = min(MAX_SPEED, max(MIN_SPEED, speed))
        return max(1, member.endpoint.slots) * speed * self.ramp(member, now)
