"""Turns evidence, the serving upstreams and the time into the state of a roll-out."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

import msgspec

from fulmarstile_services.rollouts.canaries import CanaryPlan, CanaryPlanner
from fulmarstile_services.rollouts.evidence import ALL_ROUTES, EvidenceTable
from fulmarstile_services.rollouts.exposure import ExposureBudget, RequestRate
from fulmarstile_services.rollouts.model import merge_states
from fulmarstile_services.rollouts.promotion import (
    ANNOUNCEMENT_MARGIN_S,
    ANNOUNCEMENT_S,
    MIN_COVERAGE,
    RECORDING_S,
    REPORTING_S,
    SUSPICION,
    choose_handover_s,
    find_obstacle,
    is_complete,
    read_coverage,
)
from fulmarstile_services.rollouts.series import Counts
from fulmarstile_services.rollouts.verdict import Verdict, judge
from fulmarstile_wire.rollouts import RolloutPhase, RolloutState

if TYPE_CHECKING:
    from fulmarstile_services.rollouts.model import RolloutOrder, ServicePool
    from fulmarstile_services.settings import RolloutBounds
    from fulmarstile_wire.rollouts import UpstreamEvidence


@dataclass(frozen=True, slots=True)
class RolloutFigures:
    """What a decision rests on, for logs and the decision's record."""

    requests: float
    """Requests to the service since the order."""
    exposed: float
    """Requests to the target version among them."""
    bad: float
    """Failures of the target version plus its slow responses; a slow failure counts twice."""
    baseline_requests: float
    """Requests to the other versions that have ended."""
    baseline_bad: float
    """The same as `bad`, for the other versions."""
    evidence: float
    """Largest log likelihood ratio of a bad version against a good one."""


_UNREPORTED_S: Final = 0.75
"""Time for which a share that was set may not be visible in the reports, in seconds."""


