"""A message of a kind that only a newer daemon knows costs no call on its connection."""

from __future__ import annotations

import unittest

import msgspec
import trio
import trio.testing

from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._links import DaemonLinks
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_testing.builders.link_servers import (
    LinkClient,
    answer_call,
    make_hop_call,
    make_link_server,
    open_link,
    serve_links,
)
from fulmarstile_testing.builders.services import make_member
from fulmarstile_wire.services import Hello, HopAnswer, HopCall, HopOutcome
from fulmarstile_wire.verdict import Verdict

TIMEOUT_S = 10.0
UNKNOWN_BODIES = (
    msgspec.msgpack.encode([90, 7, "more"]),
    msgspec.msgpack.encode([9, 7, ["weather", "baker"]]),
    msgspec.msgpack.encode([10, 7, ["weather", "baker"]]),
)
"""A message, a request and a reply of kinds that no daemon knows so far."""
RESTING = {"name": "d", "address": "a:1", "availability_zone": "z", "incarnation": 1}
RESTING["phase"] = "resting"
UNKNOWN_STATE = tuple(
    msgspec.msgpack.encode([tag, 7, {"sender": "d", "digest": b"", "members": [RESTING]}])
    for tag in (4, 5)
)
"""State with a phase that no daemon knows so far, as a request and as a reply."""


async def send_unknown(client: LinkClient) -> None:
    """Sends messages of unknown kinds."""
    for body in UNKNOWN_BODIES + UNKNOWN_STATE:
        await client.stream.send_all(len(body).to_bytes(4, "big") + body)


class UnknownMessageTest(unittest.TestCase):
    def test_a_daemon_that_runs_a_request_answers_it(self) -> None:
        async def run() -> None:
            released = trio.Event()

            async def handle(call, deadline, progress):
                await released.wait()
                return await answer_call(call, deadline, progress)

            with trio.fail_after(TIMEOUT_S):
                server = make_link_server(handle)
                async with serve_links(server) as address, open_link(address) as client:
                    await client.send(make_hop_call(7, b"body"))
                    await send_unknown(client)
                    await trio.testing.wait_all_tasks_blocked(0.05)
                    released.set()
                    answer = await client.receive()
                    self.assertEqual((answer.call_id, answer.body), (7, b"body"))

        trio.run(run)

    def test_a_daemon_that_has_forwarded_a_request_receives_its_answer(self) -> None:
        results = []

        async def run() -> None:
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
            links = DaemonLinks("entry", ByteBudget(1 << 30))

            async def forward() -> None:
                member = make_member("other", address=address)
                request = ReceivedRequest(b"POST", b"/", MessageHeaders(), b"", 0.0)
                hop = make_hop_call(1).hop
                results.append(await links.forward(member, hop, request, AttemptProgress()))

            async with listener, trio.open_nursery() as nursery:
                await nursery.start(links.run)
                with trio.fail_after(TIMEOUT_S):
                    async with trio.open_nursery() as calls:
                        calls.start_soon(forward)
                        peer = LinkClient(await listener.accept())
                        hello, call = await peer.receive(), await peer.receive()
                        self.assertIsInstance(hello, Hello)
                        self.assertIsInstance(call, HopCall)
                        await send_unknown(peer)
                        await peer.send(HopAnswer(call.call_id, HopOutcome(Verdict.RAN), 200))
                nursery.cancel_scope.cancel()
            await peer.stream.aclose()

        trio.run(run)
        self.assertTrue(results[0].response is not None, results[0].outcome)


if __name__ == "__main__":
    unittest.main()
