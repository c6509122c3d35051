"""A read of the newest records in several pages, with changes between the pages, lacks none."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_daemon.services._newest_records import find_proven_end, read_all_newest
from fulmarstile_platform.keyed_log import MAX_READ_BYTES, KeyedPage, KeyedRecord
from fulmarstile_testing.fakes.keyed_log import FakeKeyedLog

TOPIC = "keyed.topic"


class ChangingLog(FakeKeyedLog):
    """Store that is changed between the pages of a read of the newest records.

    The end is that of the first page, which lacks the record at offset 1.
    """

    async def read_newest(self, topic: str) -> KeyedPage:
        """See `KeyedLog.read_newest`."""
        await trio.lowlevel.checkpoint()
        first, _, changed = self.list_records(topic)
        return KeyedPage((first, changed), 2)

    async def read_keyed(
        self, topic: str, offset: int, wait_s: float, max_bytes: int = MAX_READ_BYTES
    ) -> KeyedPage:
        """See `KeyedLog.read_keyed`; returns one record."""
        return await super().read_keyed(topic, offset, wait_s, max_bytes=1)


class NewestRecordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = ChangingLog()
        for key, value in (("a", b"1"), ("b", b"2"), ("b", b"3")):
            self.store.put(TOPIC, key, value)

    def test_a_record_from_a_later_page_does_not_prove_the_end_of_the_first(self) -> None:
        """The record lacking in the first page may be of a key that no later page names."""
        page = trio.run(self.store.read_newest, TOPIC)
        self.assertEqual(find_proven_end(page, -1), 1)

    def test_a_record_that_is_read_once_more_does_not_replace_a_newer_one(self) -> None:
        page = trio.run(read_all_newest, self.store, TOPIC)
        newest = {record.key: record.value for record in page.records}
        self.assertEqual(newest, {"a": b"1", "b": b"3"})

    def test_nothing_is_proven_by_a_page_without_records(self) -> None:
        self.assertEqual(find_proven_end(KeyedPage((), 5), -1), 0)

    def test_expired_records_are_not_asked_for_again(self) -> None:
        page = KeyedPage((KeyedRecord("a", b"1", 3),), 9)
        self.assertEqual(find_proven_end(page, -1), 4)
        self.assertEqual(find_proven_end(page, 4), 9)


if __name__ == "__main__":
    unittest.main()
