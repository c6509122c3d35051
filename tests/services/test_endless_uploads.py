"""The body of a request has to arrive while the request can still be answered."""

from __future__ import annotations

import unittest

import trio
import trio.testing

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._request_reader import RequestReader
from fulmarstile_http.request_checks import MalformedRequestError
from fulmarstile_services.document import RequestLimits
from fulmarstile_testing.builders.service_mesh import connect, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route

HEAD = b"POST /a HTTP/1.1\r\nhost: shop.example\r\ntransfer-encoding: chunked\r\n\r\n"
ROUTE_TIMEOUT_S = 3.0
PAUSE_S = 1.0
"""Time between two bytes of a trickle, in seconds."""
MAX_PARTS = 50


class Trickle:
    """Stream on which a byte of a body arrives each second."""

    is_open_without_input = True

    async def receive(self) -> bytes:
        await trio.sleep(PAUSE_S)
        return b"1\r\nx\r\n"


class HeadThenTrickle(Trickle):
    """Stream with a head before the trickle."""

    def __init__(self) -> None:
        self._head = HEAD

    async def receive(self) -> bytes:
        head, self._head = self._head, b""
        return head or await super().receive()


class EndlessUploadTest(unittest.TestCase):
    def test_a_body_that_trickles_is_refused_when_its_request_cannot_be_answered(self) -> None:
        async def run() -> float:
            reader = RequestReader(
                HeadThenTrickle(),
                RequestLimits,
                ByteBudget(1_000_000),
                lambda _: ROUTE_TIMEOUT_S,
            )
            with self.assertRaises(MalformedRequestError) as caught:
                await reader.receive()
            self.assertEqual(caught.exception.status, 408)
            return trio.current_time()

        clock = trio.testing.MockClock(autojump_threshold=0)
        started_at = clock.current_time()
        self.assertLessEqual(trio.run(run, clock=clock) - started_at, ROUTE_TIMEOUT_S)

    def test_the_time_limit_of_a_route_ends_an_upload_that_trickles(self) -> None:
        document = make_document(make_route(timeout_s=0.3))

        async def run() -> bytes:
            async with serve_mesh("shop", document=document) as mesh:
                caller = await connect(mesh.nodes[0].address)
                await caller.send_all(HEAD)
                answer = b""
                async with trio.open_nursery() as nursery:

                    async def receive() -> None:
                        nonlocal answer
                        answer = await caller.receive_some()
                        nursery.cancel_scope.cancel()

                    nursery.start_soon(receive)
                    for _ in range(MAX_PARTS):
                        await caller.send_all(b"1\r\nx\r\n")
                        await trio.sleep(0.05)
                    nursery.cancel_scope.cancel()
                return answer

        self.assertTrue(trio.run(run).startswith(b"HTTP/1.1 408"))


if __name__ == "__main__":
    unittest.main()
