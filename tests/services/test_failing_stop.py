"""An error in a phase of a stop ends neither the daemon nor the requests in flight at once."""

from __future__ import annotations

import unittest
from unittest import mock

import trio
import trio.testing

from fulmarstile_daemon.services._graceful_shutdown import GracefulShutdown
from fulmarstile_daemon.services._request_server import RequestServer
from fulmarstile_daemon.services._upstream import LocalUpstream
from fulmarstile_testing.builders.service_mesh import serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route
from fulmarstile_testing.lost_search.environment import virtual_clocks

GRACE_S = 6.0
WORK_S = 4.5
WAIT_MS = 20_000
DOCUMENT = make_document(make_route(timeout_s=20.0, target_latency_s=20.0))


class FailingStopTest(unittest.TestCase):
    def check(self, kind: type, name: str) -> None:
        """Checks that a request is answered and the stop ends in time, though a function fails."""
        statuses: list[int] = []

        async def run() -> None:
            with virtual_clocks():
                async with serve_mesh("shop", document=DOCUMENT) as mesh:
                    node = mesh.nodes[0]

                    async def call() -> None:
                        target = f"/a?delay_ms={WORK_S * 1000:.0f}"
                        answer = await node.call(target, "POST", wait_ms=WAIT_MS)
                        statuses.append(answer.status)

                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(call)
                        while not node.upstream.record.running:
                            await trio.sleep(0.001)
                        node.stop()
                        stopped_at = trio.current_time()
                        await node.ended.wait()
                    self.assertLess(trio.current_time() - stopped_at, GRACE_S)

        failing = mock.Mock(side_effect=LookupError("an error of the test"))
        failing.__qualname__ = name
        with mock.patch.object(kind, name, failing), self.assertLogs(level="ERROR"):
            trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.001))
        self.assertEqual(statuses, [200])

    def test_an_error_while_callers_are_still_served_costs_no_request(self) -> None:
        self.check(GracefulShutdown, "_serve_callers")

    def test_an_error_while_the_stop_is_prepared_costs_no_request(self) -> None:
        self.check(RequestServer, "withdraw_all")

    def test_an_error_while_the_upstream_is_drained_costs_no_request(self) -> None:
        self.check(LocalUpstream, "stop")


if __name__ == "__main__":
    unittest.main()
