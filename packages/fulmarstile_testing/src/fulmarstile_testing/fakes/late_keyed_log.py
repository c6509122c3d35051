"""Store that does appends late, without an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fulmarstile_platform.keyed_log import KeyedRecord
from fulmarstile_platform.log import LogUnavailableError
from fulmarstile_testing.fakes.keyed_log import FakeKeyedLog
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Sequence


class LateKeyedLog(FakeKeyedLog):
    """Store whose appends to some topics are done only when the test says so.

    Args:
        shared: Store whose content this one shares.
    """

    def __init__(self, shared: FakeKeyedLog | None = None) -> None:
        super().__init__(shared)
        self.late_topics: set[str] = set()
        """Topics to which appends get no answer."""
        self._late: list[tuple[str, Sequence[KeyedRecord], int | None]] = []

    async def append_keyed(self, topic: str, key: str, value: bytes, at: int | None = None) -> None:
        """See `KeyedLog.append_keyed`."""
        if topic in self.late_topics:
            await self._keep(topic, (KeyedRecord(key, value),), at)
        await super().append_keyed(topic, key, value, at)

    async def append_together(self, topic: str, records: Sequence[KeyedRecord]) -> None:
        """See `KeyedLog.append_together`."""
        if topic in self.late_topics:
            await self._keep(topic, records, None)
        await super().append_together(topic, records)

    def do_late(self) -> None:
        """Does the appends that got no answer, if their condition still holds."""
        for topic, records, at in self._late:
            if at is None or at == len(self.list_records(topic)):
                for record in records:
                    self.put(topic, record.key, record.value)
        self._late.clear()

    async def _keep(self, topic: str, records: Sequence[KeyedRecord], at: int | None) -> None:
        await trio.lowlevel.checkpoint()
        self._late.append((topic, records, at))
        raise LogUnavailableError("no answer", Verdict.MAY_HAVE_RUN)
