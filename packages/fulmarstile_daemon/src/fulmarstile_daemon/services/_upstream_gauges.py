"""Gauges of the upstream on this VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_daemon.services.metrics import ServiceMetrics


def add_upstream_gauges(metrics: ServiceMetrics, upstream: LocalUpstream) -> None:
    """Adds the gauges of the upstream.

    Args:
        metrics: Metrics of the daemon.
        upstream: The upstream.
    """
    add = metrics.add_gauge
    add("upstream_running", lambda: upstream.running)
    add("upstream_queued", lambda: upstream.queued)
    add("upstream_slots", lambda: upstream.slots)
    add("upstream_rate_limit", lambda: upstream.rate_limit)
    add("upstream_requests_sent", lambda: upstream.requests_sent)
    add("upstream_service_seconds", lambda: upstream.service_s)
