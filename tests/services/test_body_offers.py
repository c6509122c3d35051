"""A granted body that is not sent releases its grant, and a silent connection is replaced."""

from __future__ import annotations

import socket
import unittest
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING

import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._links import DaemonLinks
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_testing.builders.services import make_member
from fulmarstile_wire.services import (
    BodyGrant,
    BodyOffer,
    FrameDecoder,
    HopCall,
    HopCancel,
    HopRequest,
    encode_frame,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fulmarstile_daemon.services._call import AttemptResult
    from fulmarstile_wire.services import Member

BUFFER_BYTES = 4_096
LARGE_BODY = b"x" * 14_000_000
"""Larger than the buffers of a connection."""
SLOW_LINK_KBPS = 8_000
MAX_WAIT_S = 30.0
SETTLE_S = 1.0


def make_hop(target_ms: int) -> HopRequest:
    """Makes the hop data of an upload."""
    return HopRequest("shop", "upstream-1", "web", 0, 20_000, 20_000, False, target_ms)


async def forward(
    links: DaemonLinks, member: Member, progress: AttemptProgress, target_ms: int
) -> AttemptResult:
    """Forwards an upload."""
    request = ReceivedRequest(b"POST", b"/a", MessageHeaders(), LARGE_BODY, 0.0)
    return await links.forward(member, make_hop(target_ms), request, progress)


@asynccontextmanager
async def listen_as_daemon() -> AsyncIterator[tuple[trio.SocketListener, Member]]:
    """Listens as another daemon, whose member record announces a slow link."""
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    await sock.bind(("127.0.0.1", 0))
    sock.listen()
    with sock:
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        member = make_member("other", address=address, link_kbps=SLOW_LINK_KBPS)
        yield trio.SocketListener(sock), member


async def receive_offers(
    stream: trio.SocketStream, decoder: FrameDecoder, count: int
) -> list[BodyOffer]:
    """Receives the given number of offers."""
    offers: list[BodyOffer] = []
    while len(offers) < count:
        messages = decoder.feed(await stream.receive_some())
        offers += [message for message in messages if isinstance(message, BodyOffer)]
    return offers


async def receive_calls(
    stream: trio.SocketStream, decoder: FrameDecoder
) -> tuple[list[int], list[int]]:
    """Receives messages until a while after the last call.

    Returns:
        Ids of the calls that were received, and of those that were cancelled.
    """
    calls: list[int] = []
    cancels: list[int] = []
    with trio.move_on_after(MAX_WAIT_S) as scope:
        while True:
            for message in decoder.feed(await stream.receive_some(1 << 20)):
                if isinstance(message, HopCall):
                    calls.append(message.call_id)
                    scope.deadline = trio.current_time() + SETTLE_S
                elif isinstance(message, HopCancel):
                    cancels.append(message.call_id)
    return calls, cancels


class BodyOfferTest(unittest.TestCase):
    def test_a_granted_body_that_is_withdrawn_releases_its_grant(self) -> None:
        async def run() -> None:
            links = DaemonLinks("entry", ByteBudget(1 << 30))
            attempts = [AttemptProgress(), AttemptProgress()]
            async with listen_as_daemon() as (listener, member), trio.open_nursery() as nursery:
                await nursery.start(links.run)
                for progress in attempts:
                    nursery.start_soon(forward, links, member, progress, 20_000)
                stream = await listener.accept()
                decoder = FrameDecoder()
                offers = await receive_offers(stream, decoder, len(attempts))
                for offer in offers:
                    await stream.send_all(encode_frame(BodyGrant(offer.call_id)))
                while not all(each.frame for each in attempts):
                    await trio.sleep(0.01)
                for progress in attempts:
                    if progress.frame.is_untouched:
                        progress.withdraw()
                self.assertEqual(sum(each.frame is None for each in attempts), 1)
                calls, cancels = await receive_calls(stream, decoder)
                nursery.cancel_scope.cancel()
            self.assertEqual(len(calls), 1)
            self.assertEqual(
                cancels, [each.call_id for each in offers if each.call_id not in calls]
            )

        trio.run(run)

    def test_a_connection_on_which_an_offer_gets_no_reply_is_replaced(self) -> None:
        async def run() -> None:
            links = DaemonLinks("entry", ByteBudget(1 << 30))
            async with listen_as_daemon() as (listener, member), trio.open_nursery() as nursery:
                await nursery.start(links.run)
                async with AsyncExitStack() as silent:
                    for _ in range(2):
                        result = await forward(links, member, AttemptProgress(), 2_400)
                        self.assertEqual(result.outcome.reason, RefusalReason.LINK_BUSY.value)
                        with trio.fail_after(1.0):
                            await silent.enter_async_context(await listener.accept())
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_a_body_withdrawn_while_its_connection_is_opened_is_not_offered(self) -> None:
        async def run() -> None:
            links = DaemonLinks("entry", ByteBudget(1 << 30))
            progress = AttemptProgress()
            async with listen_as_daemon() as (_, member), trio.open_nursery() as nursery:
                await nursery.start(links.run)
                progress.withdraw()
                with trio.fail_after(1.0):
                    result = await forward(links, member, progress, 20_000)
                nursery.cancel_scope.cancel()
            self.assertEqual(result.outcome.reason, RefusalReason.DRAINING.value)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
