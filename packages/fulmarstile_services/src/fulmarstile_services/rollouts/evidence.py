"""Merges the evidence of all daemons about an order into time series."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_services.rollouts.counter import EvidenceCounter
from fulmarstile_services.rollouts.histogram import (
    BUCKET_COUNT,
    BUCKETS_PER_OCTAVE,
    find_quantile,
    upper_bound_s,
)
from fulmarstile_services.rollouts.series import Counts, RouteSeries
from fulmarstile_wire.rollouts import RouteEvidence

if TYPE_CHECKING:
    from collections.abc import Collection

    from fulmarstile_services.rollouts.series import UpstreamKey
    from fulmarstile_wire.rollouts import UpstreamEvidence

__all__ = ["ALL_ROUTES", "EvidenceCounter", "EvidenceTable"]

ALL_ROUTES: Final = ""
"""Key of the series of all routes together."""
_MAX_BINS: Final = 120
"""Number of time bins between order and deadline, which bounds the cost of an evaluation."""
_MIN_BIN_S: Final = 0.25
"""Shortest time bin, in seconds: the interval between reports."""
_MAX_SPREAD_S: Final = 3.0
"""Longest time over which the requests of one report are spread, in seconds."""
_SLOW_RATIO: Final = 3.0
"""A response is slow if it takes longer than this multiple of the baseline's median, rounded up to
a whole bucket of the histogram (3.2)."""
_LIMIT_INTERVAL_S: Final = 0.75
"""Interval at which the limits of slow responses are computed, in seconds."""


@dataclass(slots=True)
class _Latest:
    """What an upstream last reported."""

    age_ms: int = -1
    seen_at: float = -math.inf
    is_target: bool = False
    routes: tuple[RouteEvidence, ...] = ()
    unfinished: int = 0
    completed: int = 0


class EvidenceTable:
    """Merges reports by maximum, and keeps a time series for each version and route.

    Args:
        target_version: Version that the order names; all others are the baseline.
        duration_s: Time from the order to its deadline, in seconds.
    """

    def __init__(self, target_version: str, duration_s: float) -> None:
        self._target_version = target_version
        self._bin_s = max(_MIN_BIN_S, duration_s / _MAX_BINS)
        self._latest: dict[UpstreamKey, _Latest] = {}
        self._by_daemon: dict[str, _Latest] = {}
        self._reports: dict[tuple[UpstreamKey, str], RouteEvidence] = {}
        self._slow_buckets: dict[str, int] = {}
        self._limits_at = -math.inf
        self._baseline_times = [0] * BUCKET_COUNT
        self._last_bin = 0
        self.target: dict[str, RouteSeries] = {}
        self.baseline: dict[str, RouteSeries] = {}
        self.cold_daemons: Collection[str] = frozenset()

    @property
    def bin_s(self) -> float:
        """Length of a time bin, in seconds."""
        return self._bin_s

    def merge(self, evidence: UpstreamEvidence, now: float) -> None:
        """Merges evidence, which may be old, repeated or out of order.

        Args:
            evidence: What a daemon has counted.
            now: Current time, in seconds.
        """
        key = (
            evidence.daemon,
            evidence.incarnation,
            evidence.upstream_id,
            evidence.upstream_born_ms,
        )
        latest = self._latest.get(key)
        if latest is None:
            latest = self._latest[key] = _Latest()
            latest.is_target = evidence.version == self._target_version
        if evidence.age_ms <= latest.age_ms:
            return
        if evidence.routes != latest.routes:
            self._merge_routes(key, evidence, latest)
        latest.age_ms = evidence.age_ms
        latest.seen_at = now
        latest.routes = evidence.routes
        latest.unfinished = evidence.running + evidence.queued
        known = self._by_daemon.get(evidence.daemon)
        if known is None or known.age_ms <= latest.age_ms:
            self._by_daemon[evidence.daemon] = latest

    def update_limits(self, now: float) -> None:
        """Computes from which service time on responses are slow, if it is time to.

        Args:
            now: Current time, in seconds.
        """
        if now - self._limits_at < _LIMIT_INTERVAL_S:
            return
        self._limits_at = now
        self._baseline_times = [0] * BUCKET_COUNT
        for route, series in self.baseline.items():
            if route == ALL_ROUTES:
                continue
            times = series.sum_service_times()
            for bucket, count in enumerate(times):
                self._baseline_times[bucket] += count
            median = series.find_median_bucket(times)
            if median is not None:
                offset = math.ceil(math.log2(_SLOW_RATIO) * BUCKETS_PER_OCTAVE)
                is_first = route not in self._slow_buckets
                self._slow_buckets[route] = median + offset
                if is_first:
                    self._judge_earlier(route, median + offset)

    def count_requests(self, *, is_target: bool | None = None) -> int:
        """Returns the requests that upstreams have received since the order.

        Args:
            is_target: Whether those of the target version or of the others; None for all.
        """
        return sum(
            latest.completed + latest.unfinished
            for latest in self._latest.values()
            if is_target is None or latest.is_target is is_target
        )

    def list_reporting(self, since: float) -> set[str]:
        """Returns the daemons that have reported since a time, in seconds."""
        return {name for name, latest in self._by_daemon.items() if latest.seen_at >= since}

    def list_unfinished(self, daemons: Collection[str], since_s: float) -> list[str]:
        """Returns the daemons that have not reported yet that no request is left.

        Args:
            daemons: Names of the daemons.
            since_s: Age of the order from which on such a report counts, in seconds.
        """
        found = []
        for daemon in daemons:
            latest = self._by_daemon.get(daemon)
            if latest is None or latest.unfinished or latest.age_ms < since_s * 1000:
                found.append(daemon)
        return found

    def list_running(self, since_s: float) -> list[str]:
        """Returns the daemons beside the baseline that have reported requests recently.

        Args:
            since_s: Age of the order from which on such a report counts, in seconds.
        """
        return [
            daemon
            for daemon, latest in self._by_daemon.items()
            if not latest.is_target and latest.unfinished and latest.age_ms >= since_s * 1000
        ]

    def read_baseline_quantile_s(self, quantile: float) -> float:
        """Returns a quantile of the baseline's service times over all routes, in seconds.

        Args:
            quantile: Quantile, from 0 to 1.
        """
        times = self._baseline_times
        return upper_bound_s(find_quantile(times, quantile)) if any(times) else 0.0

    def _judge_earlier(self, route: str, slow_from: int) -> None:
        for group in (self.target, self.baseline):
            if route not in group:
                continue
            for key, upstream in group[route].upstreams.items():
                times, cold = upstream.service_times, upstream.cold_service_times
                if not times:
                    continue
                slow = sum(times[slow_from + 1 :]) - sum(cold[slow_from + 1 :])
                counts = Counts(judged=sum(times) - sum(cold), slow=slow)
                for name in {route, ALL_ROUTES}:
                    group[name].add(key, counts, [self._last_bin])

    def _merge_routes(self, key: UpstreamKey, evidence: UpstreamEvidence, latest: _Latest) -> None:
        group = self.target if latest.is_target else self.baseline
        bins = self._list_bins(latest.age_ms / 1000, evidence.age_ms / 1000)
        self._last_bin = max(self._last_bin, bins[-1])
        is_cold = evidence.daemon in self.cold_daemons
        for route in evidence.routes:
            counts = self._merge_route(key, route, group, is_cold)
            if counts is None:
                continue
            latest.completed += round(counts.completed)
            # Requests whose entry daemon doesn't know the order yet have no route.
            for name in {route.route, ALL_ROUTES}:
                group.setdefault(name, RouteSeries()).add(key, counts, bins)

    def _merge_route(
        self,
        key: UpstreamKey,
        route: RouteEvidence,
        group: dict[str, RouteSeries],
        is_cold: bool,
    ) -> Counts | None:
        known = self._reports.get((key, route.route)) or RouteEvidence(route.route, 0, 0, ())
        if route == known:
            return None
        # Reports older than the last one were dropped, so that a count is lower only by mistake.
        counts = Counts(
            max(0, route.completed - known.completed), max(0, route.failed - known.failed)
        )
        slow_from = self._slow_buckets.get(route.route)
        if slow_from is not None and not is_cold:
            counts.judged = counts.completed
            slow = sum(route.service_times[slow_from + 1 :])
            counts.slow = max(0, slow - sum(known.service_times[slow_from + 1 :]))
        self._reports[key, route.route] = route
        upstream = group.setdefault(route.route, RouteSeries()).find(key)
        if is_cold:
            upstream.cold_service_times = route.service_times[:BUCKET_COUNT]
        else:
            upstream.service_times = route.service_times[:BUCKET_COUNT]
        return counts

    def _list_bins(self, start_s: float, end_s: float) -> range:
        start_s = max(0.0, start_s, end_s - _MAX_SPREAD_S)
        last = int(end_s / self._bin_s)
        return range(min(int(start_s / self._bin_s) + 1, last), last + 1)
