"""Quotas per minute of log time on one customer's publications.

They bound the work that one customer's records can cause.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from fulmarstile_config.limits import FoldLimits

_MS_PER_MINUTE: Final = 60_000


class TeamUsage(msgspec.Struct, frozen=True, array_like=True):
    """Usage of one team within the current minute of log time."""

    team: str
    publications: int
    body_bytes: int


class QuotaState(msgspec.Struct, frozen=True, array_like=True):
    """Usage of a customer within the current minute of log time."""

    minute: int = 0
    verifications: int = 0
    teams: tuple[TeamUsage, ...] = ()


class QuotaMeter:
    """Counts a customer's usage per minute.

    The result depends on the records alone, so all replicas apply the quotas alike.
    """

    def __init__(self, limits: FoldLimits, state: QuotaState | None = None) -> None:
        self._limits = limits
        state = state or QuotaState()
        self._minute = state.minute
        self._verifications = state.verifications
        self._teams = {usage.team: usage for usage in state.teams}

    @property
    def state(self) -> QuotaState:
        """The usage so far, as stored in snapshots."""
        teams = tuple(self._teams[team] for team in sorted(self._teams))
        return QuotaState(self._minute, self._verifications, teams)

    def advance_to(self, appended_at_ms: int) -> None:
        """Resets the usage if a record was appended in another minute than the one before."""
        minute = appended_at_ms // _MS_PER_MINUTE
        if minute == self._minute:
            return
        self._minute = minute
        self._verifications = 0
        self._teams.clear()

    def describe_excess(self, team: str, body_bytes: int) -> str:
        """Returns why a publication exceeds a quota, or an empty string."""
        limits = self._limits
        usage = self._teams.get(team, TeamUsage(team, 0, 0))
        if usage.publications >= limits.publications_per_min:
            return f"team {team!r} has sent {usage.publications} publications within a minute"
        if usage.body_bytes + body_bytes > limits.body_bytes_per_min:
            return f"team {team!r} exceeds {limits.body_bytes_per_min} bytes within a minute"
        total = sum(other.body_bytes for other in self._teams.values())
        if total + body_bytes > limits.customer_body_bytes_per_min:
            return f"customer exceeds {limits.customer_body_bytes_per_min} bytes within a minute"
        if self._verifications >= limits.verifications_per_min:
            return f"customer has sent {self._verifications} publications within a minute"
        return ""

    def count_verification(self) -> None:
        """Counts one signature verified."""
        self._verifications += 1

    def count_publication(self, team: str, body_bytes: int) -> None:
        """Counts one verified publication of a team."""
        usage = self._teams.get(team, TeamUsage(team, 0, 0))
        self._teams[team] = TeamUsage(team, usage.publications + 1, usage.body_bytes + body_bytes)
