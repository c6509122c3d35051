"""Heads cost the memory limit what they cost the process."""

from __future__ import annotations

import tracemalloc
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

BUDGET_BYTES = 2 * 1024 * 1024
CALLERS = 100
HEAD_START = b"GET /a HTTP/1.1\r\nhost: shop.example\r\n"
PARTIAL_HEAD = HEAD_START + b"x-a: " + b"a" * 27_000
MANY_HEADERS = HEAD_START + b"".join(b"h%d: a\r\n" % number for number in range(2_500)) + b"\r\n"
BEHIND = (
    HEAD_START
    + b"\r\n"
    + b"POST /a HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 70000\r\n\r\n"
    + b"x" * 60_000
)
"""A request, and in the same write the begin of another one."""
SMALL_HEAD = HEAD_START + b"x-small: 1\r\n\r\n"
TIMEOUT_S = 10.0
"""Ends a test that hangs, in seconds."""


async def answer(request: ReceivedRequest, scope: RequestScope) -> CallerResponse:
    """Answers small requests; the others run forever."""
    if not request.headers.get(b"x-small"):
        await trio.sleep_forever()
    return CallerResponse(200)


@asynccontextmanager
async def serve(budget: ByteBudget) -> AsyncIterator[str]:
    server = RequestServer(answer, RequestLimits, 1_000, budget, EventLog("d"), b"request-id")
    async with trio.open_nursery() as nursery:
        yield await nursery.start(server.serve, "127.0.0.1:0")
        nursery.cancel_scope.cancel()


class HeldHeadsTest(unittest.TestCase):
    async def hold(self, head: bytes) -> int:
        """Sends a head on each of many connections, and then a small request.

        Returns:
            Memory allocated for the heads, in bytes.
        """
        budget = ByteBudget(BUDGET_BYTES)
        async with serve(budget) as address:
            callers = [await connect(address) for _ in range(CALLERS)]
            before, _ = tracemalloc.get_traced_memory()
            for caller in callers:
                await caller.send_all(head)
                await trio.testing.wait_all_tasks_blocked(0.002)
            held = tracemalloc.get_traced_memory()[0] - before
            with trio.fail_after(TIMEOUT_S):
                other = await connect(address)
                await other.send_all(SMALL_HEAD)
                self.assertTrue((await other.receive_some()).startswith(b"HTTP/1.1 200"))
        return held

    def check(self, head: bytes) -> None:
        tracemalloc.start()
        try:
            self.assertLessEqual(trio.run(self.hold, head), BUDGET_BYTES)
        finally:
            tracemalloc.stop()

    def test_unfinished_heads_do_not_exceed_the_memory_limit(self) -> None:
        self.check(PARTIAL_HEAD)

    def test_heads_with_many_headers_do_not_exceed_the_memory_limit(self) -> None:
        self.check(MANY_HEADERS)

    def test_input_behind_requests_at_work_does_not_exceed_the_memory_limit(self) -> None:
        self.check(BEHIND)


if __name__ == "__main__":
    unittest.main()
