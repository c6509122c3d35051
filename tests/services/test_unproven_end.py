"""Nothing is taken for the newest because of a read that may lack a version."""

from __future__ import annotations

import math
import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_testing.builders.documents import make_document_reader
from fulmarstile_testing.fakes.collected_records import CollectedRecords
from fulmarstile_testing.fakes.odd_keyed_log import OddKeyedLog, StrictKeyedLog

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_platform.keyed_log import KeyedRecord

TOPIC = "keyed.documents"
KEY = "document"
APPLY_S = 2.0
"""Time within which the newest version must be known, in seconds."""
STEP_S = 0.005
RECORDS = 4
LARGE_BYTES = 169_000
REST_S = 10.0
HASTY_S = 10.0
MAX_CALLS_PER_S = 13
"""Ten early answers of the poll each second, and those of the read back."""


class UnprovenEndTest(unittest.TestCase):
    def test_a_version_is_not_confirmed_as_a_store_answers_early_for_the_records_before_it(
        self,
    ) -> None:
        """Guards against a read back that gives up, and one that never pauses."""
        store = OddKeyedLog()
        seen: list[bytes] = []
        confirmed: list[bytes] = []
        calls: list[int] = []

        def collect(records: Iterable[KeyedRecord]) -> None:
            seen.extend(record.value for record in records)

        async def run() -> None:
            for value in (b"45", b"44"):
                store.put(TOPIC, KEY, value)
            store.is_hasty = True
            documents = CollectedRecords(collect)
            reader = make_document_reader(documents, TOPIC)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(reader.run, store)
                await trio.sleep(HASTY_S)
                calls.append(store.calls)
                store.is_hasty = False
                self.assertEqual(seen, [b"44"])
                self.assertEqual(documents.freshness.age_s(documents.clock()), math.inf)
                await trio.sleep(APPLY_S)
                confirmed.extend(seen)
                self.assertTrue(math.isfinite(documents.freshness.age_s(documents.clock())))
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(set(confirmed), {b"44", b"45"})
        self.assertLess(calls[0], MAX_CALLS_PER_S * HASTY_S)

    def test_a_version_is_not_confirmed_by_newest_records_whose_end_is_beyond_them(self) -> None:
        """Guards against use of a key that the lacking version has taken away (StrictRevoke)."""
        store = OddKeyedLog()
        seen: list[bytes] = []
        confirmed: list[bytes] = []

        def collect(records: Iterable[KeyedRecord]) -> None:
            seen.extend(record.value for record in records)

        async def run() -> None:
            for value in (b"44", b"45"):
                store.put(TOPIC, KEY, value)
            store.hidden.add(1)
            documents = CollectedRecords(collect)
            reader = make_document_reader(documents, TOPIC)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(reader.run, store)
                with trio.move_on_after(APPLY_S):
                    while True:
                        await trio.sleep(STEP_S)
                        age_s = documents.freshness.age_s(documents.clock())
                        if seen and math.isfinite(age_s):
                            confirmed.append(seen[-1])
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(set(confirmed), {b"45"})

    def test_records_larger_than_a_read_are_not_taken_for_known(self) -> None:
        """Guards against an empty answer that counts as a read of all that was skipped."""
        store = StrictKeyedLog()
        seen: set[int] = set()
        documents = CollectedRecords(lambda records: seen.update(each.offset for each in records))
        reader = make_document_reader(documents, TOPIC)

        async def run() -> None:
            for number in range(RECORDS):
                store.put(TOPIC, KEY, b"%d" % number * LARGE_BYTES)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(reader.run, store)
                await trio.sleep(REST_S)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual((seen, documents.next_offset), (set(range(RECORDS)), RECORDS))


if __name__ == "__main__":
    unittest.main()
