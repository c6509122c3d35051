"""Interface of the balancers: which upstream gets a call."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_calls.request import UpstreamEndpoint
    from fulmarstile_config.document import Pool

NO_EXCLUSIONS: frozenset[str] = frozenset()
"""No upstream is excluded from a choice."""


@dataclass(frozen=True, slots=True)
class CallSample:
    """How one call to an upstream ended."""

    latency_s: float
    """Time from the start of the call to its end, in seconds."""
    failed: bool = False
    """Whether the upstream or the way to it failed."""
    refused: bool = False
    """Whether the daemon beside the upstream refused the call as not run, for lack of room."""


class Balancer(Protocol):
    """Chooses an upstream for each call and learns from how calls end."""

    def replace_endpoints(self, endpoints: Iterable[UpstreamEndpoint], now: float) -> None:
        """Replaces the set of known upstreams; observations of those that stay are kept.

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
            exclude: `daemon_id`s that the call has already been tried on.

        Returns:
            The upstream, or None if the pool has none that is not excluded.
        """
        ...

    def on_started(self, daemon_id: str, now: float) -> None:
        """Notes that a call was sent to the upstream beside a daemon."""
        ...

    def on_finished(self, daemon_id: str, sample: CallSample, now: float) -> None:
        """Notes how a call ended that `on_started` reported."""
        ...
