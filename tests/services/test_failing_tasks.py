"""An error in a background task ends neither the daemon nor the requests in flight."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any
from unittest import mock

import trio

from fulmarstile_daemon.services import daemon
from fulmarstile_daemon.services._document_part import DocumentPart
from fulmarstile_daemon.services._request_server import RequestServer
from fulmarstile_daemon.services._settings_reload import SettingsReloader
from fulmarstile_daemon.services._slots import Slots
from fulmarstile_daemon.services._upstream_choice import UpstreamChooser
from fulmarstile_daemon.services.announcements import UpstreamAnnouncements
from fulmarstile_daemon.services.daemon import ServiceDaemon
from fulmarstile_daemon.services.entry import CallEntry
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_daemon.services.gossip import Gossip
from fulmarstile_daemon.services.membership import Membership
from fulmarstile_daemon.services.quotas import Quotas
from fulmarstile_http.input_watch import InputWatch
from fulmarstile_services.settings import QuotaBounds, RequiredBounds
from fulmarstile_testing.builders.service_mesh import serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

TASKS = (
    (EventLog, "flush_forever"),
    (DocumentPart, "run"),
    (Membership, "follow"),
    (Membership, "write_forever"),
    (Gossip, "run"),
    (Slots, "tick_forever"),
    (CallEntry, "run_hedges"),
    (UpstreamChooser, "run"),
    (Quotas, "run"),
    (InputWatch, "run"),
    (RequestServer, "_watch_callers"),
    (RequestServer, "_close_idle_forever"),
    (SettingsReloader, "watch"),
    (daemon, "watch_suspension"),
    (ServiceDaemon, "_handle_signals"),
)
FAILS_AFTER_S = 0.3
ENDS_AFTER_S = 4.0
"""Time after SIGTERM at which a request ends, when the daemon drains, in seconds."""
SLOW = make_document(make_route(timeout_s=10.0))
BOUNDS = RequiredBounds(quota=QuotaBounds(1.0, 0.1, 20.0))


def make_failing(run: Callable[..., Awaitable[None]]) -> Callable[..., Awaitable[None]]:
    """Returns a task that fails once, while it runs."""
    failures = iter([LookupError("an error of the test")])

    async def run_or_fail(*arguments: Any) -> None:
        error = next(failures, None)
        if error is None:
            await run(*arguments)
            return
        with trio.move_on_after(FAILS_AFTER_S):
            await run(*arguments)
        raise error

    return run_or_fail


class FailingTaskTest(unittest.TestCase):
    def test_a_request_in_flight_is_answered_although_a_task_fails(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", bounds=BOUNDS) as mesh:
                node = mesh.nodes[0]
                answer = await node.call(f"/a?delay_ms={FAILS_AFTER_S * 2000:.0f}")
                self.assertEqual(answer.status, 200)
                later = await node.call("/a", request_id="request-2")
                self.assertEqual(later.status, 200)

        for kind, name in TASKS:
            failing = make_failing(getattr(kind, name))
            with (
                self.subTest(kind.__name__, task=name),
                mock.patch.object(kind, name, failing),
                self.assertLogs(level="ERROR"),
            ):
                trio.run(run)

    def test_a_stop_answers_the_request_in_flight_although_it_cannot_be_published(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=SLOW) as mesh:
                node = mesh.nodes[0]
                statuses: list[int] = []

                async def call() -> None:
                    answer = await node.call(
                        f"/a?delay_ms={ENDS_AFTER_S * 1000:.0f}", wait_ms=5_000
                    )
                    statuses.append(answer.status)

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(call)
                    while not node.upstream.record.running:
                        await trio.sleep(0.01)
                    node.stop()
                await node.ended.wait()
                self.assertEqual(statuses, [200])

        failing = mock.AsyncMock(side_effect=LookupError("an error of the test"))
        failing.__qualname__ = "stop"
        with (
            mock.patch.object(UpstreamAnnouncements, "stop", failing),
            self.assertLogs(level="ERROR"),
        ):
            trio.run(run)


if __name__ == "__main__":
    unittest.main()
