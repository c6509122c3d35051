"""Counts the evidence of a roll-out beside an upstream."""

from __future__ import annotations

from dataclasses import dataclass, field

from fulmarstile_services.rollouts.histogram import BUCKET_COUNT, find_bucket
from fulmarstile_wire.rollouts import RouteEvidence, UpstreamEvidence


@dataclass(slots=True)
class _RouteCounter:
    """Counts of one route."""

    completed: int = 0
    failed: int = 0
    service_times: list[int] = field(default_factory=lambda: [0] * BUCKET_COUNT)

    def add(self, service_s: float) -> None:
        self.completed += 1
        self.service_times[find_bucket(service_s)] += 1

    def export(self, route: str) -> RouteEvidence:
        length = BUCKET_COUNT
        while length and not self.service_times[length - 1]:
            length -= 1
        times = tuple(self.service_times[:length])
        return RouteEvidence(route, self.completed, self.failed, times)


class EvidenceCounter:
    """Counts what one upstream has run since the daemon beside it saw the order.

    A daemon makes a new counter for each order and for each start of the upstream. It counts
    neither refusals nor hops that never reached the upstream.

    Args:
        daemon: Name of the daemon.
        incarnation: Incarnation of the daemon.
        upstream_id: The upstream.
        upstream_born_ms: Start of the upstream.
        version: Version of the upstream.
    """

    def __init__(
        self, daemon: str, incarnation: int, upstream_id: str, upstream_born_ms: int, version: str
    ) -> None:
        self._daemon = daemon
        self._incarnation = incarnation
        self._upstream_id = upstream_id
        self._upstream_born_ms = upstream_born_ms
        self._version = version
        self._routes: dict[str, _RouteCounter] = {}

    def on_completed(self, route: str, service_s: float) -> None:
        """Records a response that is no failure.

        Args:
            route: Route of the request.
            service_s: Time from sending the request to the response, in seconds.
        """
        self._counter(route).add(service_s)

    def on_failed(self, route: str, service_s: float) -> None:
        """Records a failure response, or one that broke off or was invalid.

        Args:
            route: Route of the request.
            service_s: Time from sending the request to the failure, in seconds.
        """
        counter = self._counter(route)
        counter.add(service_s)
        counter.failed += 1

    def on_cancelled(self, route: str, service_s: float) -> None:
        """Records a request that was cancelled while it ran.

        Args:
            route: Route of the request.
            service_s: Time that it had run, in seconds, which its service time exceeds.
        """
        self._counter(route).add(service_s)

    def export(self, age_s: float, running: int, queued: int) -> UpstreamEvidence:
        """Returns all counts.

        Args:
            age_s: Age of the order, in seconds.
            running: Requests that the upstream runs now.
            queued: Requests that wait for one of its slots.
        """
        routes = tuple(counter.export(route) for route, counter in sorted(self._routes.items()))
        return UpstreamEvidence(
            daemon=self._daemon,
            incarnation=self._incarnation,
            upstream_id=self._upstream_id,
            upstream_born_ms=self._upstream_born_ms,
            version=self._version,
            age_ms=round(age_s * 1000),
            running=running,
            queued=queued,
            routes=routes,
        )

    def _counter(self, route: str) -> _RouteCounter:
        counter = self._routes.get(route)
        if counter is None:
            counter = self._routes[route] = _RouteCounter()
        return counter
