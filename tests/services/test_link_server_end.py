"""At the end of a daemon, other daemons learn of each request whether it may have run."""

from __future__ import annotations

import socket
import unittest
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from unittest import mock

import msgspec
import trio
import trio.testing

from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_daemon.services.events import HopCut, Stopped
from fulmarstile_services.settings import RequiredBounds
from fulmarstile_testing.builders.link_servers import (
    answer_call,
    make_hop_call,
    make_link_server,
    open_link,
    serve_links,
)
from fulmarstile_testing.builders.service_mesh import serve_mesh
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_wire.services import (
    PROTOCOL_VERSION,
    FrameDecoder,
    GoAway,
    Hello,
    HopAnswer,
    HopCancel,
    SyncCall,
    SyncRequest,
    encode_frame,
)
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fulmarstile_daemon.services._attempt_progress import AttemptProgress
    from fulmarstile_daemon.services._link_server import LinkServer
    from fulmarstile_testing.builders.link_servers import LinkClient
    from fulmarstile_wire.services import HopCall, LinkMessage

TIMEOUT_S = 5.0
BUFFER_BYTES = 4_096
GRACE_S = 3.0
HEADERS = [(b"host", b"shop.example"), (HEADER_NAMES.request_id, b"r1")]
LARGE_BODY = b"x" * 200_000
"""Larger than the receive buffer of the other daemon, smaller than the send buffer."""
BEGUN = b"begun"
HELLO = Hello(PROTOCOL_VERSION, "client", reads_go_away=True)


async def work_long(call: HopCall, deadline: float, progress: AttemptProgress) -> HopAnswer:
    """Works on a request without an end; one with the body `BEGUN` has reached the upstream."""
    if call.body == BEGUN:
        progress.try_begin()
    await trio.sleep_forever()
    raise AssertionError("unreachable")


@asynccontextmanager
async def end_in_background(server: LinkServer) -> AsyncIterator[None]:
    """Ends a server while the block runs, and waits for the end."""
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.end)
            yield


async def receive_all(client: LinkClient) -> list[LinkMessage]:
    """Receives messages until the server ends the connection in order, and closes it, too."""
    received = []
    try:
        while True:
            received.append(await client.receive())
    except EOFError:
        await client.stream.aclose()
        return received


def read_verdicts(messages: list[LinkMessage]) -> dict[int, Verdict]:
    """Reads the verdicts on forwarded requests."""
    return {each.call_id: each.outcome.verdict for each in messages if isinstance(each, HopAnswer)}


