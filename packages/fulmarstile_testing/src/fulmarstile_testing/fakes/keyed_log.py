"""In-memory store of keyed topics with outages."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fulmarstile_platform.keyed_log import (
    MAX_READ_BYTES,
    KeyedPage,
    KeyedRecord,
    LogConflictError,
    RecordsExpiredError,
)
from fulmarstile_platform.log import LogUnavailableError
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Sequence


class _Content:
    def __init__(self) -> None:
        self.topics: dict[str, list[KeyedRecord]] = {}
        self.first_offsets: dict[str, int] = {}
        self.changed = trio.Event()


class FakeKeyedLog:
    """Implements `KeyedLog`; the daemons of a test share its content.

    Args:
        shared: Store whose content this one shares; `is_down` and the counts are not shared.
    """

    def __init__(self, shared: FakeKeyedLog | None = None) -> None:
        self._content = shared._content if shared else _Content()
        self.is_down = False
        """Whether every call fails."""
        self.reads = 0
        """Number of reads that were answered."""
        self.records_read = 0
        """Number of records returned by these reads."""
        self.appends = 0
        """Number of appends that took effect."""

    async def read_newest(self, topic: str) -> KeyedPage:
        """See `KeyedLog.read_newest`."""
        await self._check_available()
        records = self._content.topics.get(topic, [])
        newest = {record.key: record for record in records}
        self.reads += 1
        self.records_read += len(newest)
        return KeyedPage(tuple(newest.values()), len(records))

    async def read_keyed(
        self, topic: str, offset: int, wait_s: float, max_bytes: int = MAX_READ_BYTES
    ) -> KeyedPage:
        """See `KeyedLog.read_keyed`."""
        await self._check_available()
        with trio.move_on_after(wait_s):
            while len(self._content.topics.get(topic, [])) <= offset:
                await self._content.changed.wait()
                await self._check_available()
        first = self._content.first_offsets.get(topic, 0)
        if offset < first:
            raise RecordsExpiredError(f"{topic}: the records from {offset} on are gone", first)
        records = self._content.topics.get(topic, [])
        if offset > len(records):
            raise RecordsExpiredError(f"{topic}: ends at {len(records)}, before {offset}")
        later = records[offset:]
        found = _limit_size(later, max_bytes)
        self.reads += 1
        self.records_read += len(found)
        return KeyedPage(tuple(found), offset + len(found), len(found) < len(later))

    async def read_end(self, topic: str) -> int:
        """See `KeyedLog.read_end`."""
        await self._check_available()
        self.reads += 1
        return len(self._content.topics.get(topic, []))

    async def append_keyed(self, topic: str, key: str, value: bytes, at: int | None = None) -> None:
        """See `KeyedLog.append_keyed`."""
        await self._check_available()
        end = len(self._content.topics.get(topic, []))
        if at is not None and at != end:
            raise LogConflictError(end)
        self.put(topic, key, value)

    def end_silent_reads(self, topic: str, silent_s: float) -> None:
        """See `KeyedLog.end_silent_reads`; reads of the fake are never silent."""

    def move(self, address: str) -> None:
        """See `KeyedLog.move`; the fake has no address."""

    async def append_together(self, topic: str, records: Sequence[KeyedRecord]) -> None:
        """See `KeyedLog.append_together`."""
        await self._check_available()
        for record in records:
            self.put(topic, record.key, record.value)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record, even while the store is down."""
        records = self._content.topics.setdefault(topic, [])
        records.append(KeyedRecord(key, value, len(records)))
        self.appends += 1
        self.wake()

    def lose_last(self, topic: str, count: int) -> None:
        """Loses the last records of a topic, so that their offsets are given out again."""
        del self._content.topics[topic][-count:]

    def list_records(self, topic: str) -> list[KeyedRecord]:
        """Returns all records of a topic, also while the store is down."""
        return list(self._content.topics.get(topic, []))

    def list_readable(self, topic: str) -> list[KeyedRecord]:
        """Returns the records that have not expired, and the newest one of each key."""
        records = self.list_records(topic)
        newest = {record.key: record.offset for record in records}
        first = self._content.first_offsets.get(topic, 0)
        return [
            each for each in records if each.offset in {*newest.values()} or each.offset >= first
        ]

    def forget_history(self, topic: str, before: int | None = None) -> None:
        """Expires all records before an offset except the newest of each key.

        Args:
            topic: Name of the topic.
            before: The offset; by default the end of the topic.
        """
        end = len(self._content.topics.get(topic, []))
        self._content.first_offsets[topic] = end if before is None else before

    def wake(self) -> None:
        """Wakes waiting reads, which check again for records and outages."""
        event, self._content.changed = self._content.changed, trio.Event()
        event.set()

    async def _check_available(self) -> None:
        await trio.lowlevel.checkpoint()
        if self.is_down:
            raise LogUnavailableError("the store is down", Verdict.NOT_RUN)


def _limit_size(records: list[KeyedRecord], max_bytes: int) -> list[KeyedRecord]:
    """Returns the leading records that fit into a number of bytes, but at least one."""
    size = 0
    for count, record in enumerate(records):
        size += len(record.value)
        if size > max_bytes:
            return records[: max(1, count)]
    return records
