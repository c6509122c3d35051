"""A stopping daemon finishes what is in flight and keeps serving while callers send requests."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_testing.builders.service_mesh import ServiceClient, connect, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route
from fulmarstile_wire.services import MemberPhase

DOCUMENT = make_document(
    make_route(prefix="/quick/", timeout_s=0.5),
    make_route(prefix="/slow/", timeout_s=4.0),
    make_route(prefix="/long/", timeout_s=60.0),
)
LATE_S = 2.6
"""Time into the stop from which requests that may outlast the daemon are refused, in seconds."""
ANSWER_BYTES = 30_000_000
READ_BYTES_PER_S = 10_000_000
UPLOAD_BODY = b"x" * 1000
UPLOAD_HEAD = (
    b"POST /slow/a HTTP/1.1\r\nhost: shop.example\r\nrequest-id: upload-1\r\n"
    b"time-left-ms: 4000\r\n"
    b"content-length: 1000\r\n\r\n"
)


async def receive_until_end(stream: trio.SocketStream) -> bytes:
    """Receives data until the peer closes the connection."""
    received = b""
    with trio.move_on_after(8.0):
        try:
            while data := await stream.receive_some():
                received += data
        except trio.BrokenResourceError:
            return received
    return received


class StoppingTest(unittest.TestCase):
    def test_a_request_in_flight_is_answered(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                node = mesh.nodes[0]
                async with ServiceClient(await connect(node.address)) as client:
                    await client.send("/quick/a?delay_ms=300")
                    while not node.upstream.record.running:
                        await trio.sleep(0.01)
                    node.stop()
                    answer = await client.receive()
                self.assertEqual((answer.status, answer.complete), (200, True))
                self.assertEqual(answer.headers[b"connection"], b"close")

        trio.run(run)

    def test_new_requests_are_served_although_the_daemon_is_no_longer_ready(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                node = mesh.nodes[0]
                node.stop()
                await trio.sleep(0.1)
                self.assertFalse(node.daemon.is_ready)
                self.assertEqual((await node.call("/quick/a")).status, 200)

        trio.run(run)

    def test_a_request_with_a_late_deadline_is_served_early_in_the_stop(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=DOCUMENT) as mesh:
                entry, serving = mesh.nodes
                entry.stop()
                serving.stop()
                await trio.sleep(0.1)
                for node in (entry, serving):
                    answer = await node.call("/long/a", request_id=node.address, wait_ms=60_000)
                    self.assertEqual(answer.status, 200)

        trio.run(run)

    def test_a_request_that_could_outlast_the_daemon_is_refused_as_not_run(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                node = mesh.nodes[0]
                async with ServiceClient(await connect(node.address)) as client:
                    await client.send("/long/a?delay_ms=60000", wait_ms=60_000)
                    while not node.upstream.record.running:
                        await trio.sleep(0.01)
                    node.stop()
                    await trio.sleep(LATE_S)
                    answer = await node.call("/long/b", request_id="late", wait_ms=60_000)
                self.assertEqual(answer.status, 503)
                self.assertIn(b"retry-after", answer.headers)
                self.assertEqual(len(node.upstream.record.requests), 1)

        trio.run(run)

    def test_a_request_whose_body_still_arrives_is_served(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                node = mesh.nodes[0]
                stream = await connect(node.address)
                await stream.send_all(UPLOAD_HEAD + UPLOAD_BODY[:10])
                await trio.sleep(0.1)
                node.stop()
                await trio.sleep(2.5)
                await stream.send_all(UPLOAD_BODY[10:])
                answer = await receive_until_end(stream)
                self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)

        trio.run(run)

    def test_a_request_that_never_arrives_completely_is_refused_before_the_daemon_ends(
        self,
    ) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                node = mesh.nodes[0]
                stream = await connect(node.address)
                await stream.send_all(UPLOAD_HEAD + UPLOAD_BODY[:10])
                await trio.sleep(0.1)
                node.stop()
                answer = await receive_until_end(stream)
                self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
                self.assertIn(b"retry-after", answer)
                self.assertEqual(node.upstream.record.requests, [])

        trio.run(run)

    def test_an_answer_to_a_slow_caller_is_sent_completely(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                entry = mesh.nodes[0]
                async with ServiceClient(await connect(entry.address)) as client:
                    await client.send(f"/slow/a?size={ANSWER_BYTES}", wait_ms=4_000)
                    await client.stream.receive_some(1)
                    entry.stop()
                    received = 1
                    while data := await client.stream.receive_some(1 << 20):
                        received += len(data)
                        await trio.sleep(len(data) / READ_BYTES_PER_S)
                self.assertGreaterEqual(received, ANSWER_BYTES)

        trio.run(run)

    def test_a_daemon_without_callers_ends_and_other_daemons_learn_of_it(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", "stock") as mesh:
                node, other = mesh.nodes
                node.stop()
                with trio.fail_after(10):
                    await node.ended.wait()
                    while other.daemon.directory.serving("shop"):
                        await trio.sleep(0.01)
                member = other.daemon.directory.find("daemon-1")
                self.assertIs(member.phase, MemberPhase.STOPPED)

        trio.run(run)
