"""Daemons limit their store reads: in a burst of writes, and in a large fleet."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_daemon.services._notice_merger import NoticeMerger
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_daemon.services.membership import MEMBERS_TOPIC, Membership
from fulmarstile_services.directory import Directory
from fulmarstile_services.store_readers import READERS_PER_ZONE, SMALL_FLEET_SIZE, is_reader
from fulmarstile_testing.builders.documents import make_document_reader
from fulmarstile_testing.builders.services import make_member
from fulmarstile_testing.fakes.collected_records import CollectedRecords
from fulmarstile_testing.fakes.keyed_log import FakeKeyedLog
from fulmarstile_wire.services import MemberPhase, encode_member

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_platform.keyed_log import KeyedRecord

TOPIC = "keyed.documents"
KEY = "document"
BURST = 50
BURST_INTERVAL_S = 0.1
LATE_S = 2.0
"""Time within which the newest record must be known, in seconds."""
DOCUMENT_BYTES = 90_000
WITHIN_PAUSE_S = 0.1
"""Delay that is still within the pause after a document of this size, in seconds."""
MAX_READ_INTERVAL_S = 40.0
"""Longest time between reads of a daemon that leaves reading to others, in seconds."""
ZONES = ("zone-a", "zone-b")


def make_document(number: int) -> bytes:
    return b"%09d" % number * (DOCUMENT_BYTES // 9)


def make_fleet(count: int) -> list[Directory]:
    members = [
        make_member(f"daemon-{number}", availability_zone=ZONES[number % len(ZONES)])
        for number in range(count)
    ]
    directories = [Directory(member) for member in members]
    for directory in directories:
        directory.merge_members(members)
    return directories


def find_readers(fleet: list[Directory], unreachable: frozenset[str] = frozenset()) -> list[str]:
    return [
        directory.local_member.name
        for directory in fleet
        if directory.local_member.name not in unreachable
        and is_reader(directory, lambda name: name not in unreachable)
    ]


class BurstTest(unittest.TestCase):
    def test_a_burst_of_records_takes_few_reads_and_the_newest_is_known_soon(self) -> None:
        store = FakeKeyedLog()
        seen: list[tuple[float, bytes]] = []

        def collect(records: Iterable[KeyedRecord]) -> None:
            seen.extend((trio.current_time(), record.value) for record in records)

        reader = make_document_reader(CollectedRecords(collect), TOPIC)

        async def run() -> None:
            store.put(TOPIC, KEY, b"first")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(reader.run, store)
                await trio.sleep(5.0)
                for number in range(BURST):
                    store.put(TOPIC, KEY, b"%d" % number)
                    await trio.sleep(BURST_INTERVAL_S)
                ended_at = trio.current_time()
                await trio.sleep(LATE_S)
                self.assertEqual(seen[-1][1], b"%d" % (BURST - 1))
                self.assertLessEqual(seen[-1][0] - ended_at, LATE_S)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertLess(store.reads, BURST / 2)
        self.assertLessEqual(store.records_read, 1 + BURST)

    def test_the_newest_of_the_versions_written_during_a_pause_is_read_before_the_others(
        self,
    ) -> None:
        store = FakeKeyedLog()
        seen: list[bytes] = []
        reads: list[tuple[float, int]] = []

        def collect(records: Iterable[KeyedRecord]) -> None:
            seen.extend(record.value for record in records)
            if make_document(7) in seen:
                reads.append((trio.current_time(), store.records_read))

        reader = make_document_reader(CollectedRecords(collect), TOPIC)

        async def run() -> None:
            store.put(TOPIC, KEY, make_document(0))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(reader.run, store)
                await trio.sleep(5.0)
                store.put(TOPIC, KEY, make_document(1))
                await trio.sleep(WITHIN_PAUSE_S)
                self.assertEqual(seen[-1], make_document(1))
                store.records_read = 0
                put_at = trio.current_time()
                for number in range(2, 8):
                    store.put(TOPIC, KEY, make_document(number))
                await trio.sleep(LATE_S)
                nursery.cancel_scope.cancel()
                known_at, records_read = reads[0]
                self.assertLessEqual(known_at - put_at, LATE_S)
                self.assertLessEqual(records_read, 3)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(set(seen), {make_document(number) for number in range(8)})
        self.assertLessEqual(store.records_read, 3 + 5)


class ReadersTest(unittest.TestCase):
    def test_all_daemons_of_a_small_fleet_read_the_store(self) -> None:
        self.assertEqual(len(find_readers(make_fleet(SMALL_FLEET_SIZE))), SMALL_FLEET_SIZE)

    def test_a_few_daemons_of_each_availability_zone_read_in_a_large_fleet(self) -> None:
        fleet = make_fleet(80)
        readers = find_readers(fleet)
        self.assertEqual(len(readers), READERS_PER_ZONE * len(ZONES))
        zones = {
            directory.local_member.name: directory.local_member.availability_zone
            for directory in fleet
        }
        self.assertEqual({zones[name] for name in readers}, set(ZONES))

    def test_other_daemons_replace_readers_that_are_unreachable(self) -> None:
        fleet = make_fleet(80)
        unreachable = frozenset(find_readers(fleet))
        self.assertEqual(len(find_readers(fleet, unreachable)), READERS_PER_ZONE * len(ZONES))

    def test_a_daemon_that_is_not_a_reader_reads_the_store_rarely(self) -> None:
        store = FakeKeyedLog()
        directory = Directory(make_member("own"))
        log = EventLog("d-1")
        membership = Membership(directory, NoticeMerger(directory, log), log, lambda: None)
        membership.is_reader = lambda: False

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(membership.follow, store)
                await membership.is_caught_up.wait()
                for number in range(60):
                    member = make_member(f"daemon-{number}", phase=MemberPhase.ABSENT)
                    store.put(MEMBERS_TOPIC, member.name, encode_member(member))
                    await trio.sleep(1.0)
                await trio.sleep(MAX_READ_INTERVAL_S)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertLess(store.reads, 10)
        self.assertEqual(len(directory.members), 1 + 60)


if __name__ == "__main__":
    unittest.main()
