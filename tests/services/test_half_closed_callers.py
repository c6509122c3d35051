"""A caller that closes its sending side counts as gone (docs/decisions/half-closed-callers.md)."""

from __future__ import annotations

import unittest
from unittest import mock

import trio

from fulmarstile_daemon.services import _request_server
from fulmarstile_testing.builders.service_mesh import ServiceClient, connect, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route

DOCUMENT = make_document(make_route(timeout_s=20.0))
GONE_WITHIN_S = 0.5
LONG_MS = 10_000


class HalfClosedCallersTest(unittest.TestCase):
    def test_a_request_whose_caller_closes_its_sending_side_is_cancelled_at_the_upstream(
        self,
    ) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                record = mesh.nodes[0].upstream.record
                async with ServiceClient(await connect(mesh.nodes[0].address)) as client:
                    await client.send(f"/a?delay_ms={LONG_MS}", wait_ms=LONG_MS)
                    while not record.running:
                        await trio.sleep(0.01)
                    await client.stream.send_eof()
                    with trio.fail_after(GONE_WITHIN_S):
                        while record.running:
                            await trio.sleep(0.01)
                    self.assertFalse((await client.receive()).complete)

        trio.run(run)

    def test_an_answer_before_the_next_check_reaches_a_caller_that_closed_its_sending_side(
        self,
    ) -> None:
        async def run() -> None:
            with mock.patch.object(_request_server, "_WATCH_INTERVAL_S", LONG_MS / 1000):
                await call_and_close_sending_side()

        async def call_and_close_sending_side() -> None:
            async with (
                serve_mesh("shop", document=DOCUMENT) as mesh,
                ServiceClient(await connect(mesh.nodes[0].address)) as client,
            ):
                await client.send("/a")
                await client.stream.send_eof()
                answer = await client.receive()
                self.assertEqual((answer.status, answer.complete), (200, True))

        trio.run(run)
