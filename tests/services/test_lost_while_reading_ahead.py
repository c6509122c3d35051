"""A caller that leaves while its next request is parsed gives back its memory once."""

from __future__ import annotations

import math
import unittest
from typing import TYPE_CHECKING

import trio

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._request_pipeline import RequestPipeline
from fulmarstile_daemon.services._server_connection import (
    CallerDisconnectedError,
    CallerResponse,
    ServerConnection,
)
from fulmarstile_http.input_watch import open_input_watch
from fulmarstile_http.listener import listen
from fulmarstile_services.document import RequestLimits
from fulmarstile_testing.builders.service_mesh import connect

if TYPE_CHECKING:
    from fulmarstile_daemon.services._request_scope import RequestScope
    from fulmarstile_daemon.services._server_connection import ReceivedRequest
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_http.request_checks import MalformedRequestError

REQUESTS = (
    b"GET /a HTTP/1.1\r\nhost: shop.example\r\n\r\n"
    b"POST /a HTTP/1.1\r\nhost: shop.example\r\ntransfer-encoding: chunked\r\n\r\n"
    + b"1\r\nx\r\n" * 3_000
    + b"0\r\n\r\n"
)
ROUNDS = 30
"""The order in which two tasks go on is random: both occur."""
TIMEOUT_S = 10.0
"""Ends a test that hangs, in seconds."""


def make_error(error: MalformedRequestError) -> CallerResponse:
    return CallerResponse(error.status)


async def leave_while_parsing(stream: ByteStream, budget: ByteBudget) -> None:
    """Serves a connection whose caller leaves when the end of its second request is parsed."""
    costly_input, left = trio.Lock(), trio.Event()

    async def handle(
        connection: ServerConnection, request: ReceivedRequest, scope: RequestScope
    ) -> CallerResponse:
        await left.wait()
        raise CallerDisconnectedError

    connection = ServerConnection(
        stream, RequestLimits, budget, make_error, lambda request: math.inf, costly_input
    )

    async def serve(pipeline: RequestPipeline) -> None:
        try:
            await pipeline.serve()
        except CallerDisconnectedError:
            connection.close_now()

    with open_input_watch() as watch:
        async with trio.open_nursery() as nursery:
            await costly_input.acquire()
            nursery.start_soon(serve, RequestPipeline(connection, handle, nursery, watch))
            while not costly_input.statistics().tasks_waiting:
                await trio.lowlevel.checkpoint()
            left.set()
            costly_input.release()


class LostWhileReadingAheadTest(unittest.TestCase):
    def test_the_memory_of_a_request_that_is_parsed_is_not_returned_twice(self) -> None:
        async def run() -> None:
            budget = ByteBudget(1 << 20)
            with listen("127.0.0.1:0") as listener, trio.fail_after(TIMEOUT_S):
                for _ in range(ROUNDS):
                    caller = await connect(listener.address)
                    await caller.send_all(REQUESTS)
                    await leave_while_parsing(await listener.accept(), budget)
                    self.assertEqual(budget.used_bytes, 0)
                    await caller.aclose()

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
