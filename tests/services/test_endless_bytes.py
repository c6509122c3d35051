"""Endless input from an upstream, a caller or a daemon costs bounded memory and time."""

from __future__ import annotations

import gc
import socket
import tracemalloc
import unittest
from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING

import trio

from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._frame_stream import FrameStream, LinkBrokenError
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.byte_stream import ByteStream
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_services.slot_class import SlotClass
from fulmarstile_testing.builders.endless import ENDLESS_ANSWERS
from fulmarstile_testing.builders.service_mesh import connect, make_local_upstream, serve_mesh
from fulmarstile_testing.builders.services import make_announcement
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_wire.services import HopAnswer, HopOutcome, HopRequest
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fulmarstile_daemon.services._call import AttemptResult
    from fulmarstile_daemon.services._upstream import LocalUpstream

HELD_BYTES = 8 * 1024 * 1024
REQUESTS = 9
DEADLINE_S = 60.0
CUT_WITHIN_S = 20.0
"""Time within which endless input must have been cut off, far below the deadline, in seconds."""
PIECE = 16 * 1024
FRAME_BYTES = 2 * 1024 * 1024
BROKEN_CONNECTIONS = 10
HOP = HopRequest("shop", "upstream-1", "web", SlotClass.URGENT, 60_000, 60_000, False, 1_000)


async def send_endlessly(stream: trio.SocketStream, first: bytes, more: bytes) -> None:
    """Reads a request and sends an endless answer, until the peer closes the connection."""
    try:
        await stream.receive_some()
        await stream.send_all(first)
        while True:
            await stream.send_all(more)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        await stream.aclose()


@contextmanager
def trace_kept_memory() -> Iterator[Callable[[], int]]:
    """Yields a function that returns the memory allocated since, without garbage collection.

    Collection comes too late for memory that each connection leaves behind.
    """
    gc.disable()
    tracemalloc.start()
    try:
        yield lambda: tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
        gc.enable()


def make_request(number: int, arrived_at: float) -> ReceivedRequest:
    request_id = b"r%d" % number
    headers = MessageHeaders([(b"host", b"shop.example"), (HEADER_NAMES.request_id, request_id)])
    return ReceivedRequest(b"GET", b"/a", headers, b"", arrived_at)


class EndlessAnswerTest(unittest.TestCase):
    def check(self, first: bytes, more: bytes) -> list[AttemptResult]:
        """Sends concurrent requests to an upstream that sends endless answers."""
        results: list[AttemptResult] = []
        budget = ByteBudget(HELD_BYTES)
        max_held = 0

        async def watch() -> None:
            nonlocal max_held
            while True:
                max_held = max(max_held, budget.used_bytes)
                await trio.sleep(0.001)

        async def run_hop(local: LocalUpstream, number: int) -> None:
            now = trio.current_time()
            deadline = now + DEADLINE_S
            request = make_request(number, now)
            results.append(await local.run(HOP, request, deadline, deadline, AttemptProgress()))

        async def run() -> None:
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            local = make_local_upstream(connections=20, budget=budget)
            port = listener.socket.getsockname()[1]
            local.apply_announcement(make_announcement(slots=REQUESTS), f"127.0.0.1:{port}")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                nursery.start_soon(
                    trio.serve_listeners, lambda s: send_endlessly(s, first, more), [listener]
                )
                with trio.fail_after(CUT_WITHIN_S):
                    async with trio.open_nursery() as calls:
                        for number in range(REQUESTS):
                            calls.start_soon(run_hop, local, number)
                self.assertEqual(local._pool.open_count, 0)
                nursery.cancel_scope.cancel()

        trio.run(run)
        self.assertLessEqual(max_held, HELD_BYTES)
        self.assertEqual(budget.used_bytes, 0)
        return results

    def test_endless_answers_are_neither_buffered_nor_taken_for_complete(self) -> None:
        for name, (first, more) in ENDLESS_ANSWERS.items():
            with self.subTest(name):
                results = self.check(first, more)
                self.assertEqual([result.response for result in results], [None] * REQUESTS)
                verdicts = {result.outcome.verdict for result in results}
                self.assertEqual(verdicts, {Verdict.MAY_HAVE_RUN})


class EndlessRequestTest(unittest.TestCase):
    def test_callers_that_send_endless_bodies_leave_memory_for_others(self) -> None:
        async def flood(address: str) -> bytes:
            stream = await connect(address)
            head = b"POST /a HTTP/1.1\r\nhost: shop.example\r\ntransfer-encoding: chunked\r\n\r\n"
            try:
                await stream.send_all(head)
                for _ in range(100_000):
                    await stream.send_all(b"%x\r\n%b\r\n" % (PIECE, b"a" * PIECE))
            except trio.BrokenResourceError:
                pass
            return b""

        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                node = mesh.nodes[0]
                async with trio.open_nursery() as nursery:
                    for _ in range(REQUESTS):
                        nursery.start_soon(flood, node.address)
                    await trio.sleep(0.3)
                    for number in range(5):
                        answer = await node.call("/a?size=100000", request_id=f"good-{number}")
                        self.assertEqual((answer.status, len(answer.body)), (200, 100_000))
                    limit = node.daemon.byte_budget.message_limit
                    self.assertLessEqual(node.daemon.byte_budget.used_bytes, 2 * limit)
                    nursery.cancel_scope.cancel()

        trio.run(run)


