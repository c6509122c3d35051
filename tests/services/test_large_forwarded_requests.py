"""One forwarded request at a time may exceed the limit of one message."""

from __future__ import annotations

import unittest
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING

import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._frame_stream import FrameStream
from fulmarstile_daemon.services._links import DaemonLinks
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.byte_stream import open_stream
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_testing.builders.link_servers import (
    answer_call,
    make_hop_call,
    make_link_server,
    open_link,
    serve_links,
)
from fulmarstile_testing.builders.services import make_member
from fulmarstile_wire.services import HopAnswer, HopOutcome, encode_frame
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fulmarstile_daemon.services._call import AttemptResult
    from fulmarstile_wire.services import HopCall

LIMIT_BYTES = 900_000
SPARE_BYTES = 900_000
LARGE_BYTES = 1_000_000
STALL_S = 1.2
"""Time without progress after which a request gives way, in seconds."""
TIMEOUT_S = 20.0
LARGE_FRAME = encode_frame(make_hop_call(1, b"x" * LARGE_BYTES))
UNREAD_BYTES = 30_000_000
"""Larger than the buffers of a connection."""


async def answer_size(call: HopCall, _: float, __: AttemptProgress) -> HopAnswer:
    body = b"%d" % len(call.body)
    return HopAnswer(call.call_id, HopOutcome(Verdict.RAN), 200, [], body)


async def forward(address: str, body: bytes, budget: ByteBudget) -> AttemptResult:
    """Forwards one request over connections of its own."""
    links = DaemonLinks("client", budget)
    request = ReceivedRequest(b"POST", b"/", MessageHeaders([]), body, 0.0)
    async with trio.open_nursery() as nursery:
        await nursery.start(links.run)
        member = make_member(address=address)
        result = await links.forward(member, make_hop_call(1).hop, request, AttemptProgress())
        nursery.cancel_scope.cancel()
    return result


class LargeCallTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = ByteBudget(LIMIT_BYTES, SPARE_BYTES)

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[str]:
        with trio.fail_after(TIMEOUT_S):
            async with serve_links(make_link_server(answer_size, budget=self.budget)) as address:
                yield address

    async def wait_large(self) -> None:
        """Waits until a large request is received, and returns when none can be in addition."""
        while True:
            with self.budget.allocate() as other:
                if not other.try_grow_large(1):
                    return
            await trio.sleep(0.01)

    def test_a_large_request_is_served_wherever_its_frame_is_split(self) -> None:
        # It was refused as overloaded, although nothing else was held.
        async def run() -> None:
            async with self.serve() as address, open_link(address) as client:
                for cut in (3, 4, 5, 6, 7, 100, LARGE_BYTES):
                    await client.stream.send_all(LARGE_FRAME[:cut])
                    await trio.sleep(0.02)
                    await client.stream.send_all(LARGE_FRAME[cut:])
                    self.assertEqual((await client.receive()).body, b"%d" % LARGE_BYTES)
                    await trio.sleep(0.02)
                    self.assertEqual(self.budget.used_bytes, 0)

        trio.run(run)

    def test_a_second_one_is_refused_and_its_connection_goes_on(self) -> None:
        async def run() -> None:
            async with self.serve() as address, AsyncExitStack() as stack:
                first = await stack.enter_async_context(open_link(address))
                second = await stack.enter_async_context(open_link(address))
                await first.stream.send_all(LARGE_FRAME[:-1])
                await self.wait_large()
                await second.stream.send_all(LARGE_FRAME)
                answer = await second.receive()
                self.assertEqual(answer.outcome.verdict, Verdict.NOT_RUN)
                self.assertEqual(answer.outcome.reason, RefusalReason.OVERLOADED.value)
                await second.send(make_hop_call(2, b"small"))
                self.assertEqual((await second.receive()).body, b"5")
                await first.stream.send_all(LARGE_FRAME[-1:])
                self.assertEqual((await first.receive()).body, b"%d" % LARGE_BYTES)

        trio.run(run)

    def test_one_that_stalls_gives_way_to_another(self) -> None:
        async def run() -> None:
            async with self.serve() as address, AsyncExitStack() as stack:
                stalled = await stack.enter_async_context(open_link(address))
                other = await stack.enter_async_context(open_link(address))
                await stalled.stream.send_all(LARGE_FRAME[:-1])
                await self.wait_large()
                await trio.sleep(STALL_S)
                await other.stream.send_all(LARGE_FRAME)
                self.assertEqual((await other.receive()).body, b"%d" % LARGE_BYTES)
                await stalled.stream.send_all(LARGE_FRAME[-1:])
                answer = await stalled.receive()
                self.assertEqual(answer.outcome.verdict, Verdict.NOT_RUN)
                await stalled.send(make_hop_call(2, b"small"))
                self.assertEqual((await stalled.receive()).body, b"5")

        trio.run(run)

    def test_an_answer_is_never_large(self) -> None:
        async def run() -> None:
            async def answer_long(call: HopCall, _: float, __: AttemptProgress) -> HopAnswer:
                outcome = HopOutcome(Verdict.RAN)
                return HopAnswer(call.call_id, outcome, 200, [], b"x" * LARGE_BYTES)

            with trio.fail_after(TIMEOUT_S):
                async with serve_links(make_link_server(answer_long)) as address:
                    result = await forward(address, b"", self.budget)
            self.assertEqual(result.outcome.reason, RefusalReason.ANSWER_TOO_LARGE.value)

        trio.run(run)


class SharedBodyTest(unittest.TestCase):
    def test_a_body_is_accounted_once_while_its_call_lasts_and_then_until_it_is_sent(self) -> None:
        async def run() -> None:
            budget = ByteBudget(1 << 30)
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            async with listener:
                port = listener.socket.getsockname()[1]
                frames = FrameStream(await open_stream(f"127.0.0.1:{port}"), budget)
                frame = frames.send(make_hop_call(1, b"x" * UNREAD_BYTES))
                self.assertTrue(frames.has_unsent)
                self.assertFalse(frame.is_untouched)
                self.assertEqual(budget.used_bytes, 0)
                frames.keep(frame)
                self.assertEqual(budget.used_bytes, frame.unsent_bytes)
                self.assertGreater(frame.unsent_bytes, 0)
                untouched = frames.send(make_hop_call(2, b"y" * UNREAD_BYTES))
                self.assertLess(budget.used_bytes, frame.unsent_bytes + 1_000)
                self.assertTrue(frames.drop(untouched))
                self.assertEqual(budget.used_bytes, frame.unsent_bytes)
                peer = await listener.accept()
                async with peer, trio.open_nursery() as nursery:
                    nursery.start_soon(frames.send_forever)
                    received = 0
                    while received < frame.size:
                        received += len(await peer.receive_some())
                    nursery.cancel_scope.cancel()
                self.assertEqual(received, frame.size)
                self.assertEqual(budget.used_bytes, 0)
                frames.close()

        trio.run(run)


class LargeForwardTest(unittest.TestCase):
    def test_a_body_in_a_buffer_arrives_as_it_was(self) -> None:
        async def run() -> None:
            body = bytearray(bytes(range(256)) * 4_000)
            with trio.fail_after(TIMEOUT_S):
                async with serve_links(make_link_server(answer_call)) as address:
                    result = await forward(address, body, ByteBudget(1 << 30))
            assert result.response is not None
            self.assertEqual(result.response.body, body)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
