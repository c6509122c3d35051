"""What daemons read from the store: little in a storm, and few of them in a large fleet."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_daemon.services._topic_follower import follow_topic
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_daemon.services.membership import MEMBERS_TOPIC, Membership
from fulmarstile_services.directory import Directory
from fulmarstile_services.store_readers import READERS_PER_ZONE, SMALL_FLEET_SIZE, is_reader
from fulmarstile_testing.builders.services import make_member
from fulmarstile_testing.fakes.keyed_log import FakeKeyedLog
from fulmarstile_wire.services import MemberPhase, encode_member

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_platform.keyed_log import KeyedRecord

TOPIC = "keyed.documents"
KEY = "document"
STORM = 50
STORM_GAP_S = 0.1
LATE_S = 2.0
"""Time in which the newest record must be known, in seconds."""
DOCUMENT_BYTES = 90_000
WITHIN_PAUSE_S = 0.1
"""Time within the pause after a document of this size, in seconds."""
SELDOM_AT_MOST_S = 40.0
"""Time after which a daemon that others read for has read by itself, in seconds."""
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


def find_readers(fleet: list[Directory], lost: frozenset[str] = frozenset()) -> list[str]:
    return [
        directory.local_member.name
        for directory in fleet
        if directory.local_member.name not in lost
        and is_reader(directory, lambda name: name not in lost)
    ]


class StormTest(unittest.TestCase):
    def test_a_storm_of_large_records_is_not_read_whole_and_the_newest_is_known_soon(self) -> None:
        store = FakeKeyedLog()
        seen: list[tuple[float, bytes]] = []

        def take(records: Iterable[KeyedRecord]) -> None:
            seen.extend((trio.current_time(), record.value) for record in records)

        async def run() -> None:
            store.put(TOPIC, KEY, b"first")
            async with trio.open_nursery() as nursery:
                log = EventLog("d-1")
                nursery.start_soon(lambda: follow_topic(store, TOPIC, take, log, latest_only=True))
                await trio.sleep(5.0)
                for number in range(STORM):
                    store.put(TOPIC, KEY, b"%d" % number)
                    await trio.sleep(STORM_GAP_S)
                ended_at = trio.current_time()
                await trio.sleep(LATE_S)
                self.assertEqual(seen[-1][1], b"%d" % (STORM - 1))
                self.assertLessEqual(seen[-1][0] - ended_at, LATE_S)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertLess(store.records_read, STORM / 2)

    def test_versions_that_came_during_a_pause_are_not_all_read_before_the_newest(self) -> None:
        store = FakeKeyedLog()
        seen: list[bytes] = []

        def take(records: Iterable[KeyedRecord]) -> None:
            seen.extend(record.value for record in records)

        async def run() -> None:
            store.put(TOPIC, KEY, make_document(0))
            async with trio.open_nursery() as nursery:
                log = EventLog("d-1")
                nursery.start_soon(lambda: follow_topic(store, TOPIC, take, log, latest_only=True))
                await trio.sleep(5.0)
                store.put(TOPIC, KEY, make_document(1))
                await trio.sleep(WITHIN_PAUSE_S)
                self.assertEqual(seen[-1], make_document(1))
                store.records_read = 0
                for number in range(2, 8):
                    store.put(TOPIC, KEY, make_document(number))
                await trio.sleep(LATE_S)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(seen[-1], make_document(7))
        self.assertLessEqual(store.records_read, 3)


class ReadersTest(unittest.TestCase):
    def test_all_daemons_of_a_small_fleet_read(self) -> None:
        self.assertEqual(len(find_readers(make_fleet(SMALL_FLEET_SIZE))), SMALL_FLEET_SIZE)

    def test_a_few_daemons_of_each_zone_read_for_a_large_fleet(self) -> None:
        fleet = make_fleet(80)
        readers = find_readers(fleet)
        self.assertEqual(len(readers), READERS_PER_ZONE * len(ZONES))
        zones = {
            directory.local_member.name: directory.local_member.availability_zone
            for directory in fleet
        }
        self.assertEqual({zones[name] for name in readers}, set(ZONES))

    def test_other_daemons_read_in_place_of_readers_out_of_reach(self) -> None:
        fleet = make_fleet(80)
        lost = frozenset(find_readers(fleet))
        self.assertEqual(len(find_readers(fleet, lost)), READERS_PER_ZONE * len(ZONES))

    def test_a_daemon_that_others_read_for_asks_the_store_seldom(self) -> None:
        store = FakeKeyedLog()
        directory = Directory(make_member("own"))
        membership = Membership(directory, EventLog("d-1"), lambda: None)
        membership.is_reader = lambda: False

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(membership.follow, store)
                await membership.is_caught_up.wait()
                for number in range(60):
                    member = make_member(f"daemon-{number}", phase=MemberPhase.ABSENT)
                    store.put(MEMBERS_TOPIC, member.name, encode_member(member))
                    await trio.sleep(1.0)
                await trio.sleep(SELDOM_AT_MOST_S)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertLess(store.reads, 10)
        self.assertEqual(len(directory.members), 1 + 60)


if __name__ == "__main__":
    unittest.main()
