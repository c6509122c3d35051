"""Answers of a stopping daemon that cross what its callers and other daemons do at that time."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_services.document import Repeatability
from fulmarstile_testing.builders.service_mesh import serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route
from fulmarstile_testing.lost_search.callers import CallerConnection, SentRequest
from fulmarstile_testing.lost_search.case import GRACE_S
from fulmarstile_testing.lost_search.daemon_run import DaemonRun
from fulmarstile_testing.lost_search.environment import virtual_clocks
from fulmarstile_testing.lost_search.judge import judge

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_testing.builders.service_mesh import ServiceNode

DOCUMENT, READS_DOCUMENT = (
    make_document(
        make_route(
            repeatability=repeatability, timeout_s=12.0, target_latency_s=6.0, max_attempts=3
        )
    )
    for repeatability in (Repeatability.AT_MOST_ONCE, Repeatability.IDEMPOTENT)
)
SHORT_READS_DOCUMENT = make_document(
    make_route(repeatability=Repeatability.IDEMPOTENT, timeout_s=12.0, target_latency_s=0.4)
)
FOREVER_S = 60.0


def make_request(
    number: int,
    *,
    method: str = "POST",
    delay_ms: int = 1,
    size: int = 2,
    body_bytes: int = 0,
    after_s: float = 0.0,
) -> SentRequest:
    target = f"/a?delay_ms={delay_ms}&size={size}"
    return SentRequest(
        f"r{number}", method, target, b"y" * body_bytes, 12.0, 12.0, size, "", (after_s,)
    )


async def exchange(entry: ServiceNode, *requests: SentRequest, read_after_s: float = 0.0) -> None:
    """Sends requests on one connection and reads their answers."""
    await exchange_with(DaemonRun(entry), *requests, read_after_s=read_after_s)


async def exchange_with(
    entry: DaemonRun, *requests: SentRequest, read_after_s: float = 0.0
) -> None:
    """Sends requests to a daemon whose stop is recorded, and reads their answers."""
    connection = await CallerConnection.open(entry)
    assert connection is not None
    await connection.exchange(requests, leave_after_s=FOREVER_S, read_after_s=read_after_s)
    connection.close()


def run_in_virtual_time(run: Callable[[], Awaitable[None]]) -> None:
    async def run_with_clocks() -> None:
        with virtual_clocks():
            await run()

    trio.run(run_with_clocks, clock=trio.testing.MockClock(autojump_threshold=0.001))


class StopCrossingsTest(unittest.TestCase):
    def test_an_answer_that_is_not_read_yet_survives_a_request_behind_the_close(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                entry = mesh.nodes[0]
                requests = [
                    make_request(1, size=300_000),
                    make_request(2, after_s=0.3),
                ]
                entry.stop()
                await exchange(entry, *requests, read_after_s=0.5)
                self.assertEqual(requests[0].status, 200)
                self.assertEqual(len(requests[0].answer), 300_000)

        run_in_virtual_time(run)

    def test_a_whole_upload_behind_a_running_request_is_answered(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                entry = mesh.nodes[0]
                requests = [make_request(1, delay_ms=4_500), make_request(2, body_bytes=300_000)]
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(exchange, entry, *requests)
                    await trio.sleep(0.5)
                    entry.stop()
                self.assertEqual([each.status for each in requests], [200, 503])

        run_in_virtual_time(run)

    def test_what_arrives_behind_a_whole_upload_is_answered_at_the_end(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                entry = mesh.nodes[0]
                requests = [
                    make_request(1, delay_ms=9_000),
                    make_request(2),
                    make_request(3, body_bytes=300_000),
                    make_request(4),
                ]
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(exchange, entry, *requests)
                    await trio.sleep(0.5)
                    entry.stop()
                self.assertEqual([each.status for each in requests], [502, 503, 503, 503])

        run_in_virtual_time(run)

    def test_a_read_that_ends_with_another_daemon_is_repeated_while_its_own_one_drains(
        self,
    ) -> None:
        """Guards against 502 for a read at whose upstream work goes on, after two stops in a row.

        The daemon beside the upstream ends while the one that took the read is draining, and sends
        nothing to upstreams that they have not received yet.
        """

        async def run() -> None:
            async with serve_mesh("stock", "shop", "shop", document=READS_DOCUMENT) as mesh:
                entry, stopping, other = mesh.nodes
                run = DaemonRun(entry)
                requests = [
                    make_request(number, method="GET", delay_ms=5_000) for number in range(4)
                ]
                stopping.stop()
                await trio.sleep(0.5)
                async with trio.open_nursery() as nursery:
                    for request in requests:
                        nursery.start_soon(exchange_with, run, request)
                    await trio.sleep(0.5)
                    run.stopped_at = trio.current_time()
                    entry.stop()
                served = stopping.upstream.record.requests + other.upstream.record.requests
                self.assertTrue(any(each.was_left for each in stopping.upstream.record.requests))
                self.assertEqual(list(judge(requests, served, (), GRACE_S)), [])

        run_in_virtual_time(run)

    def test_a_request_that_waits_for_a_slot_is_not_begun_by_a_daemon_that_ends_before_it(
        self,
    ) -> None:
        """Guards against 502 for a request that begins at its upstream after the SIGTERM there.

        It was forwarded before the SIGTERM, can't be repeated, and outlasts the daemon.
        """

        async def run() -> None:
            async with serve_mesh("stock", "shop", document=DOCUMENT) as mesh:
                entry, stopping = mesh.nodes
                run = DaemonRun(entry)
                requests = [make_request(number, delay_ms=1_000) for number in range(4)]
                requests.append(make_request(4, delay_ms=5_000))
                async with trio.open_nursery() as nursery:
                    for request in requests:
                        nursery.start_soon(exchange_with, run, request)
                        await trio.sleep(0.01)
                    await trio.sleep(0.5)
                    stopping.stop()
                    await trio.sleep(0.3)
                    run.stopped_at = trio.current_time()
                    entry.stop()
                served = stopping.upstream.record.requests
                self.assertEqual([each.status for each in requests[:4]], [200] * 4)
                self.assertEqual(list(judge(requests, served, (), GRACE_S)), [])

        run_in_virtual_time(run)

    def test_a_stopping_daemon_cuts_no_read_for_which_there_is_no_other_upstream(self) -> None:
        """Guards against 502 for a read that nobody else can repeat, after two stops in a row."""

        async def run() -> None:
            async with serve_mesh("stock", "shop", document=READS_DOCUMENT) as mesh:
                entry, stopping = mesh.nodes
                run = DaemonRun(entry)
                request = make_request(1, method="GET", delay_ms=5_000)
                stopping.stop()
                await trio.sleep(0.5)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(exchange_with, run, request)
                    await trio.sleep(0.5)
                    run.stopped_at = trio.current_time()
                    entry.stop()
                served = stopping.upstream.record.requests
                self.assertEqual(list(judge([request], served, (), GRACE_S)), [])

        run_in_virtual_time(run)

    def test_a_stopping_daemon_cuts_no_read_before_the_stopping_one_that_sent_it_may(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=SHORT_READS_DOCUMENT) as mesh:
                entry, stopping = mesh.nodes
                run = DaemonRun(entry)
                request = make_request(1, method="GET", delay_ms=4_800)
                stopping.stop()
                await trio.sleep(0.5)
                run.stopped_at = trio.current_time()
                entry.stop()
                await trio.sleep(0.2)
                await exchange_with(run, request)
                served = stopping.upstream.record.requests
                self.assertEqual(list(judge([request], served, (), GRACE_S)), [])

        run_in_virtual_time(run)

    def test_a_stopping_daemon_serves_a_usual_read_for_which_there_is_no_other_upstream(
        self,
    ) -> None:
        """Guards against 503 for reads whose deadlines alone are after the end of the daemon."""

        async def run() -> None:
            async with serve_mesh("stock", "shop", document=SHORT_READS_DOCUMENT) as mesh:
                entry, stopping = mesh.nodes
                request = make_request(1, method="GET", delay_ms=300)
                stopping.stop()
                await trio.sleep(0.5)
                await exchange(entry, request)
                self.assertEqual(request.status, 200)

        run_in_virtual_time(run)

    def test_a_stopping_daemon_cuts_no_request_of_another_one_that_stops_later(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", "shop", document=DOCUMENT) as mesh:
                entry, stopping, _ = mesh.nodes
                requests = [make_request(number, delay_ms=5_000) for number in range(4)]
                stopping.stop()
                await trio.sleep(0.5)
                async with trio.open_nursery() as nursery:
                    for request in requests:
                        nursery.start_soon(exchange, entry, request)
                    await trio.sleep(0.5)
                    entry.stop()
                self.assertEqual([each.status for each in requests], [200] * 4)

        run_in_virtual_time(run)
