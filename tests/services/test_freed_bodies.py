"""The body of a request is freed when the request ends, not by a later collection of garbage."""

from __future__ import annotations

import gc
import unittest

import trio

from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_testing.builders.service_mesh import connect, serve_mesh
from fulmarstile_wire.services import HopCall

BODY = b"x" * 100_000
HEAD = b"POST /a?delay_ms=60000 HTTP/1.1\r\nhost: shop.example\r\ncontent-length: %d\r\n\r\n"
TIMEOUT_S = 10.0


def count_held(*kinds: type) -> int:
    """Counts the requests that are in memory."""
    return sum(isinstance(each, kinds) for each in gc.get_objects())


class FreedBodyTest(unittest.TestCase):
    def setUp(self) -> None:
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    def test_the_body_of_an_answered_request_is_freed_at_both_daemons(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop") as mesh:
                for _ in range(3):
                    answer = await mesh.nodes[0].call("/a", "POST", body=BODY)
                    self.assertEqual(answer.status, 200)
                with trio.fail_after(TIMEOUT_S):
                    while mesh.nodes[0].daemon.byte_budget.used_bytes:
                        await trio.sleep(0.01)
                await trio.sleep(0.1)
                self.assertEqual(count_held(ReceivedRequest, HopCall), 0)

        trio.run(run)

    def test_the_body_of_a_request_whose_caller_left_is_freed(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                caller = await connect(mesh.nodes[0].address)
                await caller.send_all(HEAD % len(BODY) + BODY)
                record = mesh.nodes[0].upstream.record
                with trio.fail_after(TIMEOUT_S):
                    while not record.running:
                        await trio.sleep(0.01)
                    await caller.aclose()
                    while record.running or mesh.nodes[0].daemon.byte_budget.used_bytes:
                        await trio.sleep(0.01)
                await trio.sleep(0.1)
                self.assertEqual(count_held(ReceivedRequest), 0)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
