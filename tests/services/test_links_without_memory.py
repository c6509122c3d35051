"""A message that is dropped for lack of memory ends no other request of its connection.

A connection between daemons carries the requests of many callers. Closing it for one large message
broke off all of them, at upstreams that were at work.
"""

from __future__ import annotations

import unittest
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import trio

from fulmarstile_calls.request import RefusalReason
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
from fulmarstile_wire.services import HopAnswer, HopOutcome, encode_frame
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_daemon.services._call import AttemptResult
    from fulmarstile_wire.services import HopCall

LIMIT = 1_000_000
LARGE = 450_000
PART = 400_000
"""Received part of a large message."""
SMALLER_PART = 350_000
TIMEOUT_S = 5.0


class Upstream:
    """Answers the request 1 when it is released, and all others at once."""

    def __init__(self) -> None:
        self.released = trio.Event()

    async def handle(self, call: HopCall, deadline: float, progress: AttemptProgress) -> HopAnswer:
        if call.call_id == 1:
            await self.released.wait()
        return await answer_call(call, deadline, progress)


async def send_part(client: LinkClient, call_id: int, size: int) -> bytes:
    """Sends the beginning of a large request, and returns the rest."""
    frame = encode_frame(make_hop_call(call_id, b"x" * LARGE))
    await client.stream.send_all(frame[:size])
    return frame[size:]


async def wait_until_held(budget: ByteBudget, size: int) -> None:
    with trio.fail_after(TIMEOUT_S):
        while budget.used_bytes < size:
            await trio.sleep(0.01)


class RequestWithoutMemoryTest(unittest.TestCase):
    def check(self, held: int, sizes: tuple[int, ...], refused: int) -> None:
        """Sends a part of a large request on each connection, then the rest of one of them.

        Args:
            held: Bytes that other messages hold.
            sizes: Sizes of the parts; the last one exceeds the memory.
            refused: Index of the connection whose large request is refused.
        """

        async def run() -> None:
            upstream, budget = Upstream(), ByteBudget(LIMIT)
            budget.open().grow(held)
            server = make_link_server(upstream.handle, budget=budget)
            async with AsyncExitStack() as stack:
                address = await stack.enter_async_context(serve_links(server))
                clients, rests = [], []
                for size in sizes:
                    client = await stack.enter_async_context(open_link(address))
                    await client.send(make_hop_call(1, b"small"))
                    clients.append(client)
                    rests.append(await send_part(client, 2, size))
                    if len(clients) < len(sizes):
                        await wait_until_held(budget, held + sum(sizes[: len(clients)]))
                client = clients[refused]
                with trio.fail_after(TIMEOUT_S):
                    await client.stream.send_all(rests[refused])
                    answer = await client.receive()
                    self.assertEqual(answer.call_id, 2)
                    self.assertEqual(answer.outcome.verdict, Verdict.NOT_RUN)
                    self.assertEqual(answer.outcome.reason, RefusalReason.OVERLOADED.value)
                    await client.send(make_hop_call(3, b"later"))
                    self.assertEqual((await client.receive()).body, b"later")
                    upstream.released.set()
                    self.assertEqual((await client.receive()).body, b"small")

        trio.run(run)

    def test_a_request_dropped_for_that_of_another_connection_ends_no_other(self) -> None:
        self.check(0, (PART, SMALLER_PART, SMALLER_PART), refused=0)

    def test_a_request_that_finds_no_memory_ends_no_other(self) -> None:
        self.check(LIMIT - PART, (SMALLER_PART - PART // 2, PART), refused=1)


class AnswerWithoutMemoryTest(unittest.TestCase):
    def test_an_answer_that_finds_no_memory_ends_no_other_request(self) -> None:
        async def run() -> None:
            results: dict[int, AttemptResult] = {}
            released = trio.Event()

            async def handle(call: HopCall, _: float, __: AttemptProgress) -> HopAnswer:
                if not call.body:
                    await released.wait()
                return HopAnswer(call.call_id, HopOutcome(Verdict.RAN), 200, [], call.body * LARGE)

            async def forward(links: DaemonLinks, address: str, body: bytes) -> None:
                request = ReceivedRequest(b"POST", b"/", MessageHeaders([]), body, 0.0)
                hop = make_hop_call(1).hop
                member = make_member(address=address)
                results[len(body)] = await links.forward(member, hop, request, AttemptProgress())

            budget = ByteBudget(1 << 30)
            links = DaemonLinks("client", budget)
            async with serve_links(make_link_server(handle)) as address, trio.open_nursery() as run:
                await run.start(links.run)
                with trio.fail_after(TIMEOUT_S):
                    async with trio.open_nursery() as calls:
                        calls.start_soon(forward, links, address, b"")
                        await trio.sleep(0.1)
                        with budget.allocate() as others:
                            others.grow((1 << 30) - 1_000)
                            await forward(links, address, b"x")
                        released.set()
                run.cancel_scope.cancel()
            self.assertEqual(results[0].outcome.verdict, Verdict.RAN)
            self.assertEqual(results[1].outcome.verdict, Verdict.MAY_HAVE_RUN)
            self.assertEqual(results[1].outcome.reason, RefusalReason.ANSWER_TOO_LARGE.value)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
