"""The verdict on a request without an answer depends on how much of it was sent, and where."""

from __future__ import annotations

import socket
import unittest
from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING

import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._attempt_progress import AttemptProgress, AttemptStage
from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._links import DaemonLinks
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_services.document import Repeatability
from fulmarstile_testing.builders.service_mesh import ServiceClient, connect, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_member, make_route
from fulmarstile_wire.services import (
    PROTOCOL_VERSION,
    FrameDecoder,
    Hello,
    HopAnswer,
    HopCall,
    HopCancel,
    HopOutcome,
    HopRequest,
    HopWithdraw,
    encode_frame,
)
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fulmarstile_daemon.services._call import AttemptResult
    from fulmarstile_testing.builders.service_mesh import ServiceMesh, ServiceNode
    from fulmarstile_wire.services import Member

DOCUMENT = make_document(
    make_route(
        prefix="/short/",
        repeatability=Repeatability.AT_MOST_ONCE,
        timeout_s=0.5,
        target_latency_s=0.4,
    ),
    make_route(
        prefix="/long/",
        repeatability=Repeatability.AT_MOST_ONCE,
        timeout_s=60.0,
        target_latency_s=30.0,
    ),
)
BODY = b"x" * 200_000
LARGE_BODY = b"x" * 14_000_000
"""Larger than the buffers of a connection."""
WAIT_MS = 40_000
SLOTS = 4
BUFFER_BYTES = 4_096
HOP = HopRequest("shop", "upstream-1", "web", 0, 20_000, 20_000, False, 20_000)


@asynccontextmanager
async def listen_without_reading() -> AsyncIterator[tuple[trio.SocketListener, Member]]:
    """Listens in place of a daemon, with a receive buffer that holds little data."""
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    await sock.bind(("127.0.0.1", 0))
    sock.listen()
    with sock:
        stalled = make_member("deaf", address=f"127.0.0.1:{sock.getsockname()[1]}")
        yield trio.SocketListener(sock), stalled


@asynccontextmanager
async def serve_with_stalled_daemon() -> AsyncIterator[tuple[ServiceMesh, trio.SocketListener]]:
    """Runs a daemon whose only known peer accepts connections but reads nothing."""
    async with (
        listen_without_reading() as (listener, stalled),
        serve_mesh("stock", document=DOCUMENT) as mesh,
    ):
        mesh.nodes[0].daemon.directory.merge_members([stalled])
        yield mesh, listener


async def send_large(client: ServiceClient, target: str) -> None:
    """Sends a request whose body doesn't fit into the buffers of a stalled connection."""
    await client.send(target, "POST", wait_ms=WAIT_MS, body=LARGE_BODY)


