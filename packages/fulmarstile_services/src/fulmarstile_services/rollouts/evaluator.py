"""Turns evidence, the serving upstreams and the time into the state of a roll-out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarstile_services.rollouts.evidence import EvidenceTable
from fulmarstile_services.rollouts.model import merge_states
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
    """Failures of the target version, and responses of it that were too slow."""
    baseline_requests: float
    baseline_bad: float
    evidence: float
    """Largest log likelihood ratio of a bad version against a good one."""


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
        self._state = self._build_state(order_seen_at)

    @property
    def order(self) -> RolloutOrder:
        """The order."""
        return self._order

    @property
    def figures(self) -> RolloutFigures:
        """What the last evaluation found."""
        return RolloutFigures(0, 0, 0, 0, 0, 0)

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
        self._state = self._build_state(now, phase=phase, reason=reason, is_recorded=True)
        return self._state

    def evaluate(self, pool: ServicePool, now: float) -> RolloutState:
        """Decides what is to be done now; to be called about four times a second.

        Args:
            pool: The upstreams that serve.
            now: Current time, in seconds.

        Returns:
            The state. A final one that is not recorded is to be appended to the store.
        """
        return self.state(now)

    def state(self, now: float) -> RolloutState:
        """Returns the last state with the order's present age.

        Args:
            now: Current time, in seconds.
        """
        return self._state

    def _build_state(self, now: float, **changes: object) -> RolloutState:
        return RolloutState(
            service=self._order.service,
            order_offset=self._order.offset,
            target_version=self._order.target_version,
            duration_ms=round(self._order.duration_s * 1000),
            age_ms=round((now - self._ordered_at) * 1000),
            **({"phase": RolloutPhase.CANARY} | changes),
        )
