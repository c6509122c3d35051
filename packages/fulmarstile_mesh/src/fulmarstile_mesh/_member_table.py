"""Mergeable table of members, their upstreams and their applied versions."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from fulmarstile_mesh.view import is_running

if TYPE_CHECKING:
    from fulmarstile_wire.records import AppliedRecord, MemberRecord, UpstreamRecord


class MergeResult(enum.Enum):
    """How a received record compares with the table."""

    NEWER = "newer"
    SAME = "same"
    STALE = "stale"
    IGNORED = "ignored"


class MemberTable:
    """Keeps the newest record of each member, upstream and applied version.

    Merging is commutative and idempotent.
    """

    def __init__(self) -> None:
        self.members: dict[str, MemberRecord] = {}
        self.upstreams: dict[str, UpstreamRecord] = {}
        self.applied: dict[tuple[str, str], AppliedRecord] = {}
        self.version = 0
        """Version number, incremented whenever a member record changes."""
        self._applied_customers: dict[str, set[str]] = {}
        self._ended_at: dict[str, float] = {}
        self._applied_changed_at: dict[tuple[str, str], float] = {}

    def merge_member(self, record: MemberRecord, now: float) -> MergeResult:
        """Merges a member record."""
        known = self.members.get(record.daemon_id)
        if known is None and not is_running(record):
            return MergeResult.IGNORED
        if known is not None:
            result = _compare(
                (record.incarnation, record.status), (known.incarnation, known.status)
            )
            if result is not MergeResult.NEWER:
                return result
        self.version += 1
        self.members[record.daemon_id] = record
        if is_running(record):
            self._ended_at.pop(record.daemon_id, None)
        else:
            self._ended_at[record.daemon_id] = now
        return MergeResult.NEWER

    def merge_upstream(self, record: UpstreamRecord) -> MergeResult:
        """Merges an upstream record."""
        if record.daemon_id not in self.members:
            return MergeResult.IGNORED
        known = self.upstreams.get(record.daemon_id)
        if known is not None:
            result = _compare(
                (record.incarnation, record.sequence), (known.incarnation, known.sequence)
            )
            if result is not MergeResult.NEWER:
                return result
        self.upstreams[record.daemon_id] = record
        return MergeResult.NEWER

    def merge_applied(self, record: AppliedRecord, now: float) -> MergeResult:
        """Merges an applied-version record."""
        if record.daemon_id not in self.members:
            return MergeResult.IGNORED
        key = (record.daemon_id, record.customer)
        known = self.applied.get(key)
        if known is not None:
            result = _compare(
                (record.incarnation, record.version), (known.incarnation, known.version)
            )
            if result is not MergeResult.NEWER:
                return result
        self.applied[key] = record
        self._applied_customers.setdefault(record.daemon_id, set()).add(record.customer)
        self._applied_changed_at[key] = now
        return MergeResult.NEWER

    def list_applied(self, daemon_id: str) -> list[AppliedRecord]:
        """Returns the applied versions of a daemon, sorted by customer."""
        customers = sorted(self._applied_customers.get(daemon_id, ()))
        return [self.applied[daemon_id, customer] for customer in customers]

    def applied_changed_at(self, daemon_id: str, customer: str) -> float:
        """Returns the local time at which an applied version last changed; 0 if none is known."""
        return self._applied_changed_at.get((daemon_id, customer), 0.0)

    def expire(self, before: float) -> list[str]:
        """Removes members that died or left before a time.

        Args:
            before: Time, in seconds.

        Returns:
            Sorted ids of the removed members.
        """
        expired = sorted(
            daemon_id for daemon_id, ended_at in self._ended_at.items() if ended_at < before
        )
        for daemon_id in expired:
            self._remove(daemon_id)
        return expired

    def _remove(self, daemon_id: str) -> None:
        self.version += 1
        del self.members[daemon_id]
        del self._ended_at[daemon_id]
        self.upstreams.pop(daemon_id, None)
        for customer in sorted(self._applied_customers.pop(daemon_id, ())):
            del self.applied[daemon_id, customer]
            del self._applied_changed_at[daemon_id, customer]


def _compare(received: tuple[int, int], known: tuple[int, int]) -> MergeResult:
    if received > known:
        return MergeResult.NEWER
    if received == known:
        return MergeResult.SAME
    return MergeResult.STALE
