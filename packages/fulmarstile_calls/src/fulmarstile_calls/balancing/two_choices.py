"""Balancer that compares two random upstreams by its own observations."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarstile_calls.balancing._endpoints import group_by_service
from fulmarstile_calls.balancing.balancer import NO_EXCLUSIONS

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from fulmarstile_calls.balancing.balancer import CallSample
    from fulmarstile_calls.request import UpstreamEndpoint
    from fulmarstile_config.document import Pool


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Settings of `TwoChoicesBalancer`."""

    latency_half_life_s: float = 5.0
    """Time after which an observation counts half, in seconds."""
    eject_after_failures: int = 5
    """Consecutive failures that set an upstream aside."""
    ejection_s: float = 5.0
    """Duration of the first ejection, in seconds; doubled on each repeat."""
    max_ejection_s: float = 60.0
    """Longest ejection, in seconds."""
    max_ejected_fraction: float = 0.5
    """Largest part of a pool that may be set aside at the same time."""
    refusal_hold_s: float = 0.25
    """Time for which an upstream that refused for lack of room counts as full, in seconds."""


class TwoChoicesBalancer:
    """Compares two random upstreams and takes the one with the shorter expected wait.

    Args:
        settings: Settings.
        availability_zone: Availability zone of this daemon.
        random: Source of randomness.
    """

    def __init__(
        self, settings: BalancerSettings, availability_zone: str, random: random.Random
    ) -> None:
        self._settings = settings
        self._availability_zone = availability_zone
        self._random = random
        self._groups: dict[str, tuple[UpstreamEndpoint, ...]] = {}
        self._in_flight: dict[str, int] = {}

    def replace_endpoints(self, endpoints: Iterable[UpstreamEndpoint], now: float) -> None:
        """See `Balancer.replace_endpoints`."""
        self._groups = group_by_service(endpoints)

    def choose(
        self, pool: Pool, now: float, exclude: frozenset[str] = NO_EXCLUSIONS
    ) -> UpstreamEndpoint | None:
        """See `Balancer.choose`."""
        group = self._groups.get(pool.service, ())
        candidates = [endpoint for endpoint in group if endpoint.daemon_id not in exclude]
        if not candidates:
            return None
        first = self._random.choice(candidates)
        second = self._random.choice(candidates)
        in_flight = self._in_flight.get
        if in_flight(second.daemon_id, 0) < in_flight(first.daemon_id, 0):
            return second
        return first

    def on_started(self, daemon_id: str, now: float) -> None:
        """See `Balancer.on_started`."""
        self._in_flight[daemon_id] = self._in_flight.get(daemon_id, 0) + 1

    def on_finished(self, daemon_id: str, sample: CallSample, now: float) -> None:
        """See `Balancer.on_finished`."""
        self._in_flight[daemon_id] = max(0, self._in_flight.get(daemon_id, 0) - 1)
