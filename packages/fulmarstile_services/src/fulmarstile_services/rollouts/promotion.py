"""When all requests move to the target version, and when the roll-out is complete."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_services.rollouts.evidence import ALL_ROUTES

if TYPE_CHECKING:
    from fulmarstile_services.rollouts.evidence import EvidenceTable
    from fulmarstile_services.rollouts.model import ServicePool
    from fulmarstile_services.rollouts.verdict import Verdict

ANNOUNCEMENT_S: Final = 0.5
"""Shortest time from the announcement of the promotion until it, in seconds."""
ANNOUNCEMENT_MARGIN_S: Final = 0.25
"""Time for which an announcement may wait for the next evaluation, in seconds."""
RECORDING_S: Final = 0.35
"""Time before the deadline at which a completion is proposed, for the store's two appends.

Until then the target version is still watched, because there is no way back afterwards.
"""
_REPORT_S: Final = 0.35
"""Time from the end of the baseline's last request until all reports of it, in seconds."""
_FINISH_QUANTILE: Final = 0.999
"""Quantile of the service times that the hand-over leaves to the baseline's last requests."""
_MAX_HANDOVER_S: Final = 1.5
_MAX_HANDOVER_RATIO: Final = 0.25
"""Longest hand-over as a fraction of the roll-out."""
REPORTING_S: Final = 1.0
"""Time after its last report for which a daemon counts as reporting, in seconds."""
MIN_COVERAGE: Final = 0.4
"""Fraction of the upstreams whose daemons must report."""
_MIN_SLOT_RATIO: Final = 0.7
"""Slots of the target version, as a fraction of the baseline's, that can take all traffic."""
_MIN_TARGET_REQUESTS: Final = 10.0
"""Responses of the target version that are sufficient evidence."""
_MIN_TARGET_RATIO: Final = 0.1
"""The same as a fraction of all requests, for a service with hardly any."""
SUSPICION: Final = 7.0
"""Log likelihood ratio of a bad version above which none is promoted or completed."""
_UNCONFIRMED_S: Final = 0.25
"""Time before the deadline from which reports that are missing are no longer waited for.

It leaves the store 0.25 s. By then the baseline's last requests have had the time that all but one
in 1,000 take; a request that a recent report says is running is still waited for.
"""
_RECENT_REPORT_S: Final = 0.5
"""Age up to which a report is recent, in seconds: two intervals between reports."""
_UNFINISHED_LIMIT_S: Final = 2.0
"""Time after the deadline at which a promoted version is completed in any case, in seconds."""


def choose_handover_s(table: EvidenceTable, duration_s: float) -> float:
    """Returns the wanted time from promotion to deadline, in seconds.

    Args:
        table: The evidence, for the service times of the baseline.
        duration_s: Time from the order to its deadline, in seconds.
    """
    wanted_s = RECORDING_S + _REPORT_S + table.read_baseline_quantile_s(_FINISH_QUANTILE)
    return min(wanted_s, _MAX_HANDOVER_S, _MAX_HANDOVER_RATIO * duration_s)


def read_coverage(daemons: list[str], reporting: set[str]) -> float:
    """Returns the fraction of the daemons that report; 1 if there are none."""
    if not daemons:
        return 1.0
    return sum(daemon in reporting for daemon in daemons) / len(daemons)


def find_obstacle(
    table: EvidenceTable, pool: ServicePool, version: str, verdict: Verdict, reporting: set[str]
) -> str:
    """Returns why the version cannot be promoted yet; empty if it can.

    Args:
        table: The evidence.
        pool: The upstreams that serve.
        version: The target version.
        verdict: What the evidence says about it.
        reporting: Daemons that report.
    """
    target, baseline = pool.list_target(version), pool.list_baseline(version)
    if not target:
        return "no-upstreams"
    slots = sum(upstream.slots for upstream in target)
    if slots < _MIN_SLOT_RATIO * sum(upstream.slots for upstream in baseline):
        return "too-few-upstreams"
    for upstreams in (target, baseline):
        if read_coverage([upstream.daemon for upstream in upstreams], reporting) < MIN_COVERAGE:
            return "no-evidence"
    if verdict.evidence >= SUSPICION:
        return f"suspicious: {verdict.reason}"
    if not _is_sufficient(table, len(target)):
        return "thin-evidence"
    return ""


def _is_sufficient(table: EvidenceTable, upstream_count: int) -> bool:
    needed = min(_MIN_TARGET_REQUESTS, _MIN_TARGET_RATIO * table.count_requests())
    series = table.target.get(ALL_ROUTES)
    if series is None:
        return needed < 1.0
    tested = sum(counts.total.completed >= 1.0 for counts in series.upstreams.values())
    return series.total.completed >= int(needed) and tested >= min(2, upstream_count, int(needed))


def is_complete(
    table: EvidenceTable, baseline: list[str], promoted_s: float, age_s: float, duration_s: float
) -> bool:
    """Returns whether the baseline has finished, so that its upstreams may be stopped.

    Args:
        table: The evidence.
        baseline: Daemons beside reachable upstreams of the other versions that report.
        promoted_s: Age of the order at the promotion, in seconds.
        age_s: Age of the order, in seconds.
        duration_s: Time from the order to its deadline, in seconds.
    """
    remaining_s = duration_s - age_s
    if remaining_s > RECORDING_S:
        return False
    if remaining_s < -_UNFINISHED_LIMIT_S:
        return True
    recent_s = age_s - _RECENT_REPORT_S
    finish_s = promoted_s + table.read_baseline_quantile_s(_FINISH_QUANTILE)
    if table.list_running(max(recent_s, promoted_s)):
        return False
    if remaining_s <= _UNCONFIRMED_S and age_s >= finish_s:
        return True
    return not table.list_unfinished(baseline, promoted_s)
