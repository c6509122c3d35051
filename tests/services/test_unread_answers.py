"""Answers that their callers don't read cost no more memory than the limit allows."""

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

ANSWER_BYTES = 8_000_000
"""Size of an answer, in bytes; more than the buffers of both kernels take."""
BUDGET_BYTES = 4 * ANSWER_BYTES
CALLERS = 6
REQUEST = b"GET /a HTTP/1.1\r\nhost: shop.example\r\n\r\n"
STALL_S = 1.2
"""Time for which nobody reads, in seconds."""


async def answer(request: ReceivedRequest, scope: RequestScope) -> CallerResponse:
    return CallerResponse(200, body=bytes(ANSWER_BYTES))


@asynccontextmanager
async def serve(budget: ByteBudget) -> AsyncIterator[str]:
    server = RequestServer(answer, RequestLimits, 100, budget, EventLog("d"), b"request-id")
    async with trio.open_nursery() as nursery:
        yield await nursery.start(server.serve, "127.0.0.1:0")
        nursery.cancel_scope.cancel()


async def request_unread(address: str) -> trio.SocketStream:
    """Sends a request, and waits until its answer fills the buffers."""
    caller = await connect(address)
    await caller.send_all(REQUEST)
    await trio.testing.wait_all_tasks_blocked(0.01)
    return caller


class UnreadAnswersTest(unittest.TestCase):
    def test_answers_that_nobody_reads_give_their_memory_to_others(self) -> None:
        clock = trio.testing.MockClock(rate=0.0)
        budget = ByteBudget(BUDGET_BYTES)

        async def run() -> None:
            async with serve(budget) as address:
                _callers = [await request_unread(address) for _ in range(CALLERS)]
                clock.jump(STALL_S)
                other = await request_unread(address)
                self.assertLessEqual(budget.used_bytes, BUDGET_BYTES)
                received = 0
                while received < ANSWER_BYTES:
                    received += len(await other.receive_some())

        trio.run(run, clock=clock)

    def test_an_answer_that_is_not_read_is_held_once(self) -> None:
        async def run() -> int:
            async with serve(ByteBudget(BUDGET_BYTES)) as address:
                _caller = await request_unread(address)
                return tracemalloc.get_traced_memory()[1]

        tracemalloc.start()
        try:
            self.assertLess(trio.run(run), 1.5 * ANSWER_BYTES)
        finally:
            tracemalloc.stop()


if __name__ == "__main__":
    unittest.main()
