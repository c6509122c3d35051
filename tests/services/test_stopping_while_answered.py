"""An answer that is arriving when a daemon ends is passed on whole, within its last phase."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any
from unittest import mock

import trio
import trio.testing

from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._links import DaemonLinks
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_services.document import Repeatability
from fulmarstile_testing.builders.link_servers import LinkClient, make_hop_call
from fulmarstile_testing.builders.service_mesh import ServiceClient, connect, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_member, make_route
from fulmarstile_testing.lost_search.environment import virtual_clocks
from fulmarstile_testing.service_upstream import ServiceUpstream
from fulmarstile_wire.services import Hello, HopAnswer, HopCall, HopOutcome, encode_frame
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import h11

    from fulmarstile_testing.builders.service_mesh import ClientAnswer

GRACE_S = 6.0
WORKED_S = 4.9
"""Time into the stop at which the upstream has finished, before the last sixth of its time."""
HELD_UP_S = 0.4
"""Time for which the rest of the answer is held up: it arrives when the daemon ends, 5.2 s in."""
ENDLESS_S = 60.0
ANSWER_BYTES = 300_000
FIRST_BYTES = 100_000
WAIT_MS = 30_000
DOCUMENT = make_document(
    make_route(repeatability=Repeatability.AT_MOST_ONCE, timeout_s=60.0, target_latency_s=30.0)
)
TIMEOUT_S = 10.0


def answer_in_two_parts(pause_s: float) -> Callable[..., Awaitable[None]]:
    """Makes an upstream send an answer in two parts, with a pause between them."""

    async def answer(
        self: ServiceUpstream,
        http: h11.Connection,
        stream: trio.SocketStream,
        served: Any,
        status: int,
        body: bytes,
        **options: bool,
    ) -> None:
        data = self._make_answer(served, status, body)
        await stream.send_all(data[:FIRST_BYTES])
        await trio.sleep(pause_s)
        await stream.send_all(data[FIRST_BYTES:])

    return answer


def run_in_virtual_time(run: Callable[[], Awaitable[ClientAnswer]]) -> ClientAnswer:
    async def run_with_clocks() -> ClientAnswer:
        with virtual_clocks():
            return await run()

    return trio.run(run_with_clocks, clock=trio.testing.MockClock(autojump_threshold=0.001))


class StoppingWhileAnsweredTest(unittest.TestCase):
    def stop(self, services: tuple[str, ...], stopping: int, pause_s: float) -> ClientAnswer:
        """Stops a daemon while the upstream beside the last one answers the first one's caller."""

        async def run() -> ClientAnswer:
            async with serve_mesh(*services, document=DOCUMENT) as mesh:
                node = mesh.nodes[stopping]
                async with ServiceClient(await connect(mesh.nodes[0].address)) as client:
                    target = f"/a?delay_ms={WORKED_S * 1000:.0f}&size={ANSWER_BYTES}"
                    await client.send(target, "POST", wait_ms=WAIT_MS)
                    while not mesh.nodes[-1].upstream.record.running:
                        await trio.sleep(0.001)
                    node.stop()
                    stopped_at = trio.current_time()
                    answer = await client.receive()
                    await node.ended.wait()
                self.assertLess(trio.current_time() - stopped_at, GRACE_S)
            return answer

        with mock.patch.object(ServiceUpstream, "_answer", answer_in_two_parts(pause_s)):
            return run_in_virtual_time(run)

    def test_a_daemon_passes_on_the_answer_that_its_upstream_is_sending(self) -> None:
        answer = self.stop(("shop",), 0, HELD_UP_S)
        self.assertEqual((answer.status, len(answer.body)), (200, ANSWER_BYTES))

    def test_a_daemon_sends_another_one_the_answer_that_its_upstream_is_sending(self) -> None:
        answer = self.stop(("stock", "shop"), 1, HELD_UP_S)
        self.assertEqual((answer.status, len(answer.body)), (200, ANSWER_BYTES))

    def test_closing_the_other_connections_cuts_off_no_answer(self) -> None:
        async def run() -> ClientAnswer:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                node = mesh.nodes[0]
                async with (
                    ServiceClient(await connect(node.address)) as client,
                    trio.open_nursery() as nursery,
                ):
                    await client.send(f"/a?size={ANSWER_BYTES}", "POST", wait_ms=WAIT_MS)
                    await trio.sleep(HELD_UP_S / 2)
                    nursery.start_soon(node.daemon._callers.finish, HELD_UP_S)
                    return await client.receive()

        with mock.patch.object(ServiceUpstream, "_answer", answer_in_two_parts(HELD_UP_S)):
            answer = run_in_virtual_time(run)
        self.assertEqual((answer.status, len(answer.body)), (200, ANSWER_BYTES))

    def test_a_daemon_does_not_wait_for_an_answer_without_end(self) -> None:
        for services, stopping in ((("shop",), 0), (("stock", "shop"), 1)):
            with self.subTest(services):
                answer = self.stop(services, stopping, ENDLESS_S)
                self.assertEqual((answer.status, answer.complete), (502, True))


class ClosingWhileAnsweredTest(unittest.TestCase):
    def test_a_connection_on_which_an_answer_arrives_is_not_closed_before_it_has_arrived(
        self,
    ) -> None:
        results = []

        async def run() -> None:
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
            links = DaemonLinks("entry", ByteBudget(1 << 30))
            progress = AttemptProgress()

            async def forward() -> None:
                member = make_member("other", address=address)
                request = ReceivedRequest(b"POST", b"/", MessageHeaders(), b"", 0.0)
                results.append(await links.forward(member, make_hop_call(1).hop, request, progress))

            async with listener, trio.open_nursery() as nursery:
                await nursery.start(links.run)
                with trio.fail_after(TIMEOUT_S):
                    async with trio.open_nursery() as calls:
                        calls.start_soon(forward)
                        peer = LinkClient(await listener.accept())
                        hello, call = await peer.receive(), await peer.receive()
                        self.assertIsInstance(hello, Hello)
                        self.assertIsInstance(call, HopCall)
                        self.assertFalse(progress.is_answering())
                        outcome = HopOutcome(Verdict.RAN)
                        body = b"x" * ANSWER_BYTES
                        data = encode_frame(HopAnswer(call.call_id, outcome, 200, [], body))
                        await peer.stream.send_all(data[:FIRST_BYTES])
                        while not progress.is_answering():
                            await trio.sleep(0.001)
                        links.close_all()
                        await peer.stream.send_all(data[FIRST_BYTES:])
                    self.assertFalse(progress.is_answering())
                    links.close_all()
                    with self.assertRaises(EOFError):
                        await peer.receive()
                nursery.cancel_scope.cancel()
            await peer.stream.aclose()

        trio.run(run)
        self.assertEqual(len(results[0].response.body), ANSWER_BYTES)


if __name__ == "__main__":
    unittest.main()
