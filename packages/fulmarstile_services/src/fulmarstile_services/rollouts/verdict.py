"""Combines the tests of all routes and of all kinds of bad responses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarstile_services.rollouts.baseline_rates import KINDS, find_rates
from fulmarstile_services.rollouts.evidence import ALL_ROUTES
from fulmarstile_services.rollouts.sequential_test import BAD_EVIDENCE, measure_evidence

if TYPE_CHECKING:
    from fulmarstile_services.rollouts.evidence import EvidenceTable


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the evidence says about the target version."""

    evidence: float = 0.0
    """Largest log likelihood ratio of a bad version against a good one."""
    reason: str = ""
    """Kind and route of that evidence."""

    @property
    def is_bad(self) -> bool:
        """Whether the version is proven bad."""
        return self.evidence >= BAD_EVIDENCE


def judge(table: EvidenceTable, upstream_count: int) -> Verdict:
    """Tests each route and all routes together.

    Args:
        table: The evidence.
        upstream_count: Number of serving upstreams of the target version.

    Returns:
        The verdict with the most evidence against the version.
    """
    worst = Verdict()
    service = {kind.name: find_rates(table.baseline.get(ALL_ROUTES), kind) for kind in KINDS}
    for route, target in table.target.items():
        for kind in KINDS:
            baseline = find_rates(table.baseline.get(route), kind)
            evidence = measure_evidence(
                target, baseline, service[kind.name], kind, is_only_upstream=upstream_count == 1
            )
            if evidence > worst.evidence:
                where = "all routes" if route == ALL_ROUTES else f"route {route}"
                worst = Verdict(evidence, f"{kind.name} on {where}")
    return worst
