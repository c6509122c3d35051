"""Uploads that make no progress give their memory to those that do."""

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

BUDGET_BYTES = 2_000_000
CALLERS = 10
UPLOAD_BYTES = 150_000
SENT_BYTES = 99_000
"""Part of an upload that is sent, in bytes; all callers together take their share of the memory."""
UPLOAD_HEAD = b"POST /a HTTP/1.1\r\nhost: shop.example\r\ncontent-length: %d\r\n\r\n" % UPLOAD_BYTES
STALL_S = 2.0
"""Time without progress, in seconds."""


class Site:
    """Server whose callers send uploads."""

    def __init__(self, address: str, budget: ByteBudget, clock: trio.testing.MockClock) -> None:
        self._address = address
        self._budget = budget
        self._clock = clock

    async def connect(self) -> trio.SocketStream:
        return await connect(self._address)

    async def begin_uploads(self) -> list[trio.SocketStream]:
        """Sends the begin of uploads that together take all memory for callers' requests."""
        callers = [await self.connect() for _ in range(CALLERS)]
        for caller in callers:
            await caller.send_all(UPLOAD_HEAD + b"x" * SENT_BYTES)
        await self.wait_held(CALLERS * SENT_BYTES)
        return callers

    async def wait_held(self, size: int) -> None:
        """Waits until a number of bytes is held."""
        while self._budget.used_bytes != size:
            await trio.lowlevel.checkpoint()

    async def upload(self) -> bytes:
        """Sends a whole upload, and returns the begin of the answer."""
        caller = await self.connect()
        await caller.send_all(UPLOAD_HEAD + b"x" * UPLOAD_BYTES)
        return await caller.receive_some()

    def pass_time(self, seconds: float) -> None:
        self._clock.jump(seconds)


async def answer(request: ReceivedRequest, scope: RequestScope) -> CallerResponse:
    return CallerResponse(200)


@asynccontextmanager
async def serve(clock: trio.testing.MockClock, connections: int = 100) -> AsyncIterator[Site]:
    budget = ByteBudget(BUDGET_BYTES)
    server = RequestServer(answer, RequestLimits, connections, budget, EventLog("d"), b"request-id")
    async with trio.open_nursery() as nursery:
        yield Site(await nursery.start(server.serve, "127.0.0.1:0"), budget, clock)
        nursery.cancel_scope.cancel()


class StalledUploadsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = trio.testing.MockClock(rate=0.0)

    def test_an_upload_takes_the_memory_of_one_that_stopped_short_of_its_end(self) -> None:
        async def run() -> None:
            async with serve(self.clock) as site:
                stalled = await site.begin_uploads()
                site.pass_time(STALL_S)
                self.assertTrue((await site.upload()).startswith(b"HTTP/1.1 200"))
                refused = await stalled[0].receive_some()
                self.assertTrue(refused.startswith(b"HTTP/1.1 503"), refused)

        trio.run(run, clock=self.clock)

    def test_unfinished_heads_give_their_connections_to_others(self) -> None:
        async def run() -> None:
            async with serve(self.clock, connections=CALLERS) as site:
                stalled = [await site.connect() for _ in range(CALLERS)]
                for caller in stalled:
                    await caller.send_all(UPLOAD_HEAD[:20])
                await trio.testing.wait_all_tasks_blocked(0.01)
                site.pass_time(STALL_S)
                self.assertTrue((await site.upload()).startswith(b"HTTP/1.1 200"))
                refused = await stalled[0].receive_some()
                self.assertTrue(refused.startswith(b"HTTP/1.1 503"), refused)

        trio.run(run, clock=self.clock)

    def test_a_trickle_does_not_keep_the_memory_of_an_upload(self) -> None:
        async def run() -> None:
            async with serve(self.clock) as site:
                uploads = await site.begin_uploads()
                for caller in uploads:
                    site.pass_time(STALL_S / CALLERS)
                    await caller.send_all(b"x")
                self.assertTrue((await site.upload()).startswith(b"HTTP/1.1 200"))

        trio.run(run, clock=self.clock)

    def test_uploads_that_make_progress_are_not_dropped_for_another(self) -> None:
        async def run() -> None:
            async with serve(self.clock) as site:
                uploads = await site.begin_uploads()
                self.assertTrue((await site.upload()).startswith(b"HTTP/1.1 503"))
                await uploads[0].aclose()
                await site.wait_held((CALLERS - 1) * SENT_BYTES)
                await uploads[1].send_all(b"x" * (UPLOAD_BYTES - SENT_BYTES))
                self.assertTrue((await uploads[1].receive_some()).startswith(b"HTTP/1.1 200"))

        trio.run(run, clock=self.clock)


if __name__ == "__main__":
    unittest.main()
