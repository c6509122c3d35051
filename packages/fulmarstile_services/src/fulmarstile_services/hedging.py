"""Delay after which an idempotent request is hedged, that is, also sent to a second upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from fulmarstile_services.document import ServiceRoute

_MIN_EWMA_GAIN: Final = 0.05
_LATE_DEVIATIONS: Final = 4.0
"""Number of mean deviations above the mean latency from which an answer counts as late."""
_MIN_DELAY_S: Final = 0.03
_MIN_SAMPLES: Final = 10
_MAX_ROUTES: Final = 4096


class _Latency:
    __slots__ = ("deviation_s", "mean_s", "samples")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.deviation_s = 0.0
        self.samples = 0

    def observe(self, latency_s: float) -> None:
        self.samples += 1
        if self.samples == 1:
            self.mean_s = latency_s
            self.deviation_s = latency_s / 2
            return
        gain = max(_MIN_EWMA_GAIN, 1.0 / self.samples)
        self.deviation_s += gain * (abs(latency_s - self.mean_s) - self.deviation_s)
        self.mean_s += gain * (latency_s - self.mean_s)


class HedgeTimer:
    """Computes hedging delays from the latencies of successful attempts of each route."""

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], _Latency] = {}

    def observe(self, route: ServiceRoute, latency_s: float) -> None:
        """Records the latency of a successful attempt.

        Args:
            route: Route of the request.
            latency_s: Latency in seconds.
        """
        key = (route.host, route.prefix)
        latency = self._routes.get(key)
        if latency is None:
            while len(self._routes) >= _MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
            latency = self._routes[key] = _Latency()
        latency.observe(latency_s)

    def delay_s(self, route: ServiceRoute) -> float | None:
        """Returns the time after which an answer counts as late.

        Args:
            route: Route of the request.

        Returns:
            The time in seconds; None if the route must not be hedged or has too few samples.
        """
        if not route.is_idempotent or route.max_attempts < 2:
            return None
        latency = self._routes.get((route.host, route.prefix))
        if latency is None or latency.samples < _MIN_SAMPLES:
            return None
        return max(_MIN_DELAY_S, latency.mean_s + _LATE_DEVIATIONS * latency.deviation_s)
