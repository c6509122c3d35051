"""Renders the metrics of the calls between services with aioprometheus."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from aioprometheus import Counter, Gauge, Registry, render
from aioprometheus.formats import text

from fulmarstile_daemon.services.metrics import LATENCY_BOUNDS_S

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarstile_daemon.services.metrics import LatencyHistogram, ServiceMetrics

_PREFIX: Final = "fulmarstile_service_"


def render_page(metrics: ServiceMetrics, gauges: Mapping[str, float]) -> bytes:
    """Renders the metrics page.

    Args:
        metrics: Counters and histograms.
        gauges: Gauge values by name, without the prefix.

    Returns:
        The page in the Prometheus text format.
    """
    registry = Registry()
    answers = _make_counter(registry, "answers_total", "Final answers.")
    for (status, reason), count in metrics.answers.items():
        answers.set({"status": str(status), "reason": reason or "none"}, count)
    refusals = _make_counter(registry, "refusals_total", "Requests refused at once.")
    for reason, count in metrics.refusals.items():
        refusals.set({"reason": reason}, count)
    unauthorized = _make_counter(
        registry, "requests_unauthorized", "Requests without the key of a customer."
    )
    for reason, count in metrics.unauthorized.items():
        unauthorized.set({"reason": reason}, count)
    failures = _make_counter(registry, "attempt_failures_total", "Attempts without an answer.")
    for (reason, retried), count in metrics.attempt_failures.items():
        failures.set({"reason": reason, "retried": str(retried).lower()}, count)
    versions = _make_counter(registry, "version_attempts_total", "Attempts during roll-outs.")
    for (service, version, failed), count in metrics.version_attempts.items():
        labels = {"service": service, "version": version, "failed": str(failed).lower()}
        versions.set(labels, count)
    _make_counter(registry, "hedges_total", "Second attempts for late answers.").set(
        {}, metrics.hedges
    )
    _add_latency(registry, "call", metrics.call_latency)
    _add_latency(registry, "attempt", metrics.attempt_latency)
    for name, value in gauges.items():
        gauge = Gauge(_PREFIX + name, name.replace("_", " ").capitalize() + ".", registry=registry)
        gauge.set({}, value)
    page, _ = render(registry, [text.TEXT_CONTENT_TYPE])
    return page


def _make_counter(registry: Registry, name: str, doc: str) -> Counter:
    return Counter(_PREFIX + name, doc, registry=registry)


def _add_latency(registry: Registry, name: str, latency: LatencyHistogram) -> None:
    """Adds a histogram as its bucket, count and sum series."""
    buckets = _make_counter(registry, f"{name}_seconds_bucket", f"Latency of a {name}.")
    total = 0
    bounds = (*map(str, LATENCY_BOUNDS_S), "+Inf")
    for bound, count in zip(bounds, latency.buckets, strict=True):
        total += count
        buckets.set({"le": bound}, total)
    _make_counter(registry, f"{name}_seconds_count", f"Number of {name}s.").set({}, total)
    _make_counter(registry, f"{name}_seconds_sum", f"Total time of {name}s.").set({}, latency.sum_s)
