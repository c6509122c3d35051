"""A stopping daemon passes no request to an upstream that it would have to cut off at its end."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

from fulmarstile_services.document import Repeatability, WeightedDestination
from fulmarstile_services.settings import RequiredBounds
from fulmarstile_testing.builders.service_mesh import ServiceClient, connect, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fulmarstile_testing.builders.service_mesh import ServiceMesh

ROUTE = {
    "repeatability": Repeatability.AT_MOST_ONCE,
    "timeout_s": 60.0,
    "target_latency_s": 30.0,
}
DOCUMENT = make_document(
    make_route(**ROUTE),
    make_route(prefix="/stock/", destinations=(WeightedDestination("stock", 1.0),), **ROUTE),
)
LONG_MS = 40_000
LATE_S = 3.2
"""Time into the stop at which no request may be cut off that is passed on then, in seconds."""
LAST_MOMENT_S = 5.35
"""Time into the stop at which the daemon sends the last answers, in seconds."""
LONG_GRACE_S = 10.0
ANSWER_BYTES = 60_000_000
READ_BYTES_PER_S = 8_000_000
"""Rate at which a caller reads this answer, too slow for the daemon to end before its time."""


async def wait_running(mesh: ServiceMesh, count: int) -> None:
    """Waits until the first upstream runs some requests."""
    with trio.fail_after(5.0):
        while mesh.nodes[0].upstream.record.running < count:
            await trio.sleep(0.01)


@asynccontextmanager
async def stop_while_running(mesh: ServiceMesh) -> AsyncIterator[None]:
    """Stops the first daemon while its upstream runs `request-1`, sent to the last daemon."""
    node = mesh.nodes[0]
    async with ServiceClient(await connect(mesh.nodes[-1].address)) as client:
        await client.send(f"/a?delay_ms={LONG_MS}", "POST", wait_ms=LONG_MS)
        await wait_running(mesh, 1)
        node.stop()
        yield


async def read_slowly(client: ServiceClient) -> None:
    """Reads an answer slowly, until its connection ends."""
    try:
        while data := await client.stream.receive_some(1 << 20):
            await trio.sleep(len(data) / READ_BYTES_PER_S)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


class StoppingLateTest(unittest.TestCase):
    def test_a_late_call_of_a_running_request_that_may_outlast_the_daemon_is_refused(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh, stop_while_running(mesh):
                await trio.sleep(LATE_S)
                answer = await mesh.nodes[0].call(
                    f"/b?delay_ms={LONG_MS}", "POST", request_id="request-1.1", wait_ms=LONG_MS
                )
                self.assertEqual(answer.status, 503)
                self.assertEqual(mesh.nodes[0].upstream.record.count_runs("request-1.1"), 0)

        trio.run(run)

    def test_a_late_call_of_a_running_request_that_ends_before_the_daemon_is_served(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh, stop_while_running(mesh):
                await trio.sleep(LATE_S)
                answer = await mesh.nodes[0].call(
                    "/b", "POST", request_id="request-1.1", wait_ms=800
                )
                self.assertEqual(answer.status, 200)

        trio.run(run)

    def test_a_call_in_the_last_moment_is_answered_and_not_passed_on(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", "stock", document=DOCUMENT) as mesh:
                node = mesh.nodes[0]
                async with (
                    ServiceClient(await connect(node.address)) as slow,
                    stop_while_running(mesh),
                    trio.open_nursery() as nursery,
                ):
                    await slow.send(f"/a?size={ANSWER_BYTES}", request_id="slow", wait_ms=LONG_MS)
                    nursery.start_soon(read_slowly, slow)
                    await trio.sleep(LAST_MOMENT_S)
                    answer = await node.call(
                        f"/stock/b?delay_ms={LONG_MS}",
                        "POST",
                        request_id="request-1.1",
                        wait_ms=LONG_MS,
                    )
                    nursery.cancel_scope.cancel()
                self.assertEqual((answer.status, answer.complete), (503, True))
                self.assertEqual(mesh.nodes[-1].upstream.record.count_runs("request-1.1"), 0)

        trio.run(run)

    def test_a_long_grace_period_does_not_extend_the_time_for_requests_that_may_outlast_it(
        self,
    ) -> None:
        async def run() -> None:
            bounds = RequiredBounds(grace_s=LONG_GRACE_S)
            async with (
                serve_mesh("shop", document=DOCUMENT, bounds=bounds) as mesh,
                stop_while_running(mesh),
            ):
                await trio.sleep(LATE_S)
                answer = await mesh.nodes[0].call(
                    f"/b?delay_ms={LONG_MS}", "POST", request_id="late", wait_ms=LONG_MS
                )
                self.assertEqual(answer.status, 503)
                self.assertEqual(mesh.nodes[0].upstream.record.count_runs("late"), 0)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
