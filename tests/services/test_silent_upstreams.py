"""Upstreams that never answer some requests, nor any later ones on the same connection."""

from __future__ import annotations

import unittest
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_services.slot_class import SlotClass
from fulmarstile_testing.builders.service_mesh import make_local_upstream, serve_mesh
from fulmarstile_testing.builders.services import make_announcement
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_testing.service_upstream import ServiceUpstream
from fulmarstile_wire.services import HopRequest

if TYPE_CHECKING:
    from fulmarstile_daemon.services._upstream import LocalUpstream

HOP = HopRequest("shop", "upstream-1", "web", SlotClass.URGENT, 5_000, 5_000, False, 1_000)
SLOTS = 4
TIME_LEFT_S = 0.3
SILENT = b"/silent"
IDLE_S = 0.05
"""Idle real time after which virtual time is advanced, in seconds."""


def run_in_virtual_time(run) -> None:
    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=IDLE_S))


@dataclass
class SilentUpstream:
    """Answers requests, except those for `/silent` and any after them on the same connection."""

    connections: list[list[bytes]] = field(default_factory=list)
    """Targets of the requests on each connection."""

    async def serve(self, stream: trio.SocketStream) -> None:
        targets: list[bytes] = []
        self.connections.append(targets)
        with suppress(trio.BrokenResourceError):
            await self._answer(stream, targets)

    async def _answer(self, stream: trio.SocketStream, targets: list[bytes]) -> None:
        received = b""
        while data := await stream.receive_some():
            received += data
            while b"\r\n\r\n" in received:
                head, _, received = received.partition(b"\r\n\r\n")
                targets.append(head.split(b" ")[1])
                if SILENT in targets:
                    continue
                name = HEADER_NAMES.request_id
                line = next(field for field in head.split(b"\r\n") if field.startswith(name))
                proof = HEADER_NAMES.response_signature
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\n%b\r\n%b: p\r\ncontent-length: 0\r\n\r\n" % (line, proof)
                )


def make_request(target: bytes, request_id: bytes) -> ReceivedRequest:
    headers = MessageHeaders([(b"host", b"shop.example"), (HEADER_NAMES.request_id, request_id)])
    return ReceivedRequest(b"GET", target, headers, b"", trio.current_time())


class SilentUpstreamTest(unittest.TestCase):
    def test_a_silent_connection_is_closed_and_not_reused_for_other_requests(self) -> None:
        async def call(local: LocalUpstream, target: bytes, request_id: bytes) -> bool:
            """Returns whether a request is answered before its deadline."""
            deadline = trio.current_time() + TIME_LEFT_S
            progress = AttemptProgress()
            with trio.move_on_at(deadline):
                request = make_request(target, request_id)
                result = await local.run(HOP, request, deadline, deadline, progress)
                return result.response is not None
            self.assertTrue(progress.may_have_begun)
            return False

        async def run() -> None:
            upstream = SilentUpstream()
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            local = make_local_upstream(connections=20, budget=ByteBudget(1 << 20))
            port = listener.socket.getsockname()[1]
            local.apply_announcement(make_announcement(slots=SLOTS), f"127.0.0.1:{port}")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, upstream.serve, [listener])
                self.assertTrue(await call(local, b"/first", b"r0"))
                self.assertFalse(await call(local, SILENT, b"r1"))
                for number in range(2, 6):
                    self.assertTrue(await call(local, b"/later", b"r%d" % number))
                self.assertEqual(local.running, 0)
                nursery.cancel_scope.cancel()
            for targets in upstream.connections:
                self.assertNotIn(SILENT, targets[:-1])

        run_in_virtual_time(run)

    def test_an_upstream_never_runs_more_requests_than_it_has_slots(self) -> None:
        async def run() -> None:
            upstream = ServiceUpstream(HEADER_NAMES, "upstream-1")
            local = make_local_upstream(connections=20, budget=ByteBudget(1 << 20))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(upstream.serve)
                local.apply_announcement(make_announcement(slots=SLOTS), upstream.address)

                async def call(number: int) -> None:
                    deadline = trio.current_time() + 5.0
                    request = make_request(b"/a?delay_ms=50", b"r%d" % number)
                    await local.run(HOP, request, deadline, deadline, AttemptProgress())

                async with trio.open_nursery() as calls:
                    for number in range(10 * SLOTS):
                        calls.start_soon(call, number)
                nursery.cancel_scope.cancel()
            self.assertEqual(upstream.record.max_running, SLOTS)

        run_in_virtual_time(run)

    def test_a_caller_of_a_silent_upstream_is_told_that_its_request_may_have_run(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop") as mesh:
                answer = await mesh.nodes[0].call("/a?delay_ms=60000", wait_ms=300)
                self.assertEqual(answer.status, 504)
                following = await mesh.nodes[0].call("/a?size=7", request_id="request-2")
                self.assertEqual((following.status, following.body), (200, b"x" * 7))

        run_in_virtual_time(run)
