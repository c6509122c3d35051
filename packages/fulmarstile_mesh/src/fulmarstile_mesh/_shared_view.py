"""The replicated membership view and the news about it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from fulmarstile_mesh._member_table import MemberTable, MergeResult
from fulmarstile_mesh._news_queue import NewsPriority, NewsQueue
from fulmarstile_mesh._quarantine_table import QuarantineTable
from fulmarstile_mesh._view_digest import ViewDigest, find_bucket
from fulmarstile_mesh.view import is_running
from fulmarstile_wire.records import (
    AppliedRecord,
    MemberRecord,
    MemberStatus,
    UpstreamRecord,
    UpstreamStatus,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from fulmarstile_mesh._news_queue import NewsRecord
    from fulmarstile_mesh.settings import MembershipSettings
    from fulmarstile_wire.records import News, QuarantineRecord


@dataclass(slots=True)
class MergeSummary:
    """What a merge has changed."""

    members: list[MemberRecord] = field(default_factory=list)
    """Records of other members that were taken over."""
    newer_count: int = 0
    """Records of any kind that were taken over."""
    upstreams_changed: bool = False
    stale: list[NewsRecord] = field(default_factory=list)
    """Own records that are newer than the received ones."""
    challenge: MemberRecord | None = None
    """Received record that wrongly describes the local daemon."""

    @property
    def is_visible(self) -> bool:
        """Whether members or upstreams changed."""
        return bool(self.members) or self.upstreams_changed


class SharedView:
    """Merges received records, and queues what was new for the other peers."""

    def __init__(self, settings: MembershipSettings, own: MemberRecord) -> None:
        self.table = MemberTable()
        self.queue = NewsQueue()
        self.crashes = QuarantineTable(settings.quarantine_s, settings.quarantine_limit)
        self.digest = ViewDigest(self.table)
        self._own_id = own.daemon_id
        self._others: list[MemberRecord] = []
        self._others_version = -1
        self.put_member(own, NewsPriority.NORMAL, 0.0)

    @property
    def own(self) -> MemberRecord:
        """Record of the local daemon."""
        return self.table.members[self._own_id]

    def list_others(self) -> list[MemberRecord]:
        """Returns the running members besides the local daemon."""
        if self._others_version != self.table.version:
            self._others_version = self.table.version
            self._others = [
                record
                for daemon_id, record in self.table.members.items()
                if daemon_id != self._own_id and is_running(record)
            ]
        return self._others

    def put_member(self, record: MemberRecord, priority: NewsPriority, now: float) -> bool:
        """Takes over a record of local origin; returns whether it was newer."""
        if self.table.merge_member(record, now) is not MergeResult.NEWER:
            return False
        self.digest.mark_changed(record.daemon_id)
        self.queue.add(record, priority)
        return True

    def put_upstream(self, record: UpstreamRecord) -> None:
        """Takes over an upstream's record of local origin."""
        if self.table.merge_upstream(record) is MergeResult.NEWER:
            self.digest.mark_changed(record.daemon_id)
            self.queue.add(record, _rate_upstream(record))

    def put_applied(self, record: AppliedRecord, now: float) -> None:
        """Takes over an applied version of local origin."""
        if self.table.merge_applied(record, now) is MergeResult.NEWER:
            self.digest.mark_changed(record.daemon_id)
            self.queue.add(record, NewsPriority.LOW)

    def put_crash(self, record: QuarantineRecord, now: float) -> None:
        """Takes over a crash report of local origin."""
        if self.crashes.merge(record, now):
            self.queue.add(record, NewsPriority.URGENT)

    def merge(self, news: News, source: str, now: float) -> MergeSummary:
        """Merges received news.

        Args:
            news: Records received.
            source: Member that sent them.
            now: Current time, in seconds.

        Returns:
            What was changed.
        """
        summary = MergeSummary()
        for member in news.members:
            self._merge_member(member, source, now, summary)
        for upstream in news.upstreams:
            self._merge_upstream(upstream, source, summary)
        for applied in news.applied:
            self._merge_applied(applied, source, now, summary)
        for crash in news.quarantine:
            if self.crashes.merge(crash, now):
                self.queue.add(crash, NewsPriority.URGENT, source)
        return summary

    def list_records(self, buckets: Collection[int] | None, now: float) -> list[NewsRecord]:
        """Returns the records of running members.

        Args:
            buckets: Buckets of the digest to restrict the list to; None for all, with the crash
                reports.
            now: Current time, in seconds.

        Returns:
            The records, a member's before those that refer to it.
        """
        records: list[NewsRecord] = []
        for daemon_id, member in sorted(self.table.members.items()):
            if not is_running(member):
                continue
            if buckets is None or find_bucket(daemon_id) in buckets:
                records += self.list_records_of(daemon_id)
        if buckets is None:
            records += self.crashes.list_records(now)
        return records

    def list_records_of(self, daemon_id: str) -> list[NewsRecord]:
        """Returns all records about one daemon, its member record first."""
        member = self.table.members.get(daemon_id)
        if member is None:
            return []
        records: list[NewsRecord] = [member]
        upstream = self.table.upstreams.get(daemon_id)
        if upstream is not None:
            records.append(upstream)
        records += self.table.list_applied(daemon_id)
        return records

    def expire(self, tombstones_before: float, now: float) -> None:
        """Forgets members that ended before a time, and expired crash reports."""
        for daemon_id in self.table.expire(tombstones_before):
            self.digest.mark_changed(daemon_id)
        self.crashes.expire(now)

    def _merge_member(
        self, record: MemberRecord, source: str, now: float, summary: MergeSummary
    ) -> None:
        if record.daemon_id == self._own_id:
            self._check_own(record, summary)
            return
        is_known = record.daemon_id in self.table.members
        result = self.table.merge_member(record, now)
        if result is MergeResult.NEWER:
            self.digest.mark_changed(record.daemon_id)
            self.queue.add(record, _rate_member(record, is_known), source)
            summary.members.append(record)
            summary.newer_count += 1
            return
        self._note_known(result, record, source, summary)

    def _check_own(self, record: MemberRecord, summary: MergeSummary) -> None:
        own = (self.own.incarnation, self.own.status)
        if (record.incarnation, record.status) > own:
            summary.challenge = record
        elif (record.incarnation, record.status) < own:
            summary.stale.append(self.own)

    def _merge_upstream(self, record: UpstreamRecord, source: str, summary: MergeSummary) -> None:
        result = self.table.merge_upstream(record)
        if result is MergeResult.NEWER:
            self.digest.mark_changed(record.daemon_id)
            self.queue.add(record, _rate_upstream(record), source)
            summary.upstreams_changed = True
            summary.newer_count += 1
            return
        self._note_known(result, record, source, summary)

    def _merge_applied(
        self, record: AppliedRecord, source: str, now: float, summary: MergeSummary
    ) -> None:
        result = self.table.merge_applied(record, now)
        if result is MergeResult.NEWER:
            self.digest.mark_changed(record.daemon_id)
            self.queue.add(record, NewsPriority.LOW, source)
            summary.newer_count += 1
            return
        self._note_known(result, record, source, summary)

    def _note_known(
        self, result: MergeResult, record: NewsRecord, source: str, summary: MergeSummary
    ) -> None:
        if result is MergeResult.SAME:
            self.queue.drop(record, source)
        elif result is MergeResult.STALE:
            summary.stale.append(self._get_newer(record))

    def _get_newer(self, record: NewsRecord) -> NewsRecord:
        match record:
            case UpstreamRecord():
                return self.table.upstreams[record.daemon_id]
            case AppliedRecord():
                return self.table.applied[record.daemon_id, record.customer]
            case _:
                return soften(self.table.members[record.daemon_id])


def soften(record: MemberRecord) -> MemberRecord:
    """Turns a death into a suspicion.

    A member that lives beyond a partition can refute it before anybody there drops it.
    """
    if record.status is not MemberStatus.DEAD:
        return record
    return msgspec.structs.replace(record, status=MemberStatus.SUSPECT)


def _rate_member(record: MemberRecord, is_known: bool) -> NewsPriority:
    if is_known or record.status is not MemberStatus.ALIVE:
        return NewsPriority.URGENT
    return NewsPriority.NORMAL


def _rate_upstream(record: UpstreamRecord) -> NewsPriority:
    if record.status is UpstreamStatus.READY:
        return NewsPriority.NORMAL
    return NewsPriority.URGENT
