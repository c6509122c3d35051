"""Connections from other daemons are bounded, and those with requests stay."""

from __future__ import annotations

import unittest
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING
from unittest import mock

import trio

from fulmarstile_daemon.services import _link_bound
from fulmarstile_testing.builders.link_servers import (
    answer_call,
    make_hop_call,
    make_link_server,
    open_link,
    serve_links,
)
from fulmarstile_wire.services import GoAway, HopAnswer

if TYPE_CHECKING:
    from fulmarstile_daemon.services._attempt_progress import AttemptProgress
    from fulmarstile_wire.services import HopCall

LIMIT = 3
TIMEOUT_S = 5.0
IDLE_S = 0.2


async def open_silent(address: str) -> trio.SocketStream:
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


@mock.patch.object(_link_bound, "RETIRE_IDLE_S", IDLE_S)
class LinkBoundTest(unittest.TestCase):
    def test_connections_that_never_say_hello_make_room(self) -> None:
        async def run() -> None:
            server = make_link_server(max_connections=LIMIT)
            with trio.fail_after(TIMEOUT_S):
                async with serve_links(server) as address, AsyncExitStack() as stack:
                    for _ in range(2 * LIMIT):
                        await stack.enter_async_context(await open_silent(address))
                    async with open_link(address) as client:
                        await client.send(make_hop_call(1))
                        self.assertIsInstance(await client.receive(), HopAnswer)
                        self.assertLessEqual(len(server._connections), LIMIT)

        trio.run(run)

    def test_a_connection_that_does_not_say_hello_in_time_is_closed(self) -> None:
        async def run() -> None:
            server = make_link_server()
            with trio.fail_after(TIMEOUT_S):
                async with serve_links(server) as address, await open_silent(address) as silent:
                    self.assertEqual(await silent.receive_some(), b"")

        with mock.patch.object(_link_bound, "HELLO_TIMEOUT_S", IDLE_S):
            trio.run(run)

    def test_a_connection_with_a_request_is_not_the_one_that_makes_room(self) -> None:
        proceed = trio.Event()

        async def wait_and_answer(
            call: HopCall, deadline: float, progress: AttemptProgress
        ) -> HopAnswer:
            if call.call_id == 1:
                await proceed.wait()
            return await answer_call(call, deadline, progress)

        async def run() -> None:
            server = make_link_server(wait_and_answer, max_connections=2)
            with trio.fail_after(TIMEOUT_S):
                async with (
                    serve_links(server) as address,
                    open_link(address) as busy,
                    open_link(address) as idle,
                ):
                    await busy.send(make_hop_call(1))
                    await idle.send(make_hop_call(2))
                    self.assertIsInstance(await idle.receive(), HopAnswer)
                    async with open_link(address) as third:
                        await third.send(make_hop_call(3))
                        self.assertEqual(await idle.receive(), GoAway())
                        await idle.stream.aclose()
                        self.assertIsInstance(await third.receive(), HopAnswer)
                        proceed.set()
                        self.assertIsInstance(await busy.receive(), HopAnswer)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
