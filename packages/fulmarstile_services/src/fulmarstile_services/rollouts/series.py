"""Time series of the requests of one route, by all upstreams of a version."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import zip_longest
from typing import TYPE_CHECKING, Final

from fulmarstile_services.rollouts.histogram import find_quantile

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

SMALL_BASELINE: Final = 6
"""Number of upstreams below which their speeds may happen to be much alike."""
_MIN_MEDIAN_REQUESTS: Final = 10
"""Requests of a route from which its median is known."""

UpstreamKey = tuple[str, int, str, int]
"""Daemon, its incarnation, the upstream and the upstream's start."""


@dataclass(slots=True)
class Counts:
    """Requests that ended; fractions arise where a report spans several bins."""

    completed: float = 0.0
    failed: float = 0.0
    judged: float = 0.0
    """Requests whose service time was compared with the limit of their route."""
    slow: float = 0.0
    """Those of them that took longer."""

    def add(self, other: Counts, weight: float = 1.0) -> None:
        """Adds other counts.

        Args:
            other: The counts.
            weight: Fraction of them that is added.
        """
        self.completed += other.completed * weight
        self.failed += other.failed * weight
        self.judged += other.judged * weight
        self.slow += other.slow * weight


@dataclass(slots=True)
class UpstreamCounts:
    """Share of one upstream in a series."""

    total: Counts = field(default_factory=Counts)
    bad_bins: dict[int, Counts] = field(default_factory=dict)
    """Counts of the bins in which it had bad responses."""
    service_times: tuple[int, ...] = ()
    """Histogram since the order; empty while it is cold."""
    cold_service_times: tuple[int, ...] = ()
    """The part of it from the time when the upstream was cold."""


class RouteSeries:
    """Requests by time bin, in total and by upstream."""

    def __init__(self) -> None:
        self.bins: dict[int, Counts] = {}
        self.total = Counts()
        self.upstreams: dict[UpstreamKey, UpstreamCounts] = {}

    def add(self, key: UpstreamKey, counts: Counts, bins: Iterable[int]) -> None:
        """Adds what an upstream has run since its last report, spread evenly over time.

        Args:
            key: The upstream.
            counts: Requests that ended.
            bins: Time bins between the two reports.
        """
        upstream = self.find(key)
        self.total.add(counts)
        upstream.total.add(counts)
        is_bad = counts.failed > 0.0 or counts.slow > 0.0
        numbers = list(bins)
        for number in numbers:
            self.bins.setdefault(number, Counts()).add(counts, 1.0 / len(numbers))
            if is_bad:
                bad = upstream.bad_bins.setdefault(number, Counts())
                bad.add(counts, 1.0 / len(numbers))

    def find(self, key: UpstreamKey) -> UpstreamCounts:
        """Returns the counts of an upstream."""
        upstream = self.upstreams.get(key)
        if upstream is None:
            upstream = self.upstreams[key] = UpstreamCounts()
        return upstream

    def sum_service_times(self) -> list[int]:
        """Returns the histogram of all upstreams together."""
        times = [upstream.service_times for upstream in self.upstreams.values()]
        return [sum(column) for column in zip_longest(*times, fillvalue=0)]

    def find_median_bucket(self, service_times: Sequence[int]) -> int | None:
        """Returns the bucket of the typical service time; None if there are too few requests.

        It is the larger one of the median of all responses and the median of the upstreams'
        medians, because a balancer that prefers fast upstreams lowers the former.

        Args:
            service_times: The histogram of all upstreams together.
        """
        if sum(service_times) < _MIN_MEDIAN_REQUESTS:
            return None
        medians = sorted(
            find_quantile(upstream.service_times, 0.5)
            for upstream in self.upstreams.values()
            if upstream.service_times
        )
        return max(find_quantile(service_times, 0.5), medians[len(medians) // 2])
