"""A connection to another daemon that is not used any more ends with the last call on it."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._links import DaemonLinks
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_testing.builders.link_servers import LinkClient, make_hop_call
from fulmarstile_testing.builders.services import make_member
from fulmarstile_wire.services import Hello, HopAnswer, HopCall, HopOutcome
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from fulmarstile_daemon.services._call import AttemptResult
    from fulmarstile_wire.services import Member

TIMEOUT_S = 5.0


@dataclass
class OpenCall:
    """A call that another daemon has received."""

    links: DaemonLinks
    member: Member
    peer: LinkClient
    """The other daemon's side of the connection."""
    call_id: int
    listener: trio.SocketListener
    nursery: trio.Nursery
    results: list[AttemptResult] = field(default_factory=list)

    async def forward(self) -> None:
        """Forwards a request to the other daemon."""
        request = ReceivedRequest(b"POST", b"/", MessageHeaders(), b"", 0.0)
        hop = make_hop_call(1).hop
        self.results.append(await self.links.forward(self.member, hop, request, AttemptProgress()))

    async def wait_results(self, count: int) -> None:
        """Waits until calls have ended."""
        while len(self.results) < count:
            await trio.sleep(0.01)

    async def answer(self) -> None:
        """Answers the call as the other daemon."""
        await self.peer.send(HopAnswer(self.call_id, HopOutcome(Verdict.RAN), 200))


@asynccontextmanager
async def open_call() -> AsyncIterator[OpenCall]:
    """Forwards a request to a listener in place of another daemon, until it has arrived."""
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    member = make_member("other", address=address)
    links = DaemonLinks("entry", ByteBudget(1 << 30))
    async with listener, trio.open_nursery() as nursery:
        await nursery.start(links.run)
        call = OpenCall(links, member, LinkClient(None), 0, listener, nursery)
        nursery.start_soon(call.forward)
        with trio.fail_after(TIMEOUT_S):
            call.peer = LinkClient(await listener.accept())
            call.call_id = await receive_call(call.peer)
            async with call.peer.stream:
                yield call
        nursery.cancel_scope.cancel()


async def receive_call(peer: LinkClient) -> int:
    """Receives a forwarded request and returns its id."""
    hello, call = await peer.receive(), await peer.receive()
    assert isinstance(hello, Hello) and isinstance(call, HopCall)
    return call.call_id


class LinkRetirementTest(unittest.TestCase):
    def test_a_call_to_an_address_that_is_no_longer_known_gets_its_answer(self) -> None:
        self.check_call_ends_connection(lambda links: links.close_unknown(()))

    def test_a_connection_that_was_retired_ends_with_its_last_call(self) -> None:
        self.check_call_ends_connection(lambda links: links.retire_all())

    def check_call_ends_connection(self, retire: Callable[[DaemonLinks], None]) -> None:
        async def run() -> None:
            async with open_call() as call:
                retire(call.links)
                await call.answer()
                with self.assertRaises(EOFError):
                    await call.peer.receive()
                await call.wait_results(1)
                self.assertIsNotNone(call.results[0].response)

        trio.run(run)

    def test_a_later_call_uses_another_connection_than_the_retired_one(self) -> None:
        async def run() -> None:
            async with open_call() as call:
                call.links.retire_all()
                call.nursery.start_soon(call.forward)
                peer = LinkClient(await call.listener.accept())
                async with peer.stream:
                    call_id = await receive_call(peer)
                    await call.answer()
                    await peer.send(HopAnswer(call_id, HopOutcome(Verdict.RAN), 200))
                    await call.wait_results(2)

        trio.run(run)

    def test_closing_all_connections_includes_retired_ones(self) -> None:
        async def run() -> None:
            async with open_call() as call:
                call.links.retire_all()
                call.links.close_all()
                with self.assertRaises(EOFError):
                    await call.peer.receive()
                await call.wait_results(1)
                self.assertIsNone(call.results[0].response)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
