"""Calls that wait for the same connection to another daemon share one attempt and its outcome."""

from __future__ import annotations

import itertools
import socket
import unittest
from typing import TYPE_CHECKING
from unittest import mock

import trio
import trio.testing

from fulmarstile_daemon.services import _links
from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._links import DaemonLinks, DaemonUnreachableError
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.byte_stream import ByteStream, open_stream
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_testing.builders.link_servers import (
    answer_call,
    make_hop_call,
    make_link_server,
    serve_links,
)
from fulmarstile_testing.builders.services import make_member

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._call import AttemptResult
    from fulmarstile_wire.services import Member

CALLS = 5
CONNECT_TIMEOUT_S = 0.4
CONNECT_S = 0.2
CANCELLED_AFTER_S = 0.1
GAP_S = 0.05
"""Time between the begins of two calls, in seconds."""


async def open_nothing(address: str) -> ByteStream:
    """Opens no connection, as if all packets were dropped."""
    await trio.sleep_forever()


async def open_slowly(address: str) -> ByteStream:
    """Opens a connection late, as if its first packet had been dropped."""
    await trio.sleep(CONNECT_S)
    return await open_stream(address)


async def forward(links: DaemonLinks, member: Member) -> AttemptResult:
    """Forwards a request to another daemon."""
    request = ReceivedRequest(b"POST", b"/", MessageHeaders(), b"", 0.0)
    return await links.forward(member, make_hop_call(1).hop, request, AttemptProgress())


async def measure_failure(links: DaemonLinks, member: Member) -> float:
    """Forwards a request that fails, and returns the time until then in seconds."""
    started_at = trio.current_time()
    try:
        await forward(links, member)
    except DaemonUnreachableError:
        return trio.current_time() - started_at
    raise AssertionError("the daemon was reached")


class SharedConnectingTest(unittest.TestCase):
    def play(
        self,
        open_connection: Callable[[str], Awaitable[ByteStream]],
        run: Callable[[DaemonLinks], Awaitable[None]],
    ) -> None:
        async def run_links() -> None:
            links = DaemonLinks("entry", ByteBudget(1 << 30))
            async with trio.open_nursery() as nursery:
                await nursery.start(links.run)
                await run(links)
                nursery.cancel_scope.cancel()

        with mock.patch.object(_links, "open_stream", open_connection):
            trio.run(run_links, clock=trio.testing.MockClock(autojump_threshold=0.01))

    def test_calls_to_a_vm_that_drops_packets_do_not_wait_for_one_another(self) -> None:
        durations_s: list[float] = []

        async def run(links: DaemonLinks) -> None:
            async def call(delay_s: float) -> None:
                await trio.sleep(delay_s)
                durations_s.append(await measure_failure(links, make_member("other")))

            async with trio.open_nursery() as nursery:
                for number in range(CALLS):
                    nursery.start_soon(call, number * GAP_S)

        self.play(open_nothing, run)
        self.assertEqual(len(durations_s), CALLS)
        self.assertLessEqual(max(durations_s), CONNECT_TIMEOUT_S + 1e-6)

    def test_the_cancellation_of_a_call_does_not_end_the_connecting_of_others(self) -> None:
        answered_at: list[float] = []

        async def run(links: DaemonLinks) -> None:
            async with serve_links(make_link_server(answer_call)) as address:
                member = make_member("other", address=address)
                started_at = trio.current_time()

                async def call_briefly() -> None:
                    with trio.move_on_after(CANCELLED_AFTER_S):
                        await forward(links, member)

                async def call() -> None:
                    result = await forward(links, member)
                    self.assertIsNotNone(result.response)
                    answered_at.append(trio.current_time() - started_at)

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(call_briefly)
                    await trio.testing.wait_all_tasks_blocked()
                    nursery.start_soon(call)

        self.play(open_slowly, run)
        self.assertEqual(len(answered_at), 1)
        self.assertLess(answered_at[0], CONNECT_S + GAP_S)

    def test_a_call_after_a_failed_attempt_begins_another_one(self) -> None:
        async def run(links: DaemonLinks) -> None:
            async with serve_links(make_link_server(answer_call)) as address:
                member = make_member("other", address=address)
                await measure_failure(links, member)
                self.assertIsNotNone((await forward(links, member)).response)

        numbers = itertools.count()

        async def open_second(address: str) -> ByteStream:
            return await (open_nothing(address) if next(numbers) == 0 else open_stream(address))

        self.play(open_second, run)

    def test_a_connection_that_breaks_before_its_first_message_keeps_no_descriptor(self) -> None:
        opened: list[ByteStream] = []

        async def open_broken(address: str) -> ByteStream:
            near, far = socket.socketpair()
            near.setblocking(False)
            far.close()
            opened.append(ByteStream(near))
            return opened[-1]

        async def run(links: DaemonLinks) -> None:
            await measure_failure(links, make_member("other"))

        self.play(open_broken, run)
        self.assertEqual([stream.is_closed for stream in opened], [True])

    def test_an_unexpected_error_while_connecting_costs_only_the_calls_that_wait(self) -> None:
        numbers = itertools.count()

        async def fail_first(address: str) -> ByteStream:
            if next(numbers) == 0:
                raise LookupError("an error of the test")
            return await open_stream(address)

        async def run(links: DaemonLinks) -> None:
            async with serve_links(make_link_server(answer_call)) as address:
                member = make_member("other", address=address)
                await measure_failure(links, member)
                self.assertIsNotNone((await forward(links, member)).response)

        with self.assertLogs(level="ERROR"):
            self.play(fail_first, run)

    def test_a_call_at_the_end_of_the_daemon_fails_without_ending_it_by_an_error(self) -> None:
        async def run() -> None:
            links = DaemonLinks("entry", ByteBudget(1 << 30))
            async with trio.open_nursery() as nursery:
                await nursery.start(links.run)
                nursery.cancel_scope.cancel()
            await measure_failure(links, make_member("other"))

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
