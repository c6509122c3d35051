"""Which records of a keyed topic a reader knows, and which it has skipped."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection

MAX_READ_BACK_RECORDS: Final = 16
"""Records at the end of a topic that are read back at most. A write that takes effect late, behind
newer ones, is done within seconds."""
_MIN_READ_BACK_RECORDS: Final = 4
_READ_BACK_BYTES: Final = 1 << 20
"""Size of these records from which fewer of them are read back, in bytes."""


class TopicProgress:
    """Tracks the part of a topic that is known.

    The newest record of a key by its position need not hold the newest version: a write that the
    store delayed may follow it. So what a read of the newest records skips is unread until it was
    read back, or until another reader tells that it knows it.

    It is read back from its end: over a slow link, all of it takes longer than a version may, and a
    hidden version is mostly close to the record that hides it.
    """

    def __init__(self) -> None:
        self._next_offset: int | None = None
        self._unread: list[range] = []
        self._skipped_end = 0
        self._needs_copy = False

    @property
    def next_offset(self) -> int | None:
        """Offset at which reading continues; None before the first read."""
        return self._next_offset

    @property
    def unread(self) -> range:
        """Offsets from the first to the last one of which a record may be unknown."""
        if not self._unread:
            return range(0)
        return range(self._unread[0].start, self._unread[-1].stop)

    @property
    def is_complete(self) -> bool:
        """Whether all records before `next_offset` are known."""
        return self._next_offset is not None and not self._unread and not self._needs_copy

    def choose_read_back(self, count: int) -> int:
        """Returns the offset at which to read back next; there must be unread records.

        Args:
            count: Number of records that one read returns, at least one.
        """
        last = self._unread[-1]
        return max(last.start, last.stop - count)

    def on_newest(self, offsets: Collection[int], end_offset: int, record_bytes: int = 0) -> None:
        """Notes a read of the newest record of each key.

        Args:
            offsets: Offsets of the records that were returned.
            end_offset: Offset at which the topic ended.
            record_bytes: Size of the largest of these records, in bytes.
        """
        count = _READ_BACK_BYTES // max(1, record_bytes)
        count = max(_MIN_READ_BACK_RECORDS, min(MAX_READ_BACK_RECORDS, count))
        limit = max(0, end_offset - count)
        known_offset = self._next_offset or 0
        self._needs_copy |= limit > known_offset or any(each.start < limit for each in self._unread)
        self.on_read_back(limit)
        start = max(limit, known_offset)
        stop = end_offset
        while stop - 1 in offsets:
            stop -= 1
        if start < stop:
            self._unread.append(range(start, stop))
        self._skipped_end = stop
        self.on_read(end_offset)

    def on_read(self, next_offset: int) -> None:
        """Notes a read of all records from `next_offset` on.

        Args:
            next_offset: Offset behind the last of them.
        """
        self._next_offset = max(self._next_offset or 0, next_offset)

    def on_read_back(self, next_offset: int, from_offset: int = 0) -> None:
        """Notes a read of unread records.

        Args:
            next_offset: Offset behind the last of them, or of the oldest one that is left.
            from_offset: Offset of the first of them; by default all before are known.
        """
        parts = [
            part
            for each in self._unread
            for part in (
                range(each.start, min(each.stop, from_offset)),
                range(max(each.start, next_offset), each.stop),
            )
        ]
        self._unread = [part for part in parts if part]

    def on_expired(self, offset: int, first_offset: int | None) -> None:
        """Notes that unread records have expired.

        Args:
            offset: Offset of one of them.
            first_offset: Offset of the oldest record that is left; None if unknown.
        """
        self._needs_copy = True
        self.on_read_back(max(first_offset or 0, offset + 1))

    def on_copy(self) -> None:
        """Notes that a copy was read of what has expired."""
        self._needs_copy = False

    def on_told(self, known_offset: int) -> None:
        """Notes that another reader knows all records before an offset.

        Args:
            known_offset: The offset.
        """
        self.on_read_back(known_offset)
        self._needs_copy &= known_offset < self._skipped_end
        if self._next_offset is not None:
            self.on_read(known_offset)
