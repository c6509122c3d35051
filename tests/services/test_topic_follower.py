"""A follower of a topic misses no record, also if a read of the newest ones lacks some."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_daemon.services._notice_merger import NoticeMerger
from fulmarstile_daemon.services._topic_follower import follow_topic
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_daemon.services.membership import MEMBERS_TOPIC, Membership
from fulmarstile_services.directory import Directory
from fulmarstile_testing.builders.services import make_member
from fulmarstile_testing.fakes.odd_keyed_log import OddKeyedLog
from fulmarstile_wire.departures import UpstreamDeparture, encode_departure
from fulmarstile_wire.services import encode_member

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from fulmarstile_platform.keyed_log import KeyedRecord

TOPIC = "keyed.topic"
KNOWN_S = 2.0
"""Time within which all records must be known, in seconds."""
QUIET_S = 5.0
"""Time after which a daemon that has started waits for the next record, in seconds."""
COUNTED_S = 50.0
"""Time for which reads are counted, in seconds; long polls last 25 s."""
READS_PER_S = 2_000 / 100
"""Reads a second of which the store's limit leaves each of a hundred daemons its share."""
CALM_READS_PER_S = 0.1


class TopicFollowerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = OddKeyedLog()
        self.seen: list[bytes] = []
        self.seen_when_caught_up: list[list[bytes]] = []

    def collect(self, records: Iterable[KeyedRecord]) -> None:
        self.seen.extend(record.value for record in records)

    def note_caught_up(self) -> None:
        self.seen_when_caught_up.append(list(self.seen))

    def run_follower(
        self,
        scenario: Callable[[], Awaitable[None]],
        before_read: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        async def follow() -> None:
            await follow_topic(
                self.store,
                TOPIC,
                self.collect,
                EventLog("daemon-1"),
                self.note_caught_up,
                before_read=before_read,
            )

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follow)
                await scenario()
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def put_with_hidden_last(self) -> None:
        for key, value in (("a", b"1"), ("b", b"2")):
            self.store.put(TOPIC, key, value)
        self.store.hidden.add(1)

    async def count_calls_per_s(self) -> float:
        before = self.store.calls
        await trio.sleep(COUNTED_S)
        return (self.store.calls - before) / COUNTED_S

    def test_a_record_that_the_newest_ones_lack_is_read_though_their_end_is_beyond_it(self) -> None:
        async def scenario() -> None:
            self.put_with_hidden_last()
            await trio.sleep(KNOWN_S)
            self.assertEqual(self.seen, [b"1", b"2"])
            await trio.sleep(QUIET_S)
            self.assertLess(await self.count_calls_per_s(), CALM_READS_PER_S)

        self.run_follower(scenario)

    def test_a_daemon_that_reads_seldom_reads_what_the_newest_records_lack_at_once(self) -> None:
        async def scenario() -> None:
            self.put_with_hidden_last()
            await trio.sleep(KNOWN_S)
            self.assertEqual(self.seen, [b"1", b"2"])

        self.run_follower(scenario, before_read=trio.sleep_forever)

    def test_a_follower_is_caught_up_only_with_what_the_newest_records_lack(self) -> None:
        async def scenario() -> None:
            self.put_with_hidden_last()
            await trio.sleep(KNOWN_S)
            self.assertEqual(self.seen_when_caught_up[0], [b"1", b"2"])

        self.run_follower(scenario)

    def test_expired_records_behind_the_newest_ones_are_not_asked_for_again(self) -> None:
        async def scenario() -> None:
            self.store.put(TOPIC, "a", b"1")
            self.store.put(TOPIC, "removed", b"")
            self.store.hidden.add(1)
            self.store.forget_history(TOPIC)
            await trio.sleep(QUIET_S)
            self.assertTrue(self.seen_when_caught_up)
            self.assertLess(await self.count_calls_per_s(), CALM_READS_PER_S)
            self.store.put(TOPIC, "b", b"2")
            await trio.sleep(KNOWN_S)
            self.assertEqual(self.seen[-1], b"2")

        self.run_follower(scenario)

    def test_an_end_without_a_record_before_it_does_not_delay_the_start(self) -> None:
        async def scenario() -> None:
            self.put_with_hidden_last()
            self.store.is_hasty = True
            await trio.sleep(KNOWN_S)
            self.assertTrue(self.seen_when_caught_up)

        self.run_follower(scenario)

    def test_a_store_with_odd_answers_is_not_asked_without_a_pause(self) -> None:
        for oddity in ({"expires_all": True}, {"is_hasty": True}, {"claims_more": True}):

            async def scenario(oddity: dict[str, bool] = oddity) -> None:
                self.put_with_hidden_last()
                self.store.is_hasty = True
                for name, value in oddity.items():
                    setattr(self.store, name, value)
                await trio.sleep(QUIET_S)
                self.assertLess(await self.count_calls_per_s(), READS_PER_S)

            with self.subTest(oddity):
                self.setUp()
                self.run_follower(scenario)


class HiddenDepartureTest(unittest.TestCase):
    def test_a_departure_that_the_newest_records_lack_is_known_after_the_start(self) -> None:
        """Guards against requests to an upstream whose departure was acknowledged.

        All daemons start at once, so none can tell the others.
        """
        store = OddKeyedLog()
        departed = make_member("daemon-2")
        store.put(MEMBERS_TOPIC, departed.name, encode_member(departed))
        departure = UpstreamDeparture(
            departed.name, departed.upstream_id, departed.upstream_born_ms
        )
        store.put(MEMBERS_TOPIC, f"left/{departure.key}", encode_departure(departure))
        store.hidden.add(1)

        async def run() -> None:
            directory = Directory(make_member("daemon-1", service="stock"))
            log = EventLog("daemon-1")
            membership = Membership(directory, NoticeMerger(directory, log), log, lambda: None)
            membership.is_reader = lambda: False
            async with trio.open_nursery() as nursery:
                nursery.start_soon(membership.follow, store)
                await membership.is_caught_up.wait()
                self.assertEqual(directory.serving("shop"), ())
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()
