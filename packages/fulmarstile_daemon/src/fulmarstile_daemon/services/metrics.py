"""Counters and latency histograms of the calls between services."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_calls.request import RefusalReason

LATENCY_BOUNDS_S: Final = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
"""Upper bounds of the latency histograms, in seconds."""


class LatencyHistogram:
    """Histogram of latencies with fixed bounds."""

    def __init__(self) -> None:
        self.buckets = [0] * (len(LATENCY_BOUNDS_S) + 1)
        """Counts by upper bound; the last one counts latencies above all bounds."""
        self.sum_s = 0.0
        """Sum of all latencies, in seconds."""

    def observe(self, elapsed_s: float) -> None:
        """Adds a latency in seconds."""
        index = 0
        while index < len(LATENCY_BOUNDS_S) and elapsed_s > LATENCY_BOUNDS_S[index]:
            index += 1
        self.buckets[index] += 1
        self.sum_s += elapsed_s


class ServiceMetrics:
    """Metrics of one daemon, rendered on request."""

    def __init__(self) -> None:
        self.answers: dict[tuple[int, str], int] = {}
        """Replies to callers by status and reason."""
        self.refusals: dict[str, int] = {}
        """Requests refused before an upstream was selected, by reason."""
        self.unauthorized: dict[str, int] = {}
        """Requests refused because of their key, by reason."""
        self.attempt_failures: dict[tuple[str, bool], int] = {}
        """Failed attempts by reason and whether they were retried."""
        self.version_attempts: dict[tuple[str, str, bool], int] = {}
        """Attempts during roll-outs by service, version and whether they failed."""
        self.call_latency = LatencyHistogram()
        """Latency from the head of a request to the reply."""
        self.attempt_latency = LatencyHistogram()
        """Latency of single attempts."""
        self.hedges = 0
        """Second attempts started because a response was late."""
        self._gauges: dict[str, Callable[[], float]] = {}

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Adds a gauge, which is read when the page is rendered.

        Args:
            name: Name of the metric, without the prefix.
            read: Returns the value.
        """
        self._gauges[name] = read

    def count_answer(self, status: int, reason: str, elapsed_s: float) -> None:
        """Counts a reply to a caller."""
        key = (status, reason)
        self.answers[key] = self.answers.get(key, 0) + 1
        self.call_latency.observe(elapsed_s)

    def count_refusal(self, reason: RefusalReason) -> None:
        """Counts a request that was refused before an upstream was selected."""
        self.refusals[reason.value] = self.refusals.get(reason.value, 0) + 1

    def count_unauthorized(self, reason: RefusalReason) -> None:
        """Counts a request that was refused because of its key."""
        self.unauthorized[reason.value] = self.unauthorized.get(reason.value, 0) + 1

    def count_attempt_failure(self, reason: str, retried: bool) -> None:
        """Counts a failed attempt."""
        key = (reason or "upstream-error", retried)
        self.attempt_failures[key] = self.attempt_failures.get(key, 0) + 1

    def count_version(self, service: str, version: str, failed: bool) -> None:
        """Counts an attempt during a roll-out."""
        key = (service, version, failed)
        self.version_attempts[key] = self.version_attempts.get(key, 0) + 1

    def observe_attempt(self, elapsed_s: float) -> None:
        """Adds the latency of an attempt."""
        self.attempt_latency.observe(elapsed_s)

    def render(self) -> bytes:
        """Renders the page in the Prometheus text format."""
        # Imported on demand to save memory, because the metrics of few daemons are ever read.
        from fulmarstile_daemon.services._metrics_page import render_page

        return render_page(self, {name: read() for name, read in self._gauges.items()})