class RolloutEvaluator:
    """Decides one order's roll-out; several evaluators of an order may run at the same time.

    It only proposes a final state: the shell appends the decision to the store and passes what
    the store accepted to `record`. A roll-back takes effect at once, a completion when recorded.

    Args:
        order: The order.
        bounds: Limits to keep.
        order_seen_at: When this daemon saw the order, in seconds.
    """

    def __init__(self, order: RolloutOrder, bounds: RolloutBounds, order_seen_at: float) -> None:
        self._order = order
        self._bounds = bounds
        self._ordered_at = order_seen_at
        self._table = EvidenceTable(order.target_version, order.duration_s)
        self._planner = CanaryPlanner()
        self._rate = RequestRate()
        self._verdict = Verdict()
        self._planned_share = 0.0
        self._planned_at_s = 0.0
        self._shares: deque[tuple[float, float]] = deque()
        """Age of the order at, and requests expected of, each recent interval with canaries."""
        self._state = self._build_state(order_seen_at)

    @property
    def order(self) -> RolloutOrder:
        """The order."""
        return self._order

    @property
    def figures(self) -> RolloutFigures:
        """What the last evaluation found."""
        target = self._table.target.get(ALL_ROUTES)
        baseline = self._table.baseline.get(ALL_ROUTES)
        target_counts = target.total if target else Counts()
        baseline_counts = baseline.total if baseline else Counts()
        return RolloutFigures(
            requests=self._table.count_requests(),
            exposed=self._table.count_requests(is_target=True),
            bad=target_counts.failed + target_counts.slow,
            baseline_requests=baseline_counts.completed,
            baseline_bad=baseline_counts.failed + baseline_counts.slow,
            evidence=self._verdict.evidence,
        )

    def on_evidence(self, evidence: UpstreamEvidence, now: float) -> None:
        """Merges evidence, which may be old, repeated or out of order.

        Args:
            evidence: What a daemon has counted for this order.
            now: Current time, in seconds.
        """
        self._table.merge(evidence, now)

    def merge_state(self, state: RolloutState, now: float) -> None:
        """Merges the state of another evaluator or daemon; one of another order is ignored.

        Args:
            state: The state.
            now: Current time, in seconds.
        """
        if state.order_offset != self._order.offset:
            return
        self._ordered_at = min(self._ordered_at, now - state.age_ms / 1000)
        self._state = merge_states(self._state, state) or state

    def record(self, phase: RolloutPhase, reason: str, now: float) -> RolloutState:
        """Adopts the decision that the store accepted, whoever made it.

        Args:
            phase: The recorded final phase.
            reason: Why it was decided.
            now: Current time, in seconds.

        Returns:
            The final state.
        """
        self._change(phase, reason, share=1.0 if phase is RolloutPhase.COMPLETED else 0.0)
        self._state = msgspec.structs.replace(self._state, is_recorded=True)
        return self.state(now)

    def evaluate(self, pool: ServicePool, now: float) -> RolloutState:
        """Decides what is to be done now; to be called about four times a second.

        Args:
            pool: The upstreams that serve.
            now: Current time, in seconds.

        Returns:
            The state. A final one that is not recorded is to be appended to the store.
        """
        age_s = now - self._ordered_at
        if self._state.is_recorded or self._state.phase is RolloutPhase.ROLLED_BACK:
            return self.state(now)
        self._table.cold_daemons = {
            upstream.daemon for upstream in pool.upstreams if upstream.is_cold
        }
        self._table.update_limits(now)
        target = pool.list_target(self._order.target_version)
        self._verdict = judge(self._table, len(target))
        if self._verdict.is_bad:
            self._change(RolloutPhase.ROLLED_BACK, f"bad: {self._verdict.reason}")
        elif self._state.phase is RolloutPhase.CANARY:
            self._advance_canary(pool, age_s, now)
        elif self._state.phase is RolloutPhase.PROMOTED:
            self._advance_promoted(pool, age_s, now)
        return self.state(now)

    def state(self, now: float) -> RolloutState:
        """Returns the last state with the order's present age.

        Args:
            now: Current time, in seconds.
        """
        age_ms = round((now - self._ordered_at) * 1000)
        return msgspec.structs.replace(self._state, age_ms=age_ms)

    def _advance_canary(self, pool: ServicePool, age_s: float, now: float) -> None:
        remaining_s = self._order.duration_s - age_s
        reporting = self._table.list_reporting(now - REPORTING_S)
        budget = self._build_budget(pool, reporting, age_s)
        promote_at_ms = self._state.promote_at_ms
        if promote_at_ms and age_s * 1000 >= promote_at_ms:
            self._change(RolloutPhase.PROMOTED, "good", share=1.0)
            return
        wanted_s = choose_handover_s(self._table, self._order.duration_s)
        if not promote_at_ms:
            canary_requests = budget.count_canary_requests(1.0, wanted_s)
            handover_s = budget.limit_handover_s(wanted_s, canary_requests)
            lead_s = handover_s + ANNOUNCEMENT_S + ANNOUNCEMENT_MARGIN_S
            if remaining_s <= lead_s:
                self._announce(pool, reporting, handover_s, age_s)
        if self._state.phase is RolloutPhase.CANARY:
            plan = self._plan_canaries(pool, reporting, budget, wanted_s, age_s)
            self._set_share(plan, budget.rate, age_s)

    def _announce(
        self, pool: ServicePool, reporting: set[str], handover_s: float, age_s: float
    ) -> None:
        version = self._order.target_version
        obstacle = find_obstacle(self._table, pool, version, self._verdict, reporting)
        remaining_s = self._order.duration_s - age_s
        if obstacle:
            if remaining_s <= RECORDING_S:
                self._change(RolloutPhase.ROLLED_BACK, obstacle)
            return
        promote_at_s = max(age_s + ANNOUNCEMENT_S, self._order.duration_s - handover_s)
        self._state = msgspec.structs.replace(
            self._state, promote_at_ms=round(promote_at_s * 1000), reason="good"
        )

    def _plan_canaries(
        self,
        pool: ServicePool,
        reporting: set[str],
        budget: ExposureBudget,
        handover_s: float,
        age_s: float,
    ) -> CanaryPlan:
        target = [
            upstream
            for upstream in pool.list_target(self._order.target_version)
            if upstream.daemon in reporting
        ]
        baseline = pool.list_baseline(self._order.target_version)
        daemons = [upstream.daemon for upstream in baseline]
        if not baseline or read_coverage(daemons, reporting) < MIN_COVERAGE:
            return CanaryPlan()
        end_s = self._order.duration_s - handover_s
        progress = age_s / end_s if end_s > 0.0 else 1.0
        planned = budget.count_canary_requests(progress, handover_s)
        allowance = planned - budget.exposed - self._count_unreported(age_s)
        return self._planner.plan(target, planned, allowance, budget.rate, end_s - age_s, age_s)

    def _advance_promoted(self, pool: ServicePool, age_s: float, now: float) -> None:
        reporting = self._table.list_reporting(now - REPORTING_S)
        names = [upstream.daemon for upstream in pool.list_baseline(self._order.target_version)]
        promoted_s = self._state.promote_at_ms / 1000
        duration_s = self._order.duration_s
        heard = [name for name in names if name in reporting]
        if age_s < duration_s and read_coverage(names, reporting) < MIN_COVERAGE:
            return
        if not is_complete(self._table, heard, promoted_s, age_s, duration_s):
            return
        if self._verdict.evidence >= SUSPICION:
            self._change(RolloutPhase.ROLLED_BACK, f"suspicious: {self._verdict.reason}")
        else:
            self._change(RolloutPhase.COMPLETED, "good", share=1.0)

    def _build_budget(self, pool: ServicePool, reporting: set[str], age_s: float) -> ExposureBudget:
        requests = self._table.count_requests()
        self._rate.observe(age_s, requests)
        version = self._order.target_version
        # An evaluator that hears only some daemons may use only their part of the slack, because
        # another evaluator may use the rest.
        coverage = min(
            read_coverage([upstream.daemon for upstream in upstreams], reporting)
            for upstreams in (pool.list_target(version), pool.list_baseline(version))
        )
        bounds = self._bounds
        return ExposureBudget(
            replace(bounds, exposure_slack=bounds.exposure_slack * coverage),
            requests,
            self._table.count_requests(is_target=True),
            self._rate.read(),
            self._order.duration_s - age_s,
        )

    def _count_unreported(self, age_s: float) -> float:
        while self._shares and self._shares[0][0] < age_s - _UNREPORTED_S:
            self._shares.popleft()
        return sum(requests for _, requests in self._shares)

    def _set_share(self, plan: CanaryPlan, rate: float, age_s: float) -> None:
        interval_s = max(0.0, age_s - self._planned_at_s)
        self._shares.append((age_s, self._planned_share * rate * interval_s))
        self._planned_share, self._planned_at_s = plan.share, age_s
        self._state = msgspec.structs.replace(self._state, share=plan.share, canaries=plan.canaries)

    def _change(self, phase: RolloutPhase, reason: str, share: float = 0.0) -> None:
        self._state = msgspec.structs.replace(
            self._state, phase=phase, reason=reason, share=share, canaries=()
        )

    def _build_state(self, now: float) -> RolloutState:
        return RolloutState(
            service=self._order.service,
            order_offset=self._order.offset,
            target_version=self._order.target_version,
            duration_ms=round(self._order.duration_s * 1000),
            age_ms=round((now - self._ordered_at) * 1000),
            phase=RolloutPhase.CANARY,
        )