class LinkServerEndTest(unittest.TestCase):
    def test_requests_in_flight_are_answered_by_what_their_upstream_has_of_them(self) -> None:
        async def run() -> None:
            server = make_link_server(work_long)
            async with serve_links(server) as address, open_link(address) as client:
                await client.send(make_hop_call(1), make_hop_call(2, BEGUN))
                await trio.testing.wait_all_tasks_blocked(0.05)
                async with end_in_background(server):
                    messages = await receive_all(client)
                self.assertEqual(
                    read_verdicts(messages), {1: Verdict.NOT_RUN, 2: Verdict.MAY_HAVE_RUN}
                )
                self.assertEqual(messages[-1], GoAway())

        trio.run(run)

    def test_a_request_that_ran_until_its_deadline_may_have_run(self) -> None:
        async def run() -> None:
            server = make_link_server(work_long)
            async with serve_links(server) as address, open_link(address) as client:
                await client.send(
                    make_hop_call(1, BEGUN, remaining_ms=20),
                    make_hop_call(2, BEGUN, remaining_ms=20),
                )
                await trio.sleep(0.1)
                await client.send(HopCancel(2))
                async with end_in_background(server):
                    messages = await receive_all(client)
                self.assertEqual(read_verdicts(messages), {1: Verdict.MAY_HAVE_RUN})

        trio.run(run)

    def test_a_request_on_a_connection_that_was_not_accepted_is_refused(self) -> None:
        async def run() -> None:
            server = make_link_server()
            async with serve_links(server) as address:
                host, _, port = address.rpartition(":")
                async with end_in_background(server):
                    with socket.create_connection((host, int(port))) as sock:
                        sock.sendall(encode_frame(HELLO) + encode_frame(make_hop_call(1)))
                        messages = await trio.to_thread.run_sync(read_until_end, sock)
                self.assertEqual(read_verdicts(messages), {1: Verdict.NOT_RUN})
                self.assertEqual(messages[-1], GoAway())

        trio.run(run)

    def test_an_answer_that_is_read_late_is_not_destroyed_by_later_messages(self) -> None:
        async def run() -> None:
            server = make_link_server()
            async with (
                serve_links(server) as address,
                open_link(address, buffer_bytes=BUFFER_BYTES) as client,
            ):
                await client.send(make_hop_call(1, LARGE_BODY))
                await trio.testing.wait_all_tasks_blocked(0.05)
                self.assertFalse(server.is_quiet)
                async with end_in_background(server):
                    await trio.sleep(0.1)
                    await client.send(make_hop_call(2), SyncCall(3, SyncRequest("client", b"")))
                    messages = await receive_all(client)
                self.assertEqual(messages[0].body, LARGE_BODY)
                self.assertEqual(messages[1:], [GoAway()])

        trio.run(run)

    def test_no_request_runs_after_the_daemon_has_gone_away(self) -> None:
        runs: list[int] = []

        async def handle(call: HopCall, deadline: float, progress: AttemptProgress) -> HopAnswer:
            runs.append(call.call_id)
            return await answer_call(call, deadline, progress)

        async def run() -> None:
            server = make_link_server(handle)
            async with (
                serve_links(server) as address,
                open_link(address) as client,
                end_in_background(server),
            ):
                self.assertEqual(await client.receive(), GoAway())
                await client.send(make_hop_call(1))
                self.assertEqual(await receive_all(client), [])
            self.assertEqual(runs, [])

        trio.run(run)

    def test_a_daemon_that_does_not_know_the_message_gets_the_answers_alone(self) -> None:
        async def run() -> None:
            server = make_link_server(work_long)
            async with (
                serve_links(server) as address,
                open_link(address, reads_go_away=False) as client,
            ):
                await client.send(make_hop_call(1))
                async with end_in_background(server):
                    messages = await receive_all(client)
                self.assertEqual(read_verdicts(messages), {1: Verdict.NOT_RUN})
                self.assertEqual(len(messages), 1)

        trio.run(run)

    def test_a_request_that_arrives_as_a_daemon_ends_is_not_lost(self) -> None:
        async def run() -> None:
            write = EventLog.write
            async with serve_mesh("shop") as mesh:
                node = mesh.nodes[0]
                host, _, port = node.platform.settings.listeners.daemons.rpartition(":")
                with socket.create_connection((host, int(port))) as sock:
                    sock.sendall(encode_frame(HELLO))

                    def send_at_the_end(log: EventLog, event: object) -> None:
                        if isinstance(event, Stopped):
                            sock.sendall(encode_frame(make_hop_call(1)))
                        write(log, event)

                    with mock.patch.object(EventLog, "write", send_at_the_end):
                        node.stop()
                        await node.ended.wait()
                    messages = await trio.to_thread.run_sync(read_until_end, sock)
                self.assertEqual(messages, [GoAway()])

        trio.run(run)

    def test_a_request_whose_upstream_still_works_is_logged_and_may_have_run(self) -> None:
        events: list[object] = []
        write = EventLog.write

        def record(log: EventLog, event: object) -> None:
            events.append(event)
            write(log, event)

        async def run() -> None:
            bounds = RequiredBounds(grace_s=GRACE_S)
            async with serve_mesh("shop", bounds=bounds) as mesh:
                node = mesh.nodes[0]
                call = make_hop_call(1, upstream_id=node.upstream.upstream_id)
                call = msgspec.structs.replace(call, target=b"/a?delay_ms=20000", headers=HEADERS)
                address = node.platform.settings.listeners.daemons
                with trio.fail_after(TIMEOUT_S):
                    async with open_link(address) as client:
                        await client.send(call)
                        while not node.upstream.record.running:
                            await trio.sleep(0.01)
                        with mock.patch.object(EventLog, "write", record):
                            node.stop()
                            messages = await receive_all(client)
                            await node.ended.wait()
                self.assertEqual(read_verdicts(messages), {1: Verdict.MAY_HAVE_RUN})
                cuts = [event.stage for event in events if isinstance(event, HopCut)]
                self.assertEqual(cuts, ["begun"])

        trio.run(run)


def read_until_end(sock: socket.socket) -> list[LinkMessage]:
    """Reads messages until the end of a connection, or until it is reset."""
    decoder = FrameDecoder()
    messages: list[LinkMessage] = []
    try:
        while data := sock.recv(65_536):
            messages += decoder.feed(data)
    except ConnectionResetError:
        pass
    sock.close()
    return messages


if __name__ == "__main__":
    unittest.main()