class HandoverTest(unittest.TestCase):
    def test_a_request_that_times_out_before_any_of_it_was_sent_is_refused_as_not_run(self) -> None:
        async def run() -> None:
            async with (
                serve_with_stalled_daemon() as (mesh, _),
                ServiceClient(await connect(mesh.nodes[0].address)) as first,
                ServiceClient(await connect(mesh.nodes[0].address)) as second,
            ):
                await send_large(first, "/long/a")
                await trio.sleep(0.3)
                await second.send("/short/b", "POST", wait_ms=WAIT_MS, body=BODY)
                answer = await second.receive()
                self.assertEqual(answer.status, 503)
                self.assertIn(b"retry-after", answer.headers)

        trio.run(run)

    def test_a_request_that_times_out_after_part_of_it_was_sent_may_have_run(self) -> None:
        async def run() -> None:
            async with (
                serve_with_stalled_daemon() as (mesh, _),
                ServiceClient(await connect(mesh.nodes[0].address)) as client,
            ):
                await send_large(client, "/short/a")
                self.assertEqual((await client.receive()).status, 504)

        trio.run(run)

    def test_a_request_that_was_sent_only_in_part_is_refused_when_the_daemon_stops(self) -> None:
        async def run() -> None:
            async with serve_with_stalled_daemon() as (mesh, listener):
                entry = mesh.nodes[0]
                async with ServiceClient(await connect(entry.address)) as client:
                    await send_large(client, "/long/a")
                    stream = await self.receive_part(listener)
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self.receive_slowly, stream)
                        entry.stop()
                        with trio.fail_after(10.0):
                            answer = await client.receive()
                        nursery.cancel_scope.cancel()
                self.assertEqual((answer.status, answer.complete), (503, True))

        trio.run(run)

    def test_a_request_sent_in_part_when_the_connection_breaks_goes_to_another_daemon(
        self,
    ) -> None:
        async def run() -> None:
            async with serve_with_stalled_daemon() as (mesh, listener):
                entry = mesh.nodes[0]
                async with ServiceClient(await connect(entry.address)) as client:
                    await send_large(client, "/long/a")
                    stream = await self.receive_part(listener)
                    shop = await self.start_shop(mesh)
                    await trio.aclose_forcefully(stream)
                    answer = await client.receive()
                self.assertEqual(answer.status, 200)
                self.assertEqual(shop.upstream.record.count_runs("request-1"), 1)

        trio.run(run)

    def test_withdrawing_a_request_does_not_break_others_on_its_connection(self) -> None:
        results: dict[str, AttemptResult] = {}

        async def forward(
            links: DaemonLinks, stalled: Member, body: bytes, progress: AttemptProgress
        ):
            request = ReceivedRequest(b"POST", b"/a", MessageHeaders(), body, 0.0)
            results[f"{len(body)}"] = await links.forward(stalled, HOP, request, progress)

        async def receive_call(stream: trio.SocketStream) -> HopCall:
            decoder = FrameDecoder()
            while True:
                for message in decoder.feed(await stream.receive_some()):
                    if isinstance(message, HopCall):
                        return message

        async def run() -> None:
            running, withdrawn, cancelled = AttemptProgress(), AttemptProgress(), trio.CancelScope()
            links = DaemonLinks("entry", ByteBudget(1 << 30))

            async def forward_until_cancelled(stalled: Member) -> None:
                with cancelled:
                    await forward(links, stalled, LARGE_BODY, withdrawn)

            async with (
                listen_without_reading() as (listener, stalled),
                trio.open_nursery() as nursery,
            ):
                await nursery.start(links.run)
                nursery.start_soon(forward, links, stalled, BODY, running)
                stream = await listener.accept()
                call = await receive_call(stream)
                nursery.start_soon(forward_until_cancelled, stalled)
                while withdrawn.stage is not AttemptStage.SENDING:
                    await trio.sleep(0.01)
                running.withdraw()
                withdrawn.withdraw()
                cancelled.cancel()
                await trio.sleep(0.05)
                answer = HopAnswer(call.call_id, HopOutcome(Verdict.RAN), 200, [], b"done")
                await stream.send_all(encode_frame(answer))
                with trio.fail_after(5.0):
                    while f"{len(BODY)}" not in results:
                        await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            self.assertIsNotNone(results[f"{len(BODY)}"].response)

        trio.run(run)

    def test_a_call_that_arrives_together_with_its_withdrawal_is_refused_at_once(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                node = mesh.nodes[0]
                hop = HopRequest(
                    "shop", node.upstream.upstream_id, "web", 0, 9_000, 9_000, False, 9_000
                )
                async with trio.open_nursery() as nursery:
                    for number in range(SLOTS):
                        busy = partial(node.call, request_id=f"r{number}", wait_ms=WAIT_MS)
                        nursery.start_soon(busy, f"/long/a?delay_ms={WAIT_MS}")
                    while node.upstream.record.running < SLOTS:
                        await trio.sleep(0.01)
                    async with await connect(node.platform.settings.listeners.daemons) as stream:
                        await stream.send_all(
                            encode_frame(Hello(PROTOCOL_VERSION, "other"))
                            + encode_frame(HopCall(1, hop, b"POST", b"/long/b", [], b""))
                            + encode_frame(HopWithdraw(1))
                        )
                        decoder = FrameDecoder()
                        with trio.fail_after(2.0):
                            (answer,) = decoder.feed(await stream.receive_some())
                    nursery.cancel_scope.cancel()
                self.assertEqual(answer.outcome.verdict, Verdict.NOT_RUN)
                self.assertEqual(answer.outcome.reason, RefusalReason.DRAINING.value)

        trio.run(run)

    def test_a_call_that_arrives_together_with_its_cancellation_does_not_run(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                node = mesh.nodes[0]
                # Leaves a pooled connection to the upstream, so that the next call starts at once.
                self.assertEqual((await node.call("/long/a")).status, 200)
                hop = HopRequest("shop", node.upstream.upstream_id, "web", 0, 9_000, 9_000, True, 9)
                headers = [(b"request-id", b"cancelled")]
                async with await connect(node.platform.settings.listeners.daemons) as stream:
                    await stream.send_all(
                        encode_frame(Hello(PROTOCOL_VERSION, "other"))
                        + encode_frame(HopCall(1, hop, b"GET", b"/long/b", headers, b""))
                        + encode_frame(HopCancel(1))
                    )
                    await trio.sleep(0.3)
                received = [request.request_id for request in node.upstream.record.requests]
                self.assertEqual(received, ["request-1"])

        trio.run(run)

    async def receive_part(self, listener: trio.SocketListener) -> trio.SocketStream:
        """Waits until some bytes of a large body have arrived."""
        found: list[trio.SocketStream] = []

        async def receive(stream: trio.SocketStream) -> None:
            received = 0
            while received <= BUFFER_BYTES:
                data = await stream.receive_some(1_000)
                if not data:
                    return
                received += len(data)
            found.append(stream)
            nursery.cancel_scope.cancel()

        with trio.fail_after(5.0):
            async with trio.open_nursery() as nursery:
                while True:
                    nursery.start_soon(receive, await listener.accept())
        return found[0]

    async def receive_slowly(self, stream: trio.SocketStream) -> None:
        """Reads so slowly that the connection stays alive but the body never arrives whole."""
        async with stream:
            while await stream.receive_some(BUFFER_BYTES):
                await trio.sleep(0.1)

    async def start_shop(self, mesh: ServiceMesh) -> ServiceNode:
        """Starts a daemon with an upstream of the service, and waits until the entry knows it."""
        node = await mesh.start_node("daemon-2")
        entry = mesh.nodes[0]
        with trio.fail_after(5.0):
            while entry.daemon.directory.find("daemon-2") not in entry.daemon.directory.serving(
                "shop"
            ):
                await trio.sleep(0.01)
        return node


if __name__ == "__main__":
    unittest.main()
