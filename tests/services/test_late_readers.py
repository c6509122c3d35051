"""Peers that are alive but read late: callers their answers, upstreams the bodies of requests."""

from __future__ import annotations

import socket
import unittest
from typing import TYPE_CHECKING
from unittest import mock

import trio

from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http import listener
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_services.slot_class import SlotClass
from fulmarstile_testing.builders.service_mesh import (
    ServiceClient,
    make_local_upstream,
    serve_mesh,
)
from fulmarstile_testing.builders.services import make_announcement
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_wire.services import HopRequest

if TYPE_CHECKING:
    from fulmarstile_testing.builders.service_mesh import ServiceNode

HOP = HopRequest("shop", "upstream-1", "web", SlotClass.URGENT, 8_000, 8_000, False, 1_000)
DEADLINE_S = 8.0
READ_DELAY_S = 3.5
SMALL_BUFFER_BYTES = 4_096
BODY_BYTES = 2_000_000
LARGE_BODY_BYTES = 16_000_000
"""More than the kernel buffers for one connection."""


async def connect_with_small_buffer(node: ServiceNode) -> ServiceClient:
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    host, _, port = node.address.rpartition(":")
    await sock.connect((host, int(port)))
    return ServiceClient(trio.SocketStream(sock))


class LateReadersTest(unittest.TestCase):
    def test_a_caller_that_reads_late_receives_its_whole_answer(self) -> None:
        async def call(node: ServiceNode, body_bytes: int) -> None:
            async with await connect_with_small_buffer(node) as client:
                await client.send(f"/a?size={body_bytes}", wait_ms=8_000)
                await trio.sleep(READ_DELAY_S)
                answer = await client.receive()
                self.assertTrue(answer.complete)
                self.assertEqual((answer.status, len(answer.body)), (200, body_bytes))

        async def run() -> None:
            async with serve_mesh("shop") as mesh, trio.open_nursery() as nursery:
                nursery.start_soon(call, mesh.nodes[0], BODY_BYTES)
                nursery.start_soon(call, mesh.nodes[0], LARGE_BODY_BYTES)

        trio.run(run)

    def test_an_upstream_that_reads_a_body_late_receives_it_and_answers(self) -> None:
        async def answer_late(stream: trio.SocketStream) -> None:
            received = b""
            await trio.sleep(READ_DELAY_S)
            while (end := received.find(b"\r\n\r\n")) < 0 or len(received) < end + 4 + BODY_BYTES:
                received += await stream.receive_some()
            async with stream:
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\n%b: r1\r\n%b: p\r\ncontent-length: 0\r\n\r\n"
                    % (HEADER_NAMES.request_id, HEADER_NAMES.response_signature)
                )

        async def run() -> None:
            sock = trio.socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            await sock.bind(("127.0.0.1", 0))
            sock.listen()
            local = make_local_upstream()
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            local.apply_announcement(make_announcement(slots=1), address)
            headers = MessageHeaders([(b"host", b"s"), (HEADER_NAMES.request_id, b"r1")])
            now = trio.current_time()
            request = ReceivedRequest(b"POST", b"/a", headers, b"x" * BODY_BYTES, now)
            deadline = now + DEADLINE_S
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, answer_late, [trio.SocketListener(sock)])
                with trio.fail_at(deadline):
                    result = await local.run(HOP, request, deadline, deadline, AttemptProgress())
                nursery.cancel_scope.cancel()
            local.close_idle_connections()
            self.assertIsNotNone(result.response, result.outcome)

        trio.run(run)

    def check_memory_is_freed(self, timeout_s: float) -> None:
        """Checks that the answer to a caller that never reads doesn't stay in memory."""

        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                node = mesh.nodes[0]
                async with await connect_with_small_buffer(node) as client:
                    await client.send(f"/a?size={LARGE_BODY_BYTES}")
                    budget = node.daemon.byte_budget
                    with trio.fail_after(timeout_s):
                        while budget.used_bytes < LARGE_BODY_BYTES:
                            await trio.sleep(0.01)
                        while budget.used_bytes:
                            await trio.sleep(0.01)

        trio.run(run)

    @mock.patch.object(listener, "_SEND_TIMEOUT_S", 0.3)
    def test_the_answer_to_a_caller_that_never_reads_is_dropped_in_the_end(self) -> None:
        self.check_memory_is_freed(timeout_s=2.0)

    @mock.patch.object(ByteBudget, "is_scarce", True, create=True)
    def test_it_is_dropped_sooner_while_memory_is_scarce(self) -> None:
        self.check_memory_is_freed(timeout_s=4.0)


if __name__ == "__main__":
    unittest.main()
