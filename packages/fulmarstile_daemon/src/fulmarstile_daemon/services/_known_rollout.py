"""What this daemon knows about the roll-out of one order."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec

from fulmarstile_daemon.services.ports import ReceivedOrder
from fulmarstile_services.rollouts.evaluator import RolloutEvaluator
from fulmarstile_services.rollouts.model import RolloutOrder, merge_states
from fulmarstile_wire.rollouts import RolloutPhase, RolloutState

if TYPE_CHECKING:
    from fulmarstile_services.rollouts.evidence import EvidenceCounter
    from fulmarstile_services.settings import RolloutBounds

LEASE_S: Final = 1.0
"""Age from which the state of a roll-out is not acted upon, in seconds."""
_HEARD_S: Final = 1.0
"""Time for which a daemon that reported counts as present, in seconds."""

REJECTED_PREFIX: Final = "rejected: "
"""Start of the reason of an order that cannot be carried out."""


class KnownRollout:
    """An order and the state of its roll-out; all times are those of the boot clock, in seconds.

    Args:
        received: The order.
        now: Current time in seconds.
    """

    def __init__(self, received: ReceivedOrder, now: float) -> None:
        self.order = received.order
        """The order."""
        self.problem = received.problem
        """Why the order cannot be carried out; empty if it can."""
        self.is_only_version = False
        """Whether it names the version in force, beside which no other one serves."""
        self.is_validated = bool(received.problem)
        """Whether the order was checked against the operator's document."""
        self.state: RolloutState | None = None
        """Latest state; None until one is known."""
        self.proposal: RolloutState | None = None
        """Final state that this daemon wants to record; None if there is none."""
        self.is_recording = False
        """Whether a task records the proposal."""
        self.is_reporting_start = False
        """Whether a task has been started that tells the operator that the roll-out runs."""
        self.counter: EvidenceCounter | None = None
        """Counts what the upstream on this VM runs; None if that is not of the service."""
        self.counted_upstream: tuple[str, int] = ("", 0)
        """Id and start of the upstream that is counted."""
        self.is_sealed = False
        """Whether the baseline upstream on this VM has finished and gets no further request."""
        self.was_fresh = False
        """Whether the state was fresh when this was last logged."""
        self._ordered_at = now
        self._confirmed_at = -math.inf
        self._reported_at = -math.inf
        self._evaluator: RolloutEvaluator | None = None

    @property
    def phase(self) -> RolloutPhase | None:
        """Phase of the state; None if it is unknown."""
        return None if self.state is None else self.state.phase

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self.state is not None and self.state.phase.is_final

    @property
    def is_settled(self) -> bool:
        """Whether the roll-out has ended and the store has accepted that."""
        return self.state is not None and self.state.phase.is_final and self.state.is_recorded

    @property
    def evaluator(self) -> RolloutEvaluator | None:
        """Evaluator on this daemon, if it is one of those of the order."""
        return self._evaluator

    def names(self, version: str) -> bool:
        """Returns whether the order allows a version; one that was rejected allows none."""
        return not self.problem and version == self.order.target_version

    def age_s(self, now: float) -> float:
        """Returns the time since the order, in seconds."""
        return now - self._ordered_at

    def is_fresh(self, now: float) -> bool:
        """Returns whether the state may be acted upon."""
        return now - self._confirmed_at < LEASE_S

    def share(self, now: float) -> float:
        """Returns the fraction of the requests that goes to the canaries."""
        if self.state is None or self.is_final or not self.is_fresh(now):
            return 0.0
        return self.state.share

    def is_moved(self, now: float) -> bool:
        """Returns whether all requests go to the target version.

        They do so at the announced age, whether or not the phase is known to have changed.
        """
        return self.is_fresh(now) and self.was_moved_for_s(now) >= 0.0

    def was_moved_for_s(self, now: float) -> float:
        """Returns the time since all requests move to the target; negative until then."""
        state = self.state
        if state is None or state.phase.is_final or not state.promote_at_ms:
            return -math.inf
        return self.age_s(now) - state.promote_at_ms / 1000

    def on_report(self, now: float) -> None:
        """Records that another daemon takes this one for an evaluator."""
        self._reported_at = now

    def was_reported_to(self, now: float) -> bool:
        """Returns whether another daemon has just taken this one for an evaluator."""
        return now - self._reported_at < _HEARD_S

    def observe_age(self, age_s: float, now: float) -> None:
        """Records that another daemon saw the order some time ago.

        Args:
            age_s: Time since then, in seconds.
            now: Current time in seconds.
        """
        if now - age_s >= self._ordered_at:
            return
        self._ordered_at = now - age_s
        if self._evaluator is not None:
            state = self._evaluator.state(now)
            aged = msgspec.structs.replace(state, age_ms=int(age_s * 1000))
            self._evaluator.merge_state(aged, now)

    def merge(self, state: RolloutState, now: float) -> bool:
        """Merges a state of this order.

        Args:
            state: State from any daemon or the store.
            now: Current time in seconds.

        Returns:
            Whether anything but the age has changed.
        """
        known = self.state
        self._ordered_at = min(self._ordered_at, now - state.age_ms / 1000)
        # The age dates the evaluation, however many daemons have passed the state on.
        confirmed_at = min(now, self._ordered_at + state.age_ms / 1000)
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        self.state = merge_states(known, state)
        if self._evaluator is not None:
            self._evaluator.merge_state(state, now)
        return known is None or _without_age(known) != _without_age(self.state or state)

    def open_evaluator(self, bounds: RolloutBounds) -> RolloutEvaluator:
        """Returns the evaluator, which is created on first use.

        Args:
            bounds: Limits of the roll-out.
        """
        if self._evaluator is None:
            self._evaluator = RolloutEvaluator(self.order, bounds, self._ordered_at)
            if self.state is not None:
                self._evaluator.merge_state(self.state, self._ordered_at + self.state.age_ms / 1000)
        return self._evaluator

    def make_state(self, phase: RolloutPhase, reason: str, now: float) -> RolloutState:
        """Creates a state of this order.

        Args:
            phase: Its phase.
            reason: Why the roll-out is in this phase.
            now: Current time in seconds.
        """
        duration_s = self.order.duration_s
        return RolloutState(
            self.order.service,
            self.order.offset,
            self.order.target_version,
            int(duration_s * 1000) if math.isfinite(duration_s) else 0,
            max(0, int(self.age_s(now) * 1000)),
            phase,
            share=1.0 if phase is RolloutPhase.COMPLETED else 0.0,
            promote_at_ms=self.state.promote_at_ms if self.state else 0,
            reason=reason,
        )


def moves_requests(known: RolloutState, state: RolloutState) -> bool:
    """Returns whether requests go to other upstreams in a state than in the one before."""
    return (known.phase, known.canaries) != (state.phase, state.canaries)


def read_order(state: RolloutState) -> ReceivedOrder:
    """Returns the order that a state belongs to."""
    duration_s = state.duration_ms / 1000
    order = RolloutOrder(state.service, state.target_version, duration_s, state.order_offset)
    is_rejected = state.reason.startswith(REJECTED_PREFIX)
    return ReceivedOrder(order, state.reason.removeprefix(REJECTED_PREFIX) if is_rejected else "")


def _without_age(state: RolloutState) -> RolloutState:
    return msgspec.structs.replace(state, age_ms=0)
