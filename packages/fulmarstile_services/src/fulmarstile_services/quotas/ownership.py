"""Ownership of a shard by conditional appends to a topic of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_services.quotas.holders import EarlierShares
from fulmarstile_services.quotas.plan import (
    CLOCK_MARGIN_S,
    GRANTING_S,
    LEASE_S,
    RENEWAL_S,
    SHARE_LIFETIME_S,
    TAKEOVER_S,
)
from fulmarstile_wire.quotas import HoldersRecord, OwnerRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class ShardOwnership:
    """Decides when a daemon may append a record of its ownership, and when it may grant.

    The topic holds only records of this shard, so an append at the offset that was read last
    fails if another daemon appended in between. For the same reason the next owner has read every
    list of share holders that an earlier one has written.

    Args:
        name: Name of this daemon.
        incarnation: Start of this daemon.
    """

    def __init__(self, name: str, incarnation: int = 0) -> None:
        self._name = name
        self._incarnation = incarnation
        self._record: OwnerRecord | None = None
        self._end_offset: int | None = None
        self._changed_at = 0.0
        self._ended_at: float | None = None
        self._sent_at = float("-inf")
        self._epoch = 0
        self._is_owner = False
        self._holders: HoldersRecord | None = None
        self._list_read_at = 0.0
        self._is_list_readable = True
        self._lists_holders = False
        self._earlier_shares: EarlierShares | None = None

    @property
    def name(self) -> str:
        """Name of this daemon."""
        return self._name

    @property
    def epoch(self) -> int:
        """Epoch in which this daemon owns the shard, or owned it last; 0 for none."""
        return self._epoch

    @property
    def end_offset(self) -> int | None:
        """Offset at which the topic ends as far as known; None before the first read."""
        return self._end_offset

    @property
    def owner(self) -> str:
        """Daemon that owns the shard as far as known; empty if none does."""
        if self._record is None or self._record.is_released:
            return ""
        return self._record.owner

    @property
    def earlier_shares(self) -> EarlierShares | None:
        """Shares that were in use when this daemon acquired the shard; None if it was the first."""
        return self._earlier_shares

    def may_grant(self, now: float) -> bool:
        """Returns whether this daemon owns the shard and may grant tokens."""
        return self._is_owner and now < self._sent_at + GRANTING_S

    def on_read(
        self, records: Iterable[OwnerRecord | HoldersRecord], end_offset: int, now: float
    ) -> None:
        """Processes the records up to an offset.

        Args:
            records: Records in the order of their offsets.
            end_offset: Offset after the last one.
            now: Time at which the read returned, in seconds.
        """
        if self._end_offset is not None and end_offset <= self._end_offset:
            return
        self._end_offset = end_offset
        for record in records:
            if isinstance(record, HoldersRecord):
                self._set_holders(record, now)
                continue
            self._set_record(record, now)
            if (record.owner, record.epoch) != (self._name, self._epoch):
                self._is_owner = False

    def on_unreadable_holders(self) -> None:
        """Processes that the newest list of share holders is malformed."""
        self._is_list_readable = False

    def forget_offset(self) -> None:
        """Lets the topic be read from its newest record, because its records have expired."""
        self._end_offset = None

    def next_record(
        self,
        now: float,
        *,
        is_candidate: bool,
        find_incarnation: Callable[[str], int] = lambda _: 0,
    ) -> OwnerRecord | None:
        """Returns the record to append at the known end of the topic; None for none.

        Args:
            now: Current time, in seconds.
            is_candidate: Whether this daemon should own the shard if no other one does.
            find_incarnation: Returns the incarnation in which a daemon is known to have been
                started; 0 if it is unknown.
        """
        if self._end_offset is None:
            return None
        if self._is_owner:
            is_due = now >= self._sent_at + RENEWAL_S
            return self._make_record(self._epoch, self._lists_holders) if is_due else None
        if not is_candidate:
            return None
        record = self._record
        if record is None:
            return self._make_record(1, lists_holders=True)
        if self._ended_at is None and 0 < record.incarnation < find_incarnation(record.owner):
            self._ended_at = now
        if now < self._find_free_at(record):
            return None
        lists_holders = record.lists_holders and self._is_list_readable
        return self._make_record(record.epoch + 1, lists_holders)

    def on_appended(self, record: OwnerRecord, at: int, sent_at: float, now: float) -> None:
        """Processes a successful append.

        Args:
            record: The record.
            at: Its offset.
            sent_at: Time at which the append was sent, in seconds.
            now: Current time, in seconds.
        """
        if self._end_offset is not None and self._end_offset > at + 1:
            # Another daemon has appended a later record, which has been read already.
            return
        if record.epoch != self._epoch:
            self._lists_holders = record.lists_holders and self._is_list_readable
            if record.epoch > 1:
                self._earlier_shares = self._find_earlier_shares()
        self._end_offset = at + 1
        self._set_record(record, now)
        self._sent_at = sent_at
        self._epoch = record.epoch
        # While the append was under way, this daemon may have been taken for a later process.
        is_current = record.incarnation in (0, self._incarnation)
        self._is_owner = is_current and not record.is_released

    def on_holders_appended(self, record: HoldersRecord, at: int, now: float) -> bool:
        """Processes a successful append of a list of share holders.

        Args:
            record: The record.
            at: Its offset.
            now: Current time, in seconds.

        Returns:
            Whether it is the newest list, and this daemon still owns the shard.
        """
        if not self._is_owner or self._end_offset is None or self._end_offset > at + 1:
            return False
        self._end_offset = at + 1
        self._set_holders(record, now)
        self._lists_holders = True
        return True

    def release(self) -> OwnerRecord | None:
        """Stops granting; returns the record that gives up the shard, None if not owned."""
        if not self._is_owner:
            return None
        self._is_owner = False
        return self._make_record(self._epoch, self._lists_holders, is_released=True)

    def restart(self, incarnation: int) -> None:
        """Stops granting, because other daemons take this one for a process started later.

        Args:
            incarnation: Start of this daemon as written to its record now.
        """
        self._incarnation = incarnation
        self._is_owner = False

    def _set_record(self, record: OwnerRecord, now: float) -> None:
        earlier, self._record = self._record, record
        self._changed_at = now
        # Daemons that are started at the same time have the same incarnation.
        is_same_process = earlier is not None and (earlier.owner, earlier.incarnation) == (
            record.owner,
            record.incarnation,
        )
        if not is_same_process:
            self._ended_at = None

    def _set_holders(self, record: HoldersRecord, now: float) -> None:
        self._holders = record
        self._list_read_at = now
        self._is_list_readable = True

    def _find_free_at(self, record: OwnerRecord) -> float:
        """Returns the time from which no token of the record's owner is valid, in seconds."""
        if record.is_released:
            return self._changed_at + LEASE_S
        free_at = self._changed_at + TAKEOVER_S
        return free_at if self._ended_at is None else min(free_at, self._ended_at + LEASE_S)

    def _make_record(
        self, epoch: int, lists_holders: bool, *, is_released: bool = False
    ) -> OwnerRecord:
        return OwnerRecord(self._name, epoch, is_released, lists_holders, self._incarnation)

    def _find_earlier_shares(self) -> EarlierShares:
        """Returns what is known of earlier shares when the shard is acquired."""
        holders = () if self._holders is None else self._holders.holders
        last_grant_at = self._changed_at + GRANTING_S
        return EarlierShares(
            holders if self._lists_holders else None,
            self._list_read_at,
            last_grant_at + SHARE_LIFETIME_S + CLOCK_MARGIN_S,
        )
