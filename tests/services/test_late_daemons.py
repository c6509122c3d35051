"""Daemons that are alive but read late keep their connections; those that are cut off don't.

A process that is stopped for seconds reads nothing, while its kernel answers for it. A daemon that
is cut off answers nothing at all, and requests wait for it until that is noticed.
"""

from __future__ import annotations

import ctypes
import math
import socket
import struct
import unittest
from typing import TYPE_CHECKING
from unittest import mock

import trio

from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._links import DaemonLinks
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http import late_readers
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
from fulmarstile_wire.services import HopAnswer, HopCall, HopOutcome
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._call import AttemptResult

READ_DELAY_S = 6.0
"""Long enough for three of the kernel's time limits, one behind another."""
PAUSE_S = 2.5
CHECKED_AFTER_S = 1.0
"""Time within which connections are checked at least once, in seconds."""
NOTICED_WITHIN_S = 3.0
"""Time within which a daemon that is cut off is noticed: about 2 s, and 1 s for a busy machine."""
TIMEOUT_S = 15.0
SMALL_BUFFER_BYTES = 4_096
BODY_SIZES = (300_000, 16_000_000)
"""Bodies that the sender's kernel takes completely, and that it doesn't."""
SO_ATTACH_FILTER = 26
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
"""Packet filter of one instruction, which drops every packet."""


