"""Interface of the load balancers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_calls.request import UpstreamEndpoint
    from fulmarstile_config.document import Pool

NO_EXCLUSIONS: frozenset[str] = frozenset()
"""Excludes no upstream from a choice."""


@dataclass(frozen=True, slots=True)
class CallSample:
    """How one call to an upstream ended."""

    latency_s: float
    """Time from the start of the call to its end, in seconds."""
    failed: bool = False
    """Whether the upstream or the network path to it failed."""
    refused: bool = False
    """Whether the upstream's daemon refused the call without running it, for lack of capacity."""


class Balancer(Protocol):
    """Chooses an upstream for each call and learns from the results of calls."""

    def replace_endpoints(self, endpoints: Iterable[UpstreamEndpoint], now: float) -> None:
        """Replaces the set of known upstreams; statistics of those that remain are kept.

        Args:
            endpoints: All upstreams that calls may be sent to, of any service.
            now: Monotonic time in seconds.
        """
        ...

    def choose(
        self, pool: Pool, now: float, exclude: frozenset[str] = NO_EXCLUSIONS
    ) -> UpstreamEndpoint | None:
        """Chooses an upstream of a pool.

        Args:
            pool: Pool of the call's route.
            now: Monotonic time in seconds.
            exclude: `daemon_id`s that have already been tried for the call.

        Returns:
            The upstream, or None if the pool has none that is not excluded.
        """
        ...

    def on_started(self, daemon_id: str, now: float) -> None:
        """Records that a call was sent to the local upstream of a daemon."""
        ...

    def on_finished(self, daemon_id: str, sample: CallSample, now: float) -> None:
        """Records the result of a call that `on_started` reported."""
        ...
