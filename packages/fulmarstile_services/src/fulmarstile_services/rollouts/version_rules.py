"""Which versions of a service's upstreams may receive requests, apart from a running roll-out."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from fulmarstile_wire.rollouts import RolloutPhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_wire.services import Member

HOLD_S: Final = 2.5
"""Time for which a version that no order names receives nothing, in seconds.

Its order may still be in transit.
"""
_RECHECK_S: Final = 0.25
"""Interval at which a daemon that waits for the operator's orders checks again, in seconds."""


@dataclass(frozen=True, slots=True)
class VersionRules:
    """What the past roll-outs of a service say about its versions."""

    excluded: frozenset[str] = frozenset()
    """Versions that were rolled back, and that no later order has named."""
    only: str | None = None
    """Version of the last completed roll-out, beside which no other serves; None for any."""

    def allows(self, version: str) -> bool:
        """Returns whether a version may receive requests without a roll-out of its own."""
        return version not in self.excluded and self.only in (None, version)

    def on_order(self, target: str) -> VersionRules:
        """Returns the rules after an order has named a version."""
        return replace(self, excluded=self.excluded - {target})

    def on_final(self, target: str, phase: RolloutPhase) -> VersionRules:
        """Returns the rules after a roll-out has ended.

        Args:
            target: Its target version.
            phase: Its final phase.
        """
        if phase is RolloutPhase.COMPLETED:
            return VersionRules(self.excluded - {target}, target)
        if target in ("", self.only):
            # An order that names the version in force must not take the service down.
            return self
        return replace(self, excluded=self.excluded | {target})


class SeenVersions:
    """Versions of one service's upstreams, and from when on each may serve without an order.

    Args:
        started_ms: Start of the daemon, in milliseconds since the epoch.
    """

    def __init__(self, started_ms: int) -> None:
        self._started_ms = started_ms
        self._serves_from: dict[str, float] = {}

    def observe(self, members: Iterable[Member], now: float, *, orders_known: bool) -> list[str]:
        """Records the versions that serve.

        The versions that serve when a daemon starts are not held, except those that started about
        when it did. While the operator's orders are unknown, only the oldest version counts as
        having served before.

        Args:
            members: Daemons beside the upstreams of the service.
            now: Current time in seconds.
            orders_known: Whether the operator's orders were read since the start.

        Returns:
            The versions that are held from now on.
        """
        born: dict[str, int] = {}
        for member in members:
            version = member.upstream_version
            born[version] = min(member.upstream_born_ms, born.get(version, member.upstream_born_ms))
        held = []
        is_first = not self._serves_from
        for version in sorted(set(born) - set(self._serves_from), key=lambda each: born[each]):
            is_old = born[version] < self._started_ms - HOLD_S * 1000
            is_settled = not self._serves_from or (is_first and is_old and orders_known)
            self._serves_from[version] = -math.inf if is_settled else now + HOLD_S
            if not is_settled:
                held.append(version)
        return held

    def is_held(self, version: str, now: float, *, orders_known: bool) -> bool:
        """Returns whether a version receives nothing unless an order names it.

        Args:
            version: The version.
            now: Current time in seconds.
            orders_known: Whether the operator's orders were read since the start; nothing is
                released before.
        """
        serves_from = self._serves_from.get(version, math.inf)
        return now < serves_from or (serves_from > -math.inf and not orders_known)

    def next_release(self, now: float, *, orders_known: bool) -> float:
        """Returns when to check again which versions are held.

        Args:
            now: Current time in seconds.
            orders_known: Whether the operator's orders were read since the start.

        Returns:
            The time in seconds; infinity if none is held.
        """
        if not orders_known and any(time > -math.inf for time in self._serves_from.values()):
            return now + _RECHECK_S
        return min((time for time in self._serves_from.values() if time > now), default=math.inf)