def cut_off(sock: socket.socket) -> None:
    """Makes a socket's kernel ignore, and so not acknowledge, all that arrives from now on."""
    code = ctypes.create_string_buffer(DROP_ALL, len(DROP_ALL))
    program = struct.pack("HxxxxxxP", 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


async def forward_to(
    serve: Callable[[LinkClient], Awaitable[None]], body_bytes: int, calls: int
) -> list[AttemptResult]:
    """Forwards requests on one connection to a listener in place of another daemon."""
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    await sock.bind(("127.0.0.1", 0))
    sock.listen()
    address = f"127.0.0.1:{sock.getsockname()[1]}"
    links = DaemonLinks("entry", ByteBudget(1 << 30))
    results: list[AttemptResult] = []

    async def forward() -> None:
        request = ReceivedRequest(b"POST", b"/", MessageHeaders(), b"x" * body_bytes, 0.0)
        member = make_member("other", address=address)
        hop = make_hop_call(1).hop
        results.append(await links.forward(member, hop, request, AttemptProgress()))

    async with trio.open_nursery() as nursery:
        await nursery.start(links.run)
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as forwarding:
                for _ in range(calls):
                    forwarding.start_soon(forward)
                accepted, _ = await sock.accept()
                async with trio.SocketStream(accepted) as stream:
                    await serve(LinkClient(stream))
                    while len(results) < calls:
                        await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    sock.close()
    return results


class LateDaemonTest(unittest.TestCase):
    def test_requests_that_a_daemon_reads_late_are_answered(self) -> None:
        async def serve_late(peer: LinkClient) -> None:
            await trio.sleep(READ_DELAY_S)
            answered = 0
            while answered < 2:
                message = await peer.receive()
                if isinstance(message, HopCall):
                    await peer.send(HopAnswer(message.call_id, HopOutcome(Verdict.RAN), 200))
                    answered += 1

        async def check(body_bytes: int) -> None:
            results = await forward_to(serve_late, body_bytes, calls=2)
            for result in results:
                self.assertTrue(result.response is not None, result.outcome)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                for body_bytes in BODY_SIZES:
                    nursery.start_soon(check, body_bytes)

        trio.run(run)

    def test_answers_that_a_daemon_reads_late_are_whole(self) -> None:
        async def answer(call: HopCall, deadline: float, progress: AttemptProgress) -> HopAnswer:
            body = b"x" * BODY_SIZES[call.call_id]
            return HopAnswer(call.call_id, HopOutcome(Verdict.RAN), 200, [], body)

        async def read_late(address: str, number: int) -> None:
            async with open_link(address, buffer_bytes=SMALL_BUFFER_BYTES) as client:
                await client.send(make_hop_call(number))
                await trio.sleep(READ_DELAY_S)
                message = await client.receive()
                self.assertEqual(len(message.body), BODY_SIZES[number])

        async def run() -> None:
            async with serve_links(make_link_server(answer)) as address:
                with trio.fail_after(TIMEOUT_S):
                    async with trio.open_nursery() as nursery:
                        for number in range(len(BODY_SIZES)):
                            nursery.start_soon(read_late, address, number)

        trio.run(run)


class FailingCheckTest(unittest.TestCase):
    """An error in a check of connections costs no request, and not the daemon."""

    def run_with_failing_check(self, run: Callable[[], Awaitable[None]]) -> None:
        failed = []

        def fail_once(*_: object, **__: object) -> bool:
            if failed:
                return False
            failed.append(True)
            raise LookupError("an error of the test")

        with (
            mock.patch.object(late_readers.LateReaderWatch, "check", fail_once),
            self.assertLogs(level="ERROR"),
        ):
            trio.run(run)

    def test_a_daemon_that_forwards_requests_goes_on(self) -> None:
        async def answer_later(peer: LinkClient) -> None:
            message = await peer.receive()
            while not isinstance(message, HopCall):
                message = await peer.receive()
            await trio.sleep(CHECKED_AFTER_S)
            await peer.send(HopAnswer(message.call_id, HopOutcome(Verdict.RAN), 200))

        async def run() -> None:
            (result,) = await forward_to(answer_later, 10, calls=1)
            self.assertTrue(result.response is not None, result.outcome)

        self.run_with_failing_check(run)

    def test_a_daemon_that_answers_them_goes_on(self) -> None:
        async def run() -> None:
            server = make_link_server(answer_call)
            async with serve_links(server) as address, open_link(address) as client:
                await client.send(make_hop_call(1))
                await client.receive()
                await trio.sleep(CHECKED_AFTER_S)
                await client.send(make_hop_call(2, b"body"))
                self.assertEqual((await client.receive()).body, b"body")

        self.run_with_failing_check(run)


class CutOffDaemonTest(unittest.TestCase):
    def check_noticed(self, pause_s: float, *, reads: bool) -> None:
        cut_at = math.inf

        async def read_all(peer: LinkClient) -> None:
            while True:
                await peer.receive()

        async def serve(peer: LinkClient) -> None:
            nonlocal cut_at
            with trio.move_on_after(pause_s):
                await (read_all(peer) if reads else trio.sleep_forever())
            cut_off(peer.stream.socket)
            cut_at = trio.current_time()

        async def run() -> float:
            results = await forward_to(serve, BODY_SIZES[1], calls=2)
            self.assertEqual([result.response for result in results], [None, None])
            return trio.current_time() - cut_at

        self.assertLess(trio.run(run), NOTICED_WITHIN_S)

    def test_one_that_is_cut_off_while_it_reads_is_noticed(self) -> None:
        self.check_noticed(0.001, reads=True)

    def test_one_that_is_cut_off_while_it_reads_nothing_is_noticed(self) -> None:
        for pause_s in (0.1, 1.6, PAUSE_S):
            with self.subTest(pause_s):
                self.check_noticed(pause_s, reads=False)

    def test_one_that_is_cut_off_is_noticed_where_the_age_of_acknowledgements_is_not_told(
        self,
    ) -> None:
        fields = late_readers._TCP_INFO

        class UntoldAge:
            size = fields.size

            def unpack(self, info: bytes) -> tuple[int, ...]:
                state, in_flight, _, acknowledged, unsent = fields.unpack(info)
                return state, in_flight, 0, acknowledged, unsent

        with mock.patch.object(late_readers, "_TCP_INFO", UntoldAge()):
            self.check_noticed(PAUSE_S / 2, reads=False)


class StuckDaemonTest(unittest.TestCase):
    """A daemon never reads again, though its kernel answers for it."""

    def check_given_up(self) -> None:
        async def read_nothing(peer: LinkClient) -> None:
            return

        async def run() -> float:
            started_at = trio.current_time()
            results = await forward_to(read_nothing, BODY_SIZES[1], calls=2)
            self.assertEqual([result.response for result in results], [None, None])
            return trio.current_time() - started_at

        self.assertLess(trio.run(run), NOTICED_WITHIN_S)

    @mock.patch.object(ByteBudget, "is_scarce", True)
    def test_it_is_given_up_soon_while_memory_is_scarce(self) -> None:
        self.check_given_up()

    @mock.patch.object(late_readers, "_MAX_STALL_S", 0.0)
    def test_it_is_given_up_in_the_end(self) -> None:
        self.check_given_up()


if __name__ == "__main__":
    unittest.main()