class EndlessAnnouncementTest(unittest.TestCase):
    def test_bodies_at_the_addresses_for_the_upstream_and_the_platform_are_small(self) -> None:
        async def send_body(address: str) -> bytes:
            async with await connect(address) as stream:
                await stream.send_all(b"POST /a HTTP/1.1\r\nhost: a\r\n")
                await stream.send_all(b"content-length: %d\r\n\r\n" % (100 * PIECE))
                with trio.fail_after(CUT_WITHIN_S):
                    for _ in range(6):
                        await stream.send_all(b"a" * PIECE)
                    return await stream.receive_some()

        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                listeners = mesh.nodes[0].platform.settings.listeners
                for address in (listeners.announcements, listeners.readiness, listeners.metrics):
                    answer = await send_body(address)
                    self.assertIn(b" 413 ", answer)

        trio.run(run)


class EndlessFrameTest(unittest.TestCase):
    def check(self, first: bytes, more: bytes) -> None:
        budget = ByteBudget(HELD_BYTES)

        async def run() -> None:
            receiving, sending = socket.socketpair()
            receiving.setblocking(False)
            frames = FrameStream(ByteStream(receiving), budget)
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(sending))

            async def send() -> None:
                try:
                    await stream.send_all(first)
                    while True:
                        await stream.send_all(more)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                with trio.fail_after(CUT_WITHIN_S), self.assertRaises(LinkBrokenError):
                    while True:
                        await frames.receive()
                        self.assertLessEqual(budget.used_bytes, HELD_BYTES)
                frames.close()
                nursery.cancel_scope.cancel()
            self.assertEqual(budget.used_bytes, 0)
            await stream.aclose()

        trio.run(run)

    def test_connections_that_broke_within_a_message_keep_no_memory(self) -> None:
        async def break_connection(budget: ByteBudget) -> None:
            receiving, sending = socket.socketpair()
            receiving.setblocking(False)
            frames = FrameStream(ByteStream(receiving), budget)
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(sending))
            async with stream, trio.open_nursery() as nursery:
                head = FRAME_BYTES.to_bytes(4, "big")
                nursery.start_soon(stream.send_all, head + b"\xc1" * FRAME_BYTES)
                with self.assertRaises(LinkBrokenError):
                    await frames.receive()
                frames.close()

        async def run() -> int:
            budget = ByteBudget(HELD_BYTES)
            with trace_kept_memory() as kept:
                for _ in range(BROKEN_CONNECTIONS):
                    await break_connection(budget)
                return kept()

        self.assertLess(trio.run(run), 2 * FRAME_BYTES)

    def test_connections_that_broke_with_unsent_messages_keep_no_memory(self) -> None:
        def break_connection(budget: ByteBudget) -> None:
            near, far = socket.socketpair()
            near.setblocking(False)
            frames = FrameStream(ByteStream(near), budget)
            answer = HopAnswer(1, HopOutcome(Verdict.RAN), 200, [], b"x" * FRAME_BYTES)
            frames.send(answer)
            self.assertTrue(frames.has_unsent)
            frames.allow_late_reader(0.0)
            far.close()
            frames.close()

        async def run() -> int:
            budget = ByteBudget(HELD_BYTES)
            with trace_kept_memory() as kept:
                for _ in range(BROKEN_CONNECTIONS):
                    break_connection(budget)
                return kept()

        self.assertLess(trio.run(run), 2 * FRAME_BYTES)

    def test_malformed_messages_of_other_daemons_keep_no_memory(self) -> None:
        async def send_malformed(address: str) -> None:
            async with await connect(address) as stream:
                await stream.send_all(FRAME_BYTES.to_bytes(4, "big") + b"\xc1" * FRAME_BYTES)
                with suppress(trio.BrokenResourceError):
                    await stream.receive_some()

        async def run() -> int:
            async with serve_mesh("shop") as mesh:
                address = mesh.nodes[0].platform.settings.listeners.daemons
                await send_malformed(address)
                with trace_kept_memory() as kept:
                    for _ in range(BROKEN_CONNECTIONS):
                        await send_malformed(address)
                    return kept()

        self.assertLess(trio.run(run), 2 * FRAME_BYTES)

    def test_a_frame_with_a_false_length_ends_the_connection(self) -> None:
        self.check(b"\xff\xff\xff\xff", b"a" * PIECE)
        self.check((HELD_BYTES // 2).to_bytes(4, "big"), b"\xc1" * PIECE)
