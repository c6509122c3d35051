"""State of the log stand-in: streams, retention, capacity and failure switches; no I/O."""

from __future__ import annotations

from collections import Counter, deque
from typing import Final

import msgspec

from fulmarstile_platform.log import LogPage, LogRecord

DEFAULT_RETENTION_S: Final = 86_400.0
DEFAULT_APPENDS_PER_S: Final = 500.0
_MS_PER_S: Final = 1000


class LogSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """Failures that the log is made to show."""

    outage: bool = False
    """Whether every request fails without an answer."""
    delay_ms: int = 0
    """Time by which every answer is late."""
    lose_next_answers: int = 0
    """Appends whose answer is lost after they took effect."""
    max_appends_per_s: float = DEFAULT_APPENDS_PER_S
    retention_s: float = DEFAULT_RETENTION_S


class LogCounts(msgspec.Struct, frozen=True):
    """What the log was asked for since it started."""

    reads: int
    appends: int
    refused_appends: int
    reads_per_stream: dict[str, int]
    appends_per_stream: dict[str, int]


class LogStore:
    """Streams of records kept in memory for the retention time.

    Args:
        switches: Initial switches.
    """

    def __init__(self, switches: LogSwitches | None = None) -> None:
        self.switches = switches or LogSwitches()
        self._streams: dict[str, _Stream] = {}
        self._appends: Counter[str] = Counter()
        self._reads: Counter[str] = Counter()
        self._refused_appends = 0
        self._tokens = self.switches.max_appends_per_s
        self._tokens_at = 0.0

    @property
    def counts(self) -> LogCounts:
        """What the log was asked for since it started."""
        return LogCounts(
            reads=self._reads.total(),
            appends=self._appends.total(),
            refused_appends=self._refused_appends,
            reads_per_stream=dict(sorted(self._reads.items())),
            appends_per_stream=dict(sorted(self._appends.items())),
        )

    def append(self, name: str, payload: bytes, now: float) -> int | None:
        """Appends a record.

        Args:
            name: Name of the stream.
            payload: Bytes of the record.
            now: Time of the log's clock, in seconds.

        Returns:
            Offset of the record, or None if the log is at its capacity.
        """
        if not self._take_token(now):
            self._refused_appends += 1
            return None
        self._appends[name] += 1
        return self._stream(name).append(payload, round(now * _MS_PER_S))

    def read(self, name: str, offset: int, limit: int, now: float) -> LogPage:
        """Reads the records of a stream that are still kept.

        Args:
            name: Name of the stream.
            offset: First offset wanted.
            limit: Most records to return.
            now: Time of the log's clock, in seconds.

        Returns:
            The page.
        """
        oldest_ms = round((now - self.switches.retention_s) * _MS_PER_S)
        return self._stream(name).read(offset, limit, oldest_ms)

    def count_read(self, name: str) -> None:
        """Counts one request to read a stream."""
        self._reads[name] += 1

    def forget(self) -> None:
        """Loses all streams; offsets start at 0 again."""
        self._streams.clear()

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _take_token(self, now: float) -> bool:
        rate = self.switches.max_appends_per_s
        gained = max(0.0, now - self._tokens_at) * rate
        self._tokens = min(rate, self._tokens + gained)
        self._tokens_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class _Stream:
    """Records of one stream, consecutive in offset."""

    def __init__(self) -> None:
        self._records: deque[LogRecord] = deque()
        self._end_offset = 0

    def append(self, payload: bytes, now_ms: int) -> int:
        record = LogRecord(self._end_offset, payload, now_ms)
        self._records.append(record)
        self._end_offset += 1
        return record.offset

    def read(self, offset: int, limit: int, oldest_ms: int) -> LogPage:
        while self._records and self._records[0].appended_at_ms < oldest_ms:
            self._records.popleft()
        first = self._records[0].offset if self._records else self._end_offset
        start = max(offset, first) - first
        stop = min(len(self._records), start + limit)
        records = tuple(self._records[index] for index in range(start, stop))
        return LogPage(records, first, self._end_offset)
