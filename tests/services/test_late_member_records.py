"""The store soon holds the newest record of a daemon again after an older one was done late."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_daemon.services._notice_merger import NoticeMerger
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_daemon.services.membership import MEMBERS_TOPIC, Membership
from fulmarstile_services.directory import Directory
from fulmarstile_testing.builders.services import make_member
from fulmarstile_testing.fakes.keyed_log import FakeKeyedLog
from fulmarstile_wire.services import UpstreamNotice, decode_member, encode_member

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from fulmarstile_platform.keyed_log import KeyedRecord
    from fulmarstile_wire.services import Member

NAME = "daemon-2"
WRITTEN_S = 6.0
"""Time within which the store must hold the newest record again, in seconds."""
READ_S = 1.0
"""Time within which a daemon that reads the store knows a record, in seconds."""
START_GAP_S = 0.13
"""Time between the starts of two daemons, in seconds."""
SHORT_LATE_S = 0.5
"""Time by which the newest record follows an older one where the store is merely slow."""
EARLIER = make_member(NAME)
NOTICE = UpstreamNotice(EARLIER.upstream_id, EARLIER.upstream_born_ms, 2_000, rate_limit=5.0)
NEWEST = make_member(NAME, revision=1, notice=NOTICE)


class LateMemberRecordTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = FakeKeyedLog()

    def put(self, member: Member) -> None:
        self.store.put(MEMBERS_TOPIC, member.name, encode_member(member))

    def find_stored(self) -> Member:
        newest = {record.key: record for record in self.store.list_records(MEMBERS_TOPIC)}
        return decode_member(newest[NAME].value)

    def make_membership(self, name: str, *, reads: bool = True) -> tuple[Directory, Membership]:
        directory = Directory(make_member(name, service="stock"))
        log = EventLog(name)
        membership = Membership(directory, NoticeMerger(directory, log), log, lambda: None)
        membership.is_reader = lambda: reads
        return directory, membership

    def run_daemons(
        self, *memberships: Membership, scenario: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs daemons that know the newest record; the one that it is about has ended."""

        async def run() -> None:
            self.put(NEWEST)
            async with trio.open_nursery() as nursery:
                for membership in memberships:
                    nursery.start_soon(membership.follow, self.store)
                    nursery.start_soon(membership.write_forever, self.store)
                    await trio.sleep(START_GAP_S)
                await scenario()
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_limit_is_known_to_daemons_that_start_after_an_older_record_was_done_late(
        self,
    ) -> None:
        """Guards against requests beyond an announced limit after all daemons started at once."""

        async def scenario() -> None:
            self.put(EARLIER)
            await trio.sleep(WRITTEN_S)
            directory, later = self.make_membership("daemon-3")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(later.follow, self.store)
                await later.is_caught_up.wait()
                nursery.cancel_scope.cancel()
            self.assertEqual(directory.find(NAME), NEWEST)
            self.assertEqual(directory.notices.find_restriction(NEWEST), NOTICE)

        _, running = self.make_membership("daemon-1")
        self.run_daemons(running, scenario=scenario)

    def test_many_readers_write_it_a_few_times_at_most(self) -> None:
        async def scenario() -> None:
            self.put(EARLIER)
            appends = self.store.appends
            await trio.sleep(WRITTEN_S)
            self.assertEqual(self.find_stored(), NEWEST)
            self.assertLessEqual(self.store.appends - appends, len(memberships) / 2)
            await trio.sleep(WRITTEN_S)
            self.assertLessEqual(self.store.appends - appends, len(memberships) / 2)

        memberships = [self.make_membership(f"reader-{number}")[1] for number in range(8)]
        self.run_daemons(*memberships, scenario=scenario)

    def test_nothing_is_written_if_the_newest_record_follows_soon(self) -> None:
        async def scenario() -> None:
            self.put(EARLIER)
            await trio.sleep(SHORT_LATE_S)
            self.put(NEWEST)
            appends = self.store.appends
            await trio.sleep(WRITTEN_S)
            self.assertEqual(self.store.appends, appends)

        _, running = self.make_membership("daemon-1")
        self.run_daemons(running, scenario=scenario)

    def test_a_daemon_that_does_not_read_changes_writes_nothing(self) -> None:
        async def scenario() -> None:
            self.put(EARLIER)
            appends = self.store.appends
            await trio.sleep(10.0 * WRITTEN_S)
            self.assertEqual(self.store.appends, appends)

        _, running = self.make_membership("daemon-1", reads=False)
        self.run_daemons(running, scenario=scenario)

    def test_a_record_that_changes_while_it_is_written_is_written_again(self) -> None:
        """The daemon's own write of the change comes first, and the older record replaces it."""
        changed = make_member(NAME, revision=2, notice=NOTICE)
        directory, running = self.make_membership("daemon-1")
        append = self.store.append_together

        async def append_slowly(topic: str, records: Sequence[KeyedRecord]) -> None:
            if directory.find(NAME) == NEWEST:
                self.put(changed)
                await trio.sleep(READ_S)
                await append(topic, records)
                await trio.sleep(READ_S)
            else:
                await append(topic, records)

        self.store.append_together = append_slowly

        async def scenario() -> None:
            self.put(EARLIER)
            await trio.sleep(WRITTEN_S + 2.0 * READ_S)
            self.assertEqual(self.find_stored(), changed)

        self.run_daemons(running, scenario=scenario)

    def test_the_newest_record_is_written_once_the_store_is_back(self) -> None:
        async def scenario() -> None:
            self.put(EARLIER)
            await trio.sleep(READ_S)
            self.store.is_down = True
            await trio.sleep(WRITTEN_S)
            self.store.is_down = False
            await trio.sleep(WRITTEN_S)
            self.assertEqual(self.find_stored(), NEWEST)

        _, running = self.make_membership("daemon-1")
        self.run_daemons(running, scenario=scenario)


if __name__ == "__main__":
    unittest.main()
