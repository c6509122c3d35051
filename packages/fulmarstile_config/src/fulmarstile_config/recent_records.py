"""Bounded buffer of the newest raw records of a stream."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_config.limits import FoldLimits
    from fulmarstile_wire.records import StreamRecord


class RecentRecords:
    """Newest records of a stream, at consecutive offsets.

    Args:
        limits: Limits on the number and size of the records kept.
    """

    def __init__(self, limits: FoldLimits) -> None:
        self._max_records = limits.recent_records
        self._max_bytes = limits.recent_record_bytes
        self._records: deque[StreamRecord] = deque()
        self._bytes = 0

    @property
    def first_offset(self) -> int | None:
        """Offset of the oldest record kept, or None."""
        return self._records[0].offset if self._records else None

    @property
    def end_offset(self) -> int:
        """Offset after the newest record kept, or 0."""
        return self._records[-1].offset + 1 if self._records else 0

    def append(self, record: StreamRecord) -> None:
        """Adds the newest record; drops all others if it is not at the next offset."""
        if self._records and record.offset != self._records[-1].offset + 1:
            self.clear()
        self._records.append(record)
        self._bytes += len(record.payload)
        while len(self._records) > self._max_records or self._bytes > self._max_bytes:
            self._bytes -= len(self._records.popleft().payload)

    def clear(self) -> None:
        """Drops all records."""
        self._records.clear()
        self._bytes = 0

    def find(self, offset: int) -> StreamRecord | None:
        """Returns the record at an offset, or None if it is not kept."""
        first = self.first_offset
        if first is None or not first <= offset < first + len(self._records):
            return None
        return self._records[offset - first]

    def from_offset(self, offset: int) -> tuple[StreamRecord, ...]:
        """Returns the records kept at an offset and after it."""
        return tuple(record for record in self._records if record.offset >= offset)
