"""A message that doesn't fit the queue of a connection between daemons fails only its own call."""

from __future__ import annotations

import socket
import unittest
from typing import TYPE_CHECKING

import trio

from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._links import DaemonLinks
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_testing.builders.link_servers import (
    LinkClient,
    make_hop_call,
    make_link_server,
    open_link,
    serve_links,
)
from fulmarstile_testing.builders.services import make_member
from fulmarstile_wire.loads import LoadRequest
from fulmarstile_wire.services import (
    HopAnswer,
    HopCall,
    HopOutcome,
    PeerCall,
    SyncAnswer,
    SyncCall,
    SyncReply,
    SyncRequest,
)
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_daemon.services._call import AttemptResult

BUDGET_BYTES = 16_000_000
BODY = b"x" * (BUDGET_BYTES // 2)
"""As large as a queue may be, and more than twice what the kernel takes."""
LONG_DIGEST = b"x" * (BUDGET_BYTES // 2)
SMALL_BUFFER_BYTES = 4_096
PAUSE_S = 0.5
TIMEOUT_S = 10.0


class FullQueueTest(unittest.TestCase):
    def test_a_request_that_does_not_fit_is_not_run_and_the_others_are_answered(self) -> None:
        results: list[AttemptResult] = []

        async def forward(address: str, links: DaemonLinks) -> None:
            request = ReceivedRequest(b"POST", b"/", MessageHeaders(), BODY, 0.0)
            member = make_member("other", address=address)
            hop = make_hop_call(1).hop
            results.append(await links.forward(member, hop, request, AttemptProgress()))

        async def run() -> None:
            sock = trio.socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            await sock.bind(("127.0.0.1", 0))
            sock.listen()
            links = DaemonLinks("entry", ByteBudget(BUDGET_BYTES))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            async with trio.open_nursery() as nursery:
                await nursery.start(links.run)
                async with trio.open_nursery() as calls:
                    for _ in range(2):
                        calls.start_soon(forward, address, links)
                    accepted, _ = await sock.accept()
                    await trio.sleep(PAUSE_S)
                    self.assertEqual(
                        [result.outcome.verdict for result in results], [Verdict.NOT_RUN]
                    )
                    peer = LinkClient(trio.SocketStream(accepted))
                    message = await peer.receive()
                    while not isinstance(message, HopCall):
                        message = await peer.receive()
                    await peer.send(HopAnswer(message.call_id, HopOutcome(Verdict.RAN), 200))
                nursery.cancel_scope.cancel()
            self.assertTrue(results[1].response is not None, results[1].outcome)
            await peer.stream.aclose()
            sock.close()

        run_in_time(run)

    def test_an_answer_that_does_not_fit_is_reported_and_the_others_arrive(self) -> None:
        async def answer(call: HopCall, deadline: float, progress: AttemptProgress) -> HopAnswer:
            return HopAnswer(call.call_id, HopOutcome(Verdict.RAN), 200, [], BODY)

        async def run() -> None:
            server = make_link_server(answer, budget=ByteBudget(BUDGET_BYTES))
            async with (
                serve_links(server) as address,
                open_link(address, buffer_bytes=SMALL_BUFFER_BYTES) as client,
            ):
                await client.send(make_hop_call(1), make_hop_call(2))
                await trio.sleep(PAUSE_S)
                answers = [await client.receive() for _ in range(2)]
                self.assertEqual([len(answer.body) for answer in answers], [len(BODY), 0])
                self.assertEqual(answers[1].outcome.verdict, Verdict.MAY_HAVE_RUN)

        run_in_time(run)

    def test_replies_that_do_not_fit_end_no_request_of_their_connection(self) -> None:
        def reply(request: SyncRequest) -> SyncReply:
            return SyncReply("server", LONG_DIGEST)

        async def run() -> None:
            server = make_link_server(
                handle_sync=reply, handlers={LoadRequest: reply}, budget=ByteBudget(BUDGET_BYTES)
            )
            async with (
                serve_links(server) as address,
                open_link(address, buffer_bytes=SMALL_BUFFER_BYTES) as client,
            ):
                sync = SyncRequest("client", b"digest")
                await client.send(SyncCall(1, sync), SyncCall(2, sync))
                await client.send(PeerCall(3, LoadRequest("shop")), make_hop_call(4, b"body"))
                await trio.sleep(PAUSE_S)
                answers = [await client.receive() for _ in range(2)]
                self.assertIsInstance(answers[0], SyncAnswer)
                self.assertEqual((answers[1].call_id, answers[1].body), (4, b"body"))

        run_in_time(run)


def run_in_time(run) -> None:
    """Runs a test with a time limit."""

    async def run_limited() -> None:
        with trio.fail_after(TIMEOUT_S):
            await run()

    trio.run(run_limited)


if __name__ == "__main__":
    unittest.main()
