"""The replicated membership view and the queue of its updates."""

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
    """Result of a merge."""

    members: list[MemberRecord] = field(default_factory=list)
    """Accepted records of other members."""
    newer_count: int = 0
    """Number of accepted member, upstream and applied-version records."""
    upstreams_changed: bool = False
    stale: list[NewsRecord] = field(default_factory=list)
    """Local records that are newer than the received ones, to be sent back."""
    record_to_refute: MemberRecord | None = None
    """Received record that claims a newer, wrong state of the local daemon."""

    @property
    def members_or_upstreams_changed(self) -> bool:
        """Whether a record of another member or of an upstream was accepted."""
        return bool(self.members) or self.upstreams_changed


class SharedView:
    """Merges received records and queues the new ones for the other peers."""

    def __init__(self, settings: MembershipSettings, local_record: MemberRecord) -> None:
        self.table = MemberTable()
        self.queue = NewsQueue()
        self.crashes = QuarantineTable(settings.quarantine_s, settings.quarantine_limit)
        self.digest = ViewDigest(self.table)
        self._local_id = local_record.daemon_id
        self._other_members: list[MemberRecord] = []
        self._other_members_version = -1
        self.put_member(local_record, NewsPriority.NORMAL, 0.0)

    @property
    def local_record(self) -> MemberRecord:
        """Record of the local daemon."""
        return self.table.members[self._local_id]

    def list_other_members(self) -> list[MemberRecord]:
        """Returns the running members other than the local daemon."""
        if self._other_members_version != self.table.version:
            self._other_members_version = self.table.version
            self._other_members = [
                record
                for daemon_id, record in self.table.members.items()
                if daemon_id != self._local_id and is_running(record)
            ]
        return self._other_members

    def put_member(self, record: MemberRecord, priority: NewsPriority, now: float) -> bool:
        """Stores and queues a locally created member record; returns whether it was newer."""
        if self.table.merge_member(record, now) is not MergeResult.NEWER:
            return False
        self.digest.mark_changed(record.daemon_id)
        self.queue.add(record, priority)
        return True

    def put_upstream(self, record: UpstreamRecord) -> None:
        """Stores and queues a locally created upstream record."""
        if self.table.merge_upstream(record) is MergeResult.NEWER:
            self.digest.mark_changed(record.daemon_id)
            self.queue.add(record, _get_upstream_priority(record))

    def put_applied(self, record: AppliedRecord, now: float) -> None:
        """Stores and queues a locally created applied-version record."""
        if self.table.merge_applied(record, now) is MergeResult.NEWER:
            self.digest.mark_changed(record.daemon_id)
            self.queue.add(record, NewsPriority.LOW)

    def put_crash(self, record: QuarantineRecord, now: float) -> None:
        """Stores and queues a locally created crash report."""
        if self.crashes.merge(record, now):
            self.queue.add(record, NewsPriority.URGENT)

    def merge(self, news: News, source: str, now: float) -> MergeSummary:
        """Merges received news.

        Args:
            news: Records received.
            source: Member that sent them.
            now: Current time, in seconds.

        Returns:
            The summary of the merge.
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
            buckets: Digest buckets to restrict the list to; None for all members and the crash
                reports.
            now: Current time, in seconds.

        Returns:
            The records; each member record precedes the records that refer to it.
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
        """Returns all records of one daemon, starting with its member record."""
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
        """Removes members that died or left before a time, and expired crash reports."""
        for daemon_id in self.table.expire(tombstones_before):
            self.digest.mark_changed(daemon_id)
        self.crashes.expire(now)

    def _merge_member(
        self, record: MemberRecord, source: str, now: float, summary: MergeSummary
    ) -> None:
        if record.daemon_id == self._local_id:
            self._compare_with_local(record, summary)
            return
        is_known = record.daemon_id in self.table.members
        result = self.table.merge_member(record, now)
        if result is MergeResult.NEWER:
            self.digest.mark_changed(record.daemon_id)
            self.queue.add(record, _get_member_priority(record, is_known), source)
            summary.members.append(record)
            summary.newer_count += 1
            return
        self._handle_not_newer(result, record, source, summary)

    def _compare_with_local(self, record: MemberRecord, summary: MergeSummary) -> None:
        local_record = (self.local_record.incarnation, self.local_record.status)
        if (record.incarnation, record.status) > local_record:
            summary.record_to_refute = record
        elif (record.incarnation, record.status) < local_record:
            summary.stale.append(self.local_record)

    def _merge_upstream(self, record: UpstreamRecord, source: str, summary: MergeSummary) -> None:
        result = self.table.merge_upstream(record)
        if result is MergeResult.NEWER:
            self.digest.mark_changed(record.daemon_id)
            self.queue.add(record, _get_upstream_priority(record), source)
            summary.upstreams_changed = True
            summary.newer_count += 1
            return
        self._handle_not_newer(result, record, source, summary)

    def _merge_applied(
        self, record: AppliedRecord, source: str, now: float, summary: MergeSummary
    ) -> None:
        result = self.table.merge_applied(record, now)
        if result is MergeResult.NEWER:
            self.digest.mark_changed(record.daemon_id)
            self.queue.add(record, NewsPriority.LOW, source)
            summary.newer_count += 1
            return
        self._handle_not_newer(result, record, source, summary)

    def _handle_not_newer(
        self, result: MergeResult, record: NewsRecord, source: str, summary: MergeSummary
    ) -> None:
        if result is MergeResult.SAME:
            self.queue.drop(record, source)
        elif result is MergeResult.STALE:
            summary.stale.append(self._get_stored(record))

    def _get_stored(self, record: NewsRecord) -> NewsRecord:
        match record:
            case UpstreamRecord():
                return self.table.upstreams[record.daemon_id]
            case AppliedRecord():
                return self.table.applied[record.daemon_id, record.customer]
            case _:
                return downgrade_dead_to_suspect(self.table.members[record.daemon_id])


def downgrade_dead_to_suspect(record: MemberRecord) -> MemberRecord:
    """Returns the record with the status DEAD replaced by SUSPECT.

    A member that is alive on the other side of a network partition can refute a suspicion before
    the members on its side remove it.
    """
    if record.status is not MemberStatus.DEAD:
        return record
    return msgspec.structs.replace(record, status=MemberStatus.SUSPECT)


def _get_member_priority(record: MemberRecord, is_known: bool) -> NewsPriority:
    if is_known or record.status is not MemberStatus.ALIVE:
        return NewsPriority.URGENT
    return NewsPriority.NORMAL


def _get_upstream_priority(record: UpstreamRecord) -> NewsPriority:
    if record.status is UpstreamStatus.READY:
        return NewsPriority.NORMAL
    return NewsPriority.URGENT
