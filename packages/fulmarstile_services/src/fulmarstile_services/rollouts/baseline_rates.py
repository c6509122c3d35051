"""Rates of bad responses that a good version would have, judged by the baseline."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from fulmarstile_services.rollouts.series import SMALL_BASELINE

if TYPE_CHECKING:
    from fulmarstile_services.rollouts.series import Counts, RouteSeries, UpstreamCounts

_WINDOW_BINS: Final = 3
"""Bins before and after a bin whose baseline responses count as simultaneous."""
_PRIOR_WEIGHT: Final = 4.0
"""Requests that the baseline's overall rate counts for within a window."""
_OTHER_TRIALS: Final = 1.0
"""Requests added to those of the other upstreams, lest a single one of them proves a rate."""
_DEVIATIONS: Final = 1.5
"""Standard deviations by which a true rate of a window may exceed the measured one."""
_OVERALL_DEVIATIONS: Final = 1.0
"""The same for the rate since the order."""
_MIN_OUTLIER_BAD: Final = 4.0
"""Bad responses from which an upstream may count as unhealthy."""
_OUTLIER_RATIO: Final = 5.0
"""Multiple of the others' rate of bad responses from which an upstream counts as unhealthy."""
_MIN_JUDGED: Final = 8.0
"""Requests of a baseline upstream from which its own rate of bad responses is used."""


@dataclass(frozen=True, slots=True)
class BadKind:
    """A way in which a response can be bad."""

    name: str
    field: str
    """Name of the count of bad responses."""
    trials_field: str
    """Name of the count of responses that were looked at."""
    min_rate: float
    """Fraction of bad responses that is never held against a version."""
    min_rate_of_few: float
    """The same if the baseline has only a few upstreams."""
    bad_rates: tuple[float, ...]
    """Fractions of bad responses that bad versions are expected to have."""
    compares_upstreams: bool = False
    """Whether good upstreams differ in this, so that the second worst one is the measure."""


FAILED: Final = BadKind("failures", "failed", "completed", 0.01, 0.01, (0.15, 0.4, 0.9))
SLOW: Final = BadKind("slow responses", "slow", "judged", 0.1, 0.15, (0.35, 0.6, 0.9), True)
KINDS: Final = (FAILED, SLOW)


@dataclass(frozen=True, slots=True)
class BaselineRates:
    """Rates of bad responses that a good version would have, by time bin."""

    overall: float
    window: dict[int, Counts]
    kind: BadKind
    worst: UpstreamCounts | None
    kept: float
    """Fraction of the bad responses of the worst upstream that counts."""
    min_rate: float

    found: dict[int, float] = field(default_factory=dict)

    def find(self, number: int) -> float:
        """Returns the greatest rate expected in a bin."""
        rate = self.found.get(number)
        if rate is None:
            rate = self.found[number] = self._measure(number)
        return rate

    def _measure(self, number: int) -> float:
        bad, trials = self.overall * _PRIOR_WEIGHT, _PRIOR_WEIGHT
        excluded = self.worst.bad_bins if self.worst else {}
        for near in range(number - _WINDOW_BINS, number + _WINDOW_BINS + 1):
            counts = self.window.get(near)
            if counts is None:
                continue
            bad += getattr(counts, self.kind.field)
            trials += getattr(counts, self.kind.trials_field)
            if near in excluded:
                bad -= getattr(excluded[near], self.kind.field) * (1.0 - self.kept)
        local = max(0.0, bad) / trials
        local += _DEVIATIONS * math.sqrt(local * (1.0 - min(1.0, local)) / trials)
        return min(0.9, max(self.min_rate, self.overall, local))


def find_rates(baseline: RouteSeries | None, kind: BadKind) -> BaselineRates:
    """Measures the rates of a route, or of all together.

    Args:
        baseline: Responses of the other versions; None if there are none.
        kind: What counts as bad.
    """
    if baseline is None:
        return BaselineRates(0.0, {}, kind, None, 0.0, kind.min_rate_of_few)
    worst, kept = cap_worst(baseline, kind)
    trials = max(1.0, getattr(baseline.total, kind.trials_field))
    bad = getattr(baseline.total, kind.field)
    if worst is not None and getattr(worst.total, kind.field) < _MIN_OUTLIER_BAD:
        kept = 1.0
    if worst is not None:
        bad -= getattr(worst.total, kind.field) * (1.0 - kept)
    overall = _limit_rate(min(bad, trials), trials)
    if kind.compares_upstreams:
        overall = max(overall, _find_second_worst_rate(baseline, kind))
    is_small = len(baseline.upstreams) < SMALL_BASELINE
    min_rate = kind.min_rate_of_few if is_small else kind.min_rate
    return BaselineRates(overall, baseline.bins, kind, worst, kept, min_rate)


def _limit_rate(bad: float, trials: float) -> float:
    """Returns the upper end of Wilson's interval, which is wide for few trials."""
    square = _OVERALL_DEVIATIONS**2
    center = bad + square / 2.0
    spread = math.sqrt(bad * (trials - bad) / trials + square / 4.0)
    return (center + _OVERALL_DEVIATIONS * spread) / (trials + square)


def _find_second_worst_rate(baseline: RouteSeries, kind: BadKind) -> float:
    rates = sorted(
        getattr(upstream.total, kind.field) / getattr(upstream.total, kind.trials_field)
        for upstream in baseline.upstreams.values()
        if getattr(upstream.total, kind.trials_field) >= _MIN_JUDGED
    )
    return rates[-2] if len(rates) > 1 else 0.0


def cap_worst(series: RouteSeries, kind: BadKind) -> tuple[UpstreamCounts | None, float]:
    """Returns the worst upstream, and the fraction of its bad responses that counts.

    None of them count if it is clearly unhealthy; otherwise as many as the others had on average.

    Args:
        series: Responses of a version.
        kind: What counts as bad.
    """
    if len(series.upstreams) < 2:
        return None, 0.0
    key = max(series.upstreams, key=lambda key: getattr(series.upstreams[key].total, kind.field))
    worst = series.upstreams[key]
    bad = getattr(worst.total, kind.field)
    trials = getattr(worst.total, kind.trials_field)
    other_bad = getattr(series.total, kind.field) - bad
    other_trials = getattr(series.total, kind.trials_field) - trials
    other_rate = (other_bad + 1.0) / (other_trials + 1.0)
    if bad >= _MIN_OUTLIER_BAD and bad > _OUTLIER_RATIO * other_rate * trials:
        return worst, 0.0
    expected = min(other_bad, trials * other_bad / (other_trials + _OTHER_TRIALS))
    return worst, min(1.0, expected / bad) if bad > 0.0 else 1.0
