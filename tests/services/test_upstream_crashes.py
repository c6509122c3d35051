"""Requests in flight when the upstream beside the daemon crashes."""

from __future__ import annotations

import errno
import unittest
from contextlib import nullcontext
from typing import TYPE_CHECKING
from unittest import mock

import msgspec
import trio
import trio.testing

from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http import byte_stream
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_services.slot_class import SlotClass
from fulmarstile_testing.builders.service_mesh import make_local_upstream
from fulmarstile_testing.builders.services import make_announcement
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_wire.services import HopRequest
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractContextManager

    from fulmarstile_daemon.services._upstream import LocalUpstream

HOP = HopRequest("shop", "upstream-1", "web", SlotClass.URGENT, 5_000, 5_000, False, 1_000)
POISON = b"poison"
POPULAR = b"popular"
COPIES = 4
"""Number of requests with the same content in flight at the crash."""


def make_request(number: int) -> ReceivedRequest:
    request_id = b"request-%d" % number
    headers = MessageHeaders([(b"host", b"shop.example"), (HEADER_NAMES.request_id, request_id)])
    return ReceivedRequest(b"GET", b"/a", headers, b"", trio.current_time())


async def serve_until_crash(listener: trio.SocketListener, in_flight: int) -> None:
    """Accepts connections, reads their requests and then closes everything, like a crash."""
    streams = []
    while len(streams) < in_flight:
        stream = await listener.accept()
        await stream.receive_some()
        streams.append(stream)
    await listener.aclose()
    for stream in streams:
        await stream.aclose()


def out_of_descriptors() -> AbstractContextManager[object]:
    """Returns a context in which the process can open no socket."""
    error = OSError(errno.EMFILE, "too many open files")
    return mock.patch.object(byte_stream.socket, "socket", side_effect=error)


def out_of_ports() -> AbstractContextManager[object]:
    """Returns a context in which the process has no port left for a connection."""
    error = OSError(errno.EADDRNOTAVAIL, "cannot assign requested address")
    return mock.patch.object(byte_stream, "_connect", side_effect=error)


class UpstreamCrashTest(unittest.TestCase):
    def test_a_request_that_has_completed_before_is_not_suspected_of_a_crash(self) -> None:
        suspects: list[bytes] = []
        verdicts: list[Verdict] = []

        async def run_hop(local: LocalUpstream, number: int, fingerprint: bytes) -> None:
            hop = msgspec.structs.replace(HOP, fingerprint=fingerprint)
            deadline = trio.current_time() + 5.0
            result = await local.run(
                hop, make_request(number), deadline, deadline, AttemptProgress()
            )
            verdicts.append(result.outcome.verdict)

        async def run() -> None:
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            port = listener.socket.getsockname()[1]
            local = make_local_upstream(on_suspects=suspects.extend)
            local.apply_announcement(make_announcement(slots=10), f"127.0.0.1:{port}")
            local._quarantine.on_completed(POPULAR, trio.current_time())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_until_crash, listener, COPIES + 1)
                for number in range(COPIES):
                    nursery.start_soon(run_hop, local, number, POPULAR)
                nursery.start_soon(run_hop, local, COPIES, POISON)

        trio.run(run)
        self.assertEqual(len(verdicts), COPIES + 1)
        self.assertEqual(suspects, [POISON])

    def test_a_crash_while_all_connections_are_in_use_is_recognized(self) -> None:
        suspects: list[bytes] = []

        async def run_hop(local: LocalUpstream, number: int) -> None:
            hop = msgspec.structs.replace(HOP, fingerprint=b"request-%d" % number)
            deadline = trio.current_time() + 5.0
            await local.run(hop, make_request(number), deadline, deadline, AttemptProgress())

        async def run() -> None:
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            port = listener.socket.getsockname()[1]
            local = make_local_upstream(connections=COPIES, on_suspects=suspects.extend)
            local.apply_announcement(make_announcement(slots=COPIES), f"127.0.0.1:{port}")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_until_crash, listener, COPIES)
                for number in range(COPIES):
                    nursery.start_soon(run_hop, local, number)

        trio.run(run)
        self.assertEqual(suspects, [b"request-%d" % number for number in range(COPIES)])

    def check_one_broken_connection(
        self,
        connections: int,
        exhausted: Callable[[], AbstractContextManager[object]] = nullcontext,
    ) -> None:
        """Checks that a broken connection blames none of the requests on the others."""
        suspects: list[bytes] = []
        verdicts: list[Verdict] = []

        async def run_hop(local: LocalUpstream, number: int) -> None:
            hop = msgspec.structs.replace(HOP, fingerprint=b"request-%d" % number)
            deadline = trio.current_time() + 5.0
            result = await local.run(
                hop, make_request(number), deadline, deadline, AttemptProgress()
            )
            verdicts.append(result.outcome.verdict)

        async def run() -> None:
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            port = listener.socket.getsockname()[1]
            local = make_local_upstream(connections=connections, on_suspects=suspects.extend)
            local.apply_announcement(make_announcement(slots=COPIES), f"127.0.0.1:{port}")
            async with trio.open_nursery() as nursery:
                for number in range(COPIES):
                    nursery.start_soon(run_hop, local, number)
                streams = [await listener.accept() for _ in range(COPIES)]
                for stream in streams:
                    await stream.receive_some()
                with exhausted():
                    await trio.aclose_forcefully(streams[0])
                    await trio.testing.wait_all_tasks_blocked(0.05)
                self.assertEqual(suspects, [])
                for stream in streams:
                    await stream.aclose()
                await listener.aclose()

        trio.run(run)
        self.assertEqual(verdicts, [Verdict.MAY_HAVE_RUN] * COPIES)

    def test_a_broken_connection_is_no_crash_while_all_connections_are_in_use(self) -> None:
        self.check_one_broken_connection(connections=COPIES)

    def test_a_broken_connection_is_no_crash_while_the_daemon_can_open_no_socket(self) -> None:
        self.check_one_broken_connection(2 * COPIES, out_of_descriptors)

    def test_a_broken_connection_is_no_crash_while_the_daemon_has_no_port_left(self) -> None:
        self.check_one_broken_connection(2 * COPIES, out_of_ports)


if __name__ == "__main__":
    unittest.main()
