"""Store whose answers are odd but allowed."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_platform.keyed_log import MAX_READ_BYTES, KeyedPage, RecordsExpiredError
from fulmarstile_testing.fakes.keyed_log import FakeKeyedLog

if TYPE_CHECKING:
    from fulmarstile_platform.keyed_log import KeyedRecord

_ANSWER_S: Final = 0.004
"""Time that each answer takes, in seconds."""


class OddKeyedLog(FakeKeyedLog):
    """Store that can be told to give odd answers."""

    def __init__(self) -> None:
        super().__init__()
        self.hidden: set[int] = set()
        """Offsets whose records the newest records lack, though their end is beyond them."""
        self.expires_all = False
        """Whether all records count as expired, and those that are still to come."""
        self.is_hasty = False
        """Whether reads return at once, without a record."""
        self.claims_more = False
        """Whether such reads claim that there are more records."""
        self.calls = 0
        """Reads that were begun."""

    async def read_newest(self, topic: str) -> KeyedPage:
        """See `KeyedLog.read_newest`."""
        await self._begin_call()
        page = await super().read_newest(topic)
        newest: dict[str, KeyedRecord] = {}
        for record in self.list_records(topic):
            if record.offset not in self.hidden:
                newest[record.key] = record
        return replace(page, records=tuple(newest.values()))

    async def read_keyed(
        self, topic: str, offset: int, wait_s: float, max_bytes: int = MAX_READ_BYTES
    ) -> KeyedPage:
        """See `KeyedLog.read_keyed`."""
        await self._begin_call()
        if self.expires_all:
            await self._check_available()
            raise RecordsExpiredError(f"{topic}: the records from {offset} on are gone")
        if self.is_hasty:
            await self._check_available()
            return KeyedPage((), offset, self.claims_more)
        return await super().read_keyed(topic, offset, wait_s, max_bytes)

    async def _begin_call(self) -> None:
        self.calls += 1
        await trio.sleep(_ANSWER_S)


class StrictKeyedLog(FakeKeyedLog):
    """Store that returns no record which is larger than the read."""

    async def read_keyed(
        self, topic: str, offset: int, wait_s: float, max_bytes: int = MAX_READ_BYTES
    ) -> KeyedPage:
        """See `KeyedLog.read_keyed`."""
        page = await super().read_keyed(topic, offset, wait_s, max_bytes)
        if sum(len(record.value) for record in page.records) > max_bytes:
            return KeyedPage((), offset, has_more=True)
        return page
