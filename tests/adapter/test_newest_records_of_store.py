"""The newest records of the platform's store are read in full, whatever lies before its end."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio

from fulmarstile_adapter.store import open_store_client
from fulmarstile_adapter_testing.store import StoreStandIn, serve_store
from fulmarstile_daemon.services._newest_records import read_all_newest

if TYPE_CHECKING:
    from fulmarstile_platform.http_server import HttpRequest

TOPIC = "keyed.test"
MAX_CALLS = 4
"""Calls for one read of all records: the newest ones and the rest, each once more after expiry."""


class NewestRecordsOfStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = StoreStandIn()
        for key in ("a", "b"):
            self.store.put(TOPIC, key, b"1")

    def read(self) -> dict[str, bytes]:
        """Reads all records, and appends one on condition that there is no other."""

        async def run() -> dict[str, bytes]:
            async with serve_store(self.store) as address, open_store_client(address) as client:
                page = await read_all_newest(client, TOPIC)
                self.assertLessEqual(len(self.store.calls), MAX_CALLS)
                await client.append_keyed(TOPIC, "last", b"1", at=page.next_offset)
                return {record.key: record.value for record in page.records if record.value}

        return trio.run(run)

    def test_records_up_to_the_end_take_one_call(self) -> None:
        self.assertEqual(self.read(), {"a": b"1", "b": b"1"})
        self.assertEqual(self.store.calls, ["/v1/log-newest", "/v1/log-append"])

    def test_removed_keys_before_the_end_are_read_once(self) -> None:
        self.store.put(TOPIC, "b", b"")
        self.assertEqual(self.read(), {"a": b"1"})

    def test_removed_keys_before_the_end_may_have_expired(self) -> None:
        self.store.put(TOPIC, "b", b"")
        self.store.expire_history(TOPIC)
        self.assertEqual(self.read(), {"a": b"1"})

    def test_a_topic_of_which_nothing_is_left_is_read(self) -> None:
        for key in ("a", "b"):
            self.store.put(TOPIC, key, b"")
        self.store.expire_history(TOPIC)
        self.assertEqual(self.read(), {})

    def test_an_unknown_topic_is_empty(self) -> None:
        self.store = StoreStandIn()
        self.assertEqual(self.read(), {})

    def test_a_record_that_the_newest_ones_lack_is_read(self) -> None:
        answer = self.store.answer
        newest = trio.run(self.answer_newest)
        self.store.put(TOPIC, "c", b"1")
        newest = newest.replace(b'"EndOffset":2', b'"EndOffset":3')

        async def answer_without_last(request: HttpRequest) -> object:
            reply = await answer(request)
            return type(reply)(200, newest) if request.path == "/v1/log-newest" else reply

        self.store.answer = answer_without_last
        self.assertEqual(self.read(), {"a": b"1", "b": b"1", "c": b"1"})

    async def answer_newest(self) -> bytes:
        """Returns the body of the store's answer with the newest records."""
        partition = self.store._get_partition(TOPIC, "0")
        return self.store._read_newest(partition, "").body


if __name__ == "__main__":
    unittest.main()
