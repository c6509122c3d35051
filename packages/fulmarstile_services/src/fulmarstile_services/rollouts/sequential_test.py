"""Sequential test of a target version against the baseline over the same seconds.

Each time bin contributes the log likelihood ratio of the target's bad responses under "the version
is bad" against "the version is as bad as the baseline in these seconds". The sums are floored at
zero, so that a version that turns bad late is found as fast as one that is bad from the start.
Because the ratio is compared with a fixed threshold after every report, looking often does not
raise the false-alarm rate, as it would with a test for a fixed number of samples.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from fulmarstile_services.rollouts.baseline_rates import cap_worst

if TYPE_CHECKING:
    from fulmarstile_services.rollouts.baseline_rates import BadKind, BaselineRates
    from fulmarstile_services.rollouts.series import RouteSeries

BAD_EVIDENCE: Final = 9.2
"""Log likelihood ratio that proves a version bad.

It is ln(1000) for one false alarm in 1,000 roll-outs, and the rest for the tests of several
routes and of starts in several time bins.
"""


def measure_evidence(
    target: RouteSeries,
    baseline: BaselineRates,
    service: BaselineRates,
    kind: BadKind,
    *,
    is_only_upstream: bool = False,
) -> float:
    """Returns the evidence that a version is bad, as a log likelihood ratio of at least 0.

    On both sides, the upstream with the most bad responses counts with no more of them than the
    others of its version had on average: one that differs from them is unhealthy, and says nothing
    about the version.

    Args:
        target: Responses of the target version.
        baseline: Rates of the other versions.
        service: Their rates on all routes, which show a burst that a rarely used route alone
            does not.
        kind: What counts as bad.
        is_only_upstream: Whether the version has a single upstream, which then speaks for it.
    """
    if getattr(target.total, kind.field) <= 0.0:
        return 0.0
    worst, kept = cap_worst(target, kind)
    if worst is None and not is_only_upstream:
        return 0.0
    sums = [0.0] * len(kind.bad_rates)
    for number in sorted(target.bins):
        counts = target.bins[number]
        bad = getattr(counts, kind.field)
        if worst is not None and number in worst.bad_bins:
            bad -= getattr(worst.bad_bins[number], kind.field) * (1.0 - kept)
        trials = getattr(counts, kind.trials_field)
        if trials > 0.0 and (bad > 0.0 or any(sums)):
            rate = max(baseline.find(number), service.find(number))
            _add_bin(sums, max(0.0, bad), trials, rate, kind)
    return max(sums)


def _add_bin(sums: list[float], bad: float, trials: float, rate: float, kind: BadKind) -> None:
    for index, bad_rate in enumerate(kind.bad_rates):
        # The odds are at least three times those of a good version.
        alternative = max(bad_rate, 3.0 * rate / (1.0 + 2.0 * rate))
        ratio = bad * math.log(alternative / rate)
        ratio += (trials - bad) * math.log((1.0 - alternative) / (1.0 - rate))
        sums[index] = max(0.0, sums[index] + ratio)
