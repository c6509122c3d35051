"""Simple balancers that the benchmarks compare with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_calls.balancing._endpoints import group_by_service
from fulmarstile_calls.balancing.balancer import NO_EXCLUSIONS

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from fulmarstile_calls.balancing.balancer import CallSample
    from fulmarstile_calls.request import UpstreamEndpoint
    from fulmarstile_config.document import Pool


class RandomBalancer:
    """Chooses uniformly at random.

    Args:
        random: Source of randomness.
    """

    def __init__(self, random: random.Random) -> None:
        self._random = random
        self._groups: dict[str, tuple[UpstreamEndpoint, ...]] = {}

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
        return self._random.choice(candidates)

    def on_started(self, daemon_id: str, now: float) -> None:
        """Ignores the call."""

    def on_finished(self, daemon_id: str, sample: CallSample, now: float) -> None:
        """Ignores the call."""


class RoundRobinBalancer:
    """Takes the upstreams of a service in turn."""

    def __init__(self) -> None:
        self._groups: dict[str, tuple[UpstreamEndpoint, ...]] = {}
        self._next: dict[str, int] = {}

    def replace_endpoints(self, endpoints: Iterable[UpstreamEndpoint], now: float) -> None:
        """See `Balancer.replace_endpoints`."""
        self._groups = group_by_service(endpoints)

    def choose(
        self, pool: Pool, now: float, exclude: frozenset[str] = NO_EXCLUSIONS
    ) -> UpstreamEndpoint | None:
        """See `Balancer.choose`."""
        group = self._groups.get(pool.service, ())
        start = self._next.get(pool.service, 0)
        for step in range(len(group)):
            endpoint = group[(start + step) % len(group)]
            if endpoint.daemon_id not in exclude:
                self._next[pool.service] = start + step + 1
                return endpoint
        return None

    def on_started(self, daemon_id: str, now: float) -> None:
        """Ignores the call."""

    def on_finished(self, daemon_id: str, sample: CallSample, now: float) -> None:
        """Ignores the call."""
