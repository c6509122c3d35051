"""Observes whether daemons reject for good although a version is missing, or never do again."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import trio

if TYPE_CHECKING:
    from fulmarstile_testing.observed_fleet import Incarnation, ObservedFleet

_INTERVAL_S: Final = 0.1
_MAX_MISSING_S: Final = 5.0
"""Time from which on no trouble excuses it: 2.8 s without contact, and what answers are late by."""
_END_S: Final = 2.0
"""Time at the end of a case in which a daemon must have rejected for good again, in seconds."""


@dataclass(frozen=True, slots=True)
class _Claim:
    """A daemon that lacked a version and would have answered 404."""

    incarnation: Incarnation
    at: float
    version: int
    """Version in force."""


class ContactObserver:
    """Looks at all daemons at an interval.

    Args:
        fleet: The fleet.
        apply_s: Time after its acknowledgement from which a version must be in force, in seconds.
    """

    def __init__(self, fleet: ObservedFleet, apply_s: float) -> None:
        self._fleet = fleet
        self._apply_s = apply_s
        self._claims: list[_Claim] = []
        self._certain_at: dict[str, float] = {}

    async def run(self) -> None:
        """Observes, until cancelled."""
        while True:
            await trio.sleep(_INTERVAL_S)
            now = trio.current_time()
            for each in self._fleet.list_running():
                routes = each.node.daemon.routes
                if routes.table is None or routes.is_outdated:
                    continue
                self._certain_at[each.name] = now
                if any(self._list_missing(each, routes.table.version, now)):
                    self._claims.append(_Claim(each, now, routes.table.version))

    def list_false(self) -> list[str]:
        """Lists the daemons that would have answered 404 while a due version was missing."""
        found: dict[int, str] = {}
        for claim in self._claims:
            name = claim.incarnation.name
            for version in self._list_missing(claim.incarnation, claim.version, claim.at):
                acknowledged_at = self._fleet.acknowledged_at[version]
                due_at = self._fleet.due_at(claim.incarnation, acknowledged_at + self._apply_s)
                if not self._is_wrong(acknowledged_at, due_at, claim.at):
                    continue
                found.setdefault(
                    id(claim.incarnation),
                    f"{name}: 404 at {claim.at:.2f} with version {claim.version}, though {version} "
                    f"was acknowledged at {acknowledged_at:.2f}, due at {due_at:.2f}",
                )
        return list(found.values())

    def list_uncertain(self) -> list[str]:
        """Lists the daemons that still don't answer 404, long after all troubles."""
        since = trio.current_time() - _END_S
        if not self._fleet.is_newest_usable():
            return []
        return [
            f"{each.name}: 503 instead of 404 from {self._certain_at.get(each.name, 0.0):.2f} on"
            for each in self._fleet.list_running()
            if self._certain_at.get(each.name, 0.0) < since
        ]

    def _list_missing(self, incarnation: Incarnation, version: int, now: float) -> list[int]:
        """Lists the newer versions that may be due at a daemon."""
        fleet = self._fleet
        first_at = now - self._apply_s
        return [
            newer
            for newer in range(version + 1, fleet.version + 1)
            if fleet.acknowledged_at[newer] < first_at
        ]

    def _is_wrong(self, acknowledged_at: float, due_at: float, at: float) -> bool:
        return at > due_at or at > acknowledged_at + _MAX_MISSING_S
