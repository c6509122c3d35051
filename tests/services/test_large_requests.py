"""One request at a time may take more memory than callers share."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._request_server import RequestServer
from fulmarstile_daemon.services._server_connection import CallerResponse
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_services.document import RequestLimits
from fulmarstile_testing.builders.service_mesh import connect

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fulmarstile_daemon.services._request_scope import RequestScope
    from fulmarstile_daemon.services._server_connection import ReceivedRequest

LIMIT_BYTES = 900_000
SPARE_BYTES = 900_000
SHARE_BYTES = LIMIT_BYTES // 2
LARGE_BYTES = 1_000_000
COST_BYTES = (2 * LARGE_BYTES - SPARE_BYTES) // 3
"""Part of the limit that a large request takes, in bytes."""
HEAD = b"POST /a HTTP/1.1\r\nhost: shop.example\r\ncontent-length: %d\r\n\r\n"
LARGE_HEAD = HEAD % LARGE_BYTES
STALL_S = 2.0
"""Time without progress, in seconds."""


class LargeAllocationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = ByteBudget(LIMIT_BYTES, SPARE_BYTES)
        self.large = self.budget.open()

    def test_a_large_request_leaves_callers_their_share(self) -> None:
        self.assertTrue(self.large.try_grow_large(LARGE_BYTES))
        self.assertTrue(self.budget.try_reserve_for_caller(SHARE_BYTES))

    def test_only_one_request_at_a_time_is_large(self) -> None:
        self.assertTrue(self.large.try_grow_large(1))
        second = self.budget.open()
        self.assertFalse(second.try_grow_large(1))
        self.budget.release(self.large)
        self.assertTrue(second.try_grow_large(1))

    def test_no_request_is_large_without_spare_memory(self) -> None:
        self.assertFalse(ByteBudget(LIMIT_BYTES).open().try_grow_large(1))

    def test_a_large_request_gets_no_memory_that_others_use(self) -> None:
        with self.budget.allocate() as answer:
            answer.grow(LIMIT_BYTES - COST_BYTES)
            self.assertFalse(self.large.try_grow_large(LARGE_BYTES))
        self.assertTrue(self.large.try_grow_large(LARGE_BYTES))

    def test_its_copies_and_those_of_all_others_stay_within_the_memory(self) -> None:
        while self.large.try_grow_large(10_000):
            pass
        while self.budget.open().try_grow(10_000):
            pass
        others = self.budget.used_bytes - max(0, 2 * self.large.size - SPARE_BYTES) // 3
        self.assertLessEqual(
            2 * self.large.size + 3 * others, 3 * LIMIT_BYTES + SPARE_BYTES, self.large.size
        )

    def test_its_memory_is_returned_whole(self) -> None:
        for size in (100_000, 500_000, 300_001):
            self.assertTrue(self.large.try_grow_large(size))
        self.large.shrink(200_000)
        self.budget.release(self.large)
        self.assertEqual(self.budget.used_bytes, 0)


class Site:
    """Server whose callers send large requests."""

    def __init__(self, address: str, budget: ByteBudget) -> None:
        self._address = address
        self.budget = budget

    async def begin(self) -> trio.SocketStream:
        """Sends a large request but for its end."""
        caller = await connect(self._address)
        await caller.send_all(LARGE_HEAD + b"x" * (LARGE_BYTES - 1))
        while self.budget.used_bytes != (2 * (LARGE_BYTES - 1) - SPARE_BYTES) // 3:
            await trio.lowlevel.checkpoint()
        return caller

    async def send(self, size: int) -> bytes:
        """Sends a whole request, and returns the begin of the answer."""
        caller = await connect(self._address)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.send_all, HEAD % size + b"x" * size)
            return bytes(await caller.receive_some())


async def answer(request: ReceivedRequest, scope: RequestScope) -> CallerResponse:
    return CallerResponse(200, body=b"%d" % len(request.body))


@asynccontextmanager
async def serve() -> AsyncIterator[Site]:
    budget = ByteBudget(LIMIT_BYTES, SPARE_BYTES)
    server = RequestServer(answer, RequestLimits, 100, budget, EventLog("d"), b"request-id")
    async with trio.open_nursery() as nursery:
        yield Site(await nursery.start(server.serve, "127.0.0.1:0"), budget)
        nursery.cancel_scope.cancel()


class LargeRequestTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = trio.testing.MockClock(rate=0.0)

    def test_a_request_larger_than_callers_share_is_served(self) -> None:
        # It got 503 on small machines, although it was the only one.
        async def run() -> None:
            async with serve() as site:
                received = await site.send(LARGE_BYTES)
                self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)
                self.assertTrue(received.endswith(b"%d" % LARGE_BYTES), received)
                self.assertEqual(site.budget.used_bytes, 0)

        trio.run(run, clock=self.clock)

    def test_a_large_request_that_stalls_gives_way_to_another(self) -> None:
        async def run() -> None:
            async with serve() as site:
                stalled = await site.begin()
                self.clock.jump(STALL_S)
                received = await site.send(LARGE_BYTES)
                self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)
                refused = await stalled.receive_some()
                self.assertTrue(refused.startswith(b"HTTP/1.1 503"), refused)

        trio.run(run, clock=self.clock)

    def test_a_small_request_without_room_is_refused_and_leaves_large_ones_theirs(self) -> None:
        async def run() -> None:
            async with serve() as site:
                self.assertTrue(site.budget.try_reserve_for_caller(SHARE_BYTES - 1_000))
                received = await site.send(SHARE_BYTES // 2)
                self.assertTrue(received.startswith(b"HTTP/1.1 503"), received)
                site.budget.release_for_caller(SHARE_BYTES - 1_000)
                received = await site.send(LARGE_BYTES)
                self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)

        trio.run(run, clock=self.clock)

    def test_a_second_large_request_is_refused_and_others_are_served(self) -> None:
        async def run() -> None:
            async with serve() as site:
                first = await site.begin()
                received = await site.send(LARGE_BYTES)
                self.assertTrue(received.startswith(b"HTTP/1.1 503"), received)
                received = await site.send(SHARE_BYTES)
                self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)
                await first.send_all(b"x")
                received = await first.receive_some()
                self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)

        trio.run(run, clock=self.clock)


if __name__ == "__main__":
    unittest.main()
