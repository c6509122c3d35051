"""The order for a roll-out, the upstreams that serve meanwhile, and how states are merged."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_wire.errors import FulmarstileError
from fulmarstile_wire.rollouts import RolloutPhase, RolloutState

if TYPE_CHECKING:
    from collections.abc import Collection

_PHASE_RANKS: Final = {
    RolloutPhase.CANARY: 0,
    RolloutPhase.PROMOTED: 1,
    RolloutPhase.COMPLETED: 2,
    RolloutPhase.ROLLED_BACK: 3,
}
"""Order of the phases; a roll-back that is not recorded yet wins, because it exposes nobody."""
_RECORDED_RANK: Final = 4
"""Rank of a final phase that the store has accepted."""


class RolloutOrderError(FulmarstileError):
    """The operator's order for a roll-out cannot be carried out."""


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Order to move a service's traffic to a version of its upstreams."""

    service: str
    target_version: str
    duration_s: float
    """Time from the order to its deadline, in seconds."""
    offset: int
    """Offset of the order's record in the store, which identifies the order."""

    def validate(self, services: Collection[str]) -> None:
        """Checks that the order can be carried out.

        Args:
            services: Names of the known services.

        Raises:
            RolloutOrderError: The version is empty, the duration is not positive and finite, or
                the service is unknown.
        """
        if not self.target_version:
            raise RolloutOrderError("the target version is empty")
        if not math.isfinite(self.duration_s) or self.duration_s <= 0.0:
            raise RolloutOrderError(f"the duration of {self.duration_s} s is not positive")
        if self.service not in services:
            raise RolloutOrderError(f"service {self.service!r} is unknown")


@dataclass(frozen=True, slots=True)
class ServingUpstream:
    """An upstream of the service that takes new requests."""

    daemon: str
    """Name of the daemon beside it."""
    upstream_id: str
    version: str
    slots: int
    zone: str = ""
    is_cold: bool = False
    """Whether it still warms up, so that its latency says nothing about its version."""


@dataclass(frozen=True, slots=True)
class ServicePool:
    """All upstreams of a service that take new requests, and are reachable."""

    upstreams: tuple[ServingUpstream, ...]

    def list_target(self, version: str) -> list[ServingUpstream]:
        """Returns the upstreams of a version, by the name of the daemon."""
        found = [upstream for upstream in self.upstreams if upstream.version == version]
        return sorted(found, key=lambda upstream: upstream.daemon)

    def list_baseline(self, version: str) -> list[ServingUpstream]:
        """Returns the upstreams of every other version, by the name of the daemon."""
        found = [upstream for upstream in self.upstreams if upstream.version != version]
        return sorted(found, key=lambda upstream: upstream.daemon)


def merge_states(known: RolloutState | None, other: RolloutState | None) -> RolloutState | None:
    """Merges two states of roll-outs of a service; the order of the merges does not matter.

    The newer order wins. Within an order, the phase only advances, a final state that the store
    has recorded stands, and the later of two announced promotions holds. Within the canary phase
    the older state's share and canaries are replaced.

    Args:
        known: One state; None if unknown.
        other: Another state; None if unknown.

    Returns:
        The merged state; None if both are unknown.
    """
    if known is None or other is None:
        return known or other
    if known.order_offset != other.order_offset:
        return max(known, other, key=lambda state: state.order_offset)
    return max(known, other, key=_rank_state)


def _rank_state(state: RolloutState) -> tuple[int, int, int, float, tuple[str, ...], str]:
    rank = _PHASE_RANKS[state.phase]
    if state.is_recorded and state.phase.is_final:
        rank = _RECORDED_RANK
    # The store accepts one decision, so a recorded roll-back and completion never exist both.
    return rank, state.promote_at_ms, state.age_ms, state.share, state.canaries, state.reason
