"""A daemon reports how long it had a forwarded request; the rest of the time is network delay."""

from __future__ import annotations

import unittest

import trio
import trio.testing

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._body_admission import BodyAdmission
from fulmarstile_daemon.services._call import AttemptResult, make_failure
from fulmarstile_daemon.services._notice_merger import NoticeMerger
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_daemon.services.hops import HopServer
from fulmarstile_services.directory import Directory
from fulmarstile_testing.builders.services import make_member
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_wire.services import HopCall, HopRequest
from fulmarstile_wire.verdict import Verdict

HOP = HopRequest("shop", "upstream-1", "web", 0, 5_000, 5_000, False, 1_000)
SPENT_S = 0.05


class _SlowUpstream:
    """Refuses each request as not run after a delay."""

    async def run(self, hop, request, deadline, useful_until, progress):
        await trio.sleep(SPENT_S)
        return AttemptResult(make_failure(Verdict.NOT_RUN, RefusalReason.OVERLOADED))


class NetworkDelayTest(unittest.TestCase):
    def test_an_answer_reports_how_long_the_daemon_had_the_request(self) -> None:
        async def run() -> None:
            directory = Directory(make_member())
            server = HopServer(
                HEADER_NAMES,
                directory,
                NoticeMerger(directory, EventLog("d-1")),
                _SlowUpstream(),
                BodyAdmission(0),
                EventLog("d-1"),
            )
            call = HopCall(1, HOP, b"GET", b"/a", [], b"")
            answer = await server.handle(call, trio.current_time() + 5.0, AttemptProgress())
            self.assertGreaterEqual(answer.outcome.spent_ms, SPENT_S * 1000)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()
