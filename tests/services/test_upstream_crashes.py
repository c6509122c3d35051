"""Requests in flight when the upstream beside the daemon crashes."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import msgspec
import trio

from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_services.slot_class import SlotClass
from fulmarstile_testing.builders.service_mesh import make_local_upstream
from fulmarstile_testing.builders.services import make_announcement
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_wire.services import HopRequest

if TYPE_CHECKING:
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_wire.verdict import Verdict

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


if __name__ == "__main__":
    unittest.main()
