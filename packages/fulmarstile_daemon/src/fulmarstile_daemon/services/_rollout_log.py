"""Log lines about roll-outs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_daemon.services.events import (
    RolloutChanged,
    RolloutDecided,
    RolloutLease,
    RolloutOrdered,
    RolloutRejected,
    RolloutStatusWritten,
    VersionHeld,
)
from fulmarstile_services.rollouts.version_rules import HOLD_S

if TYPE_CHECKING:
    from fulmarstile_daemon.services._known_rollout import KnownRollout
    from fulmarstile_daemon.services._rollout_records import RolloutDecision
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_services.rollouts.model import RolloutOrder
    from fulmarstile_wire.rollouts import RolloutPhase, RolloutState

_MIN_SHARE_CHANGE: Final = 0.5
"""Relative change of a share that is logged; it varies a little with each evaluation."""


class RolloutLog:
    """Writes the events of roll-outs.

    Args:
        log: Log of the daemon.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._written: dict[str, RolloutState] = {}

    def write_ordered(
        self, order: RolloutOrder, replaced: KnownRollout | None, source: str
    ) -> None:
        """Logs a new order, and the roll-out that it replaces."""
        self._log.write(
            RolloutOrdered(
                service=order.service,
                order_offset=order.offset,
                target_version=order.target_version,
                duration_s=order.duration_s,
                replaced_offset=None if replaced is None else replaced.order.offset,
                source=source,
            )
        )

    def write_rejected(self, order: RolloutOrder, reason: str) -> None:
        """Logs why an order cannot be carried out."""
        self._log.write(
            RolloutRejected(service=order.service, order_offset=order.offset, reason=reason)
        )

    def write_changed(self, state: RolloutState) -> None:
        """Logs a state, unless only its share or canaries differ a little from the last one."""
        written = self._written.get(state.service)
        if written is not None and _is_alike(written, state):
            return
        self._written[state.service] = state
        self._log.write(
            RolloutChanged(
                service=state.service,
                order_offset=state.order_offset,
                target_version=state.target_version,
                age_s=state.age_ms / 1000,
                phase=state.phase.value,
                share=round(state.share, 4),
                canaries=state.canaries,
                promote_at_s=state.promote_at_ms / 1000,
                reason=state.reason,
                recorded=state.is_recorded,
            )
        )

    def write_lease(self, rollout: KnownRollout, now: float) -> None:
        """Logs that the state has become too old to act upon, or is fresh again."""
        is_fresh = rollout.is_fresh(now)
        if is_fresh is rollout.was_fresh:
            return
        rollout.was_fresh = is_fresh
        order = rollout.order
        self._log.write(
            RolloutLease(service=order.service, order_offset=order.offset, fresh=is_fresh)
        )

    def write_decided(self, decision: RolloutDecision) -> None:
        """Logs a decision that the store holds."""
        figures = decision.figures
        self._log.write(
            RolloutDecided(
                service=decision.service,
                order_offset=decision.order_offset,
                target_version=decision.target_version,
                phase=decision.phase.value,
                reason=decision.reason,
                decided_by=decision.decided_by,
                requests=figures.requests if figures else 0.0,
                exposed=figures.exposed if figures else 0.0,
                bad=figures.bad if figures else 0.0,
                baseline_requests=figures.baseline_requests if figures else 0.0,
                baseline_bad=figures.baseline_bad if figures else 0.0,
                evidence=figures.evidence if figures else 0.0,
            )
        )

    def write_status(self, order: RolloutOrder, phase: RolloutPhase) -> None:
        """Logs that the status was written for the operator."""
        self._log.write(
            RolloutStatusWritten(
                service=order.service, order_offset=order.offset, phase=phase.value
            )
        )

    def write_held(self, service: str, version: str) -> None:
        """Logs that a version receives no requests for a while."""
        self._log.write(VersionHeld(service=service, version=version, for_s=HOLD_S))


def _is_alike(written: RolloutState, state: RolloutState) -> bool:
    if (
        written.order_offset != state.order_offset
        or written.phase is not state.phase
        or written.promote_at_ms != state.promote_at_ms
        or written.is_recorded is not state.is_recorded
    ):
        return False
    if not written.share or not state.share:
        return written.share == state.share
    return abs(state.share - written.share) <= _MIN_SHARE_CHANGE * written.share
