"""Every crash that a request has caused is known after all daemons have started again."""

from __future__ import annotations

import unittest

import msgspec
import trio
import trio.testing

from fulmarstile_daemon.services._notice_merger import NoticeMerger
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_daemon.services.membership import Membership
from fulmarstile_services.directory import SUSPECT_CRASH_COUNT, Directory
from fulmarstile_testing.builders.services import make_member
from fulmarstile_testing.fakes.keyed_log import FakeKeyedLog

FINGERPRINT = b"12345678"
WRITTEN_S = 1.0
"""Time within which a crash report must be written, in seconds."""


def make_membership(name: str) -> tuple[Directory, Membership]:
    """Makes what a daemon knows of the others, and what reads and writes the store for it."""
    directory = Directory(make_member(name))
    log = EventLog(name)
    return directory, Membership(directory, NoticeMerger(directory, log), log, lambda: None)


class CrashRecordsTest(unittest.TestCase):
    def test_a_request_that_crashed_one_upstream_twice_is_suspect_after_a_start(self) -> None:
        """Guards against a third crash: an upstream that starts again keeps its id."""
        store = FakeKeyedLog()

        async def run() -> None:
            directory, membership = make_membership("daemon-1")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(membership.write_forever, store)
                for born_ms in range(1, SUSPECT_CRASH_COUNT + 1):
                    local_member = directory.local_member
                    directory.update_local_member(
                        msgspec.structs.replace(local_member, upstream_born_ms=born_ms)
                    )
                    membership.report_crash([FINGERPRINT])
                    await trio.sleep(WRITTEN_S)
                nursery.cancel_scope.cancel()
            self.assertTrue(directory.is_suspect(FINGERPRINT))
            later_directory, later = make_membership("daemon-2")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(later.follow, store)
                await later.is_caught_up.wait()
                nursery.cancel_scope.cancel()
            self.assertTrue(later_directory.is_suspect(FINGERPRINT))

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()
