"""Ownership of a shard by conditional appends to a topic of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_services.quotas.plan import GRANTING_S, LEASE_S, RENEWAL_S, TAKEOVER_S
from fulmarstile_wire.quotas import OwnerRecord

if TYPE_CHECKING:
    from collections.abc import Iterable


class ShardOwnership:
    """Decides when a daemon may append a record of its ownership, and when it may grant.

    The topic holds only records of this shard, so an append at the offset that was read last
    fails if another daemon appended in between.

    Args:
        name: Name of this daemon.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._record: OwnerRecord | None = None
        self._end_offset: int | None = None
        self._changed_at = 0.0
        self._sent_at = float("-inf")
        self._epoch = 0
        self._is_owner = False

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
    def follows_earlier_owner(self) -> bool:
        """Whether the shard had an owner before, whose shares may still be in use."""
        return self._epoch > 1

    def may_grant(self, now: float) -> bool:
        """Returns whether this daemon owns the shard and may grant tokens."""
        return self._is_owner and now < self._sent_at + GRANTING_S

    def on_read(self, records: Iterable[OwnerRecord], end_offset: int, now: float) -> None:
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
            self._record = record
            self._changed_at = now
            if (record.owner, record.epoch) != (self._name, self._epoch):
                self._is_owner = False

    def forget_offset(self) -> None:
        """Lets the topic be read from its newest record, because its records have expired."""
        self._end_offset = None

    def next_record(self, now: float, *, is_candidate: bool) -> OwnerRecord | None:
        """Returns the record to append at the known end of the topic; None for none.

        Args:
            now: Current time, in seconds.
            is_candidate: Whether this daemon should own the shard if no other one does.
        """
        if self._end_offset is None:
            return None
        if self._is_owner:
            is_due = now >= self._sent_at + RENEWAL_S
            return OwnerRecord(self._name, self._epoch) if is_due else None
        if not is_candidate:
            return None
        record = self._record
        if record is None:
            return OwnerRecord(self._name, 1)
        free_after_s = LEASE_S if record.is_released else TAKEOVER_S
        if now < self._changed_at + free_after_s:
            return None
        return OwnerRecord(self._name, record.epoch + 1)

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
        self._end_offset = at + 1
        self._record = record
        self._changed_at = now
        self._sent_at = sent_at
        self._epoch = record.epoch
        self._is_owner = not record.is_released

    def release(self) -> OwnerRecord | None:
        """Stops granting; returns the record that gives up the shard, None if not owned."""
        if not self._is_owner:
            return None
        self._is_owner = False
        return OwnerRecord(self._name, self._epoch, is_released=True)
