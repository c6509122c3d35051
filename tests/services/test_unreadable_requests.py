"""Each rejection of a request that cannot be read leaves a line in the log, with its reason."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._request_server import RequestServer
from fulmarstile_daemon.services._server_connection import CallerResponse
from fulmarstile_daemon.services.events import LogEvent, RequestUnreadable
from fulmarstile_services.document import RequestLimits
from fulmarstile_testing.builders.service_mesh import connect

LIMITS = RequestLimits(head_bytes=1_000, body_bytes=100, head_timeout_s=0.2)
HEAD = b"POST /a HTTP/1.1\r\nhost: a.example\r\n"
CASES = {
    b"GET / HTTP/9.9\r\n\r\n": (400, "malformed"),
    b"GET / HTTP/1.1\r\n\r\n": (400, "exactly one host"),
    HEAD + b"x-a: " + b"a" * 1_000 + b"\r\n\r\n": (431, "too large"),
    HEAD + b"content-length: 101\r\n\r\n": (413, "too large"),
    HEAD + b"x-a": (408, "too slowly"),
}
"""Requests with the status and a part of the reason of their rejection."""


class CollectedEvents:
    """Log that keeps what is written."""

    def __init__(self) -> None:
        self.events: list[LogEvent] = []

    def write(self, event: LogEvent) -> None:
        self.events.append(event)


async def answer(*_: object) -> CallerResponse:
    return CallerResponse(200)


class UnreadableRequestsTest(unittest.TestCase):
    def test_each_rejection_is_logged_with_its_status_and_reason(self) -> None:
        log = CollectedEvents()

        async def send(address: str, request: bytes) -> bytes:
            async with await connect(address) as stream:
                await stream.send_all(request)
                return bytes(await stream.receive_some(4_096))

        async def run() -> None:
            server = RequestServer(answer, lambda: LIMITS, 10, ByteBudget(1 << 20), log, b"id")  # type: ignore[arg-type]
            async with trio.open_nursery() as nursery:
                address = await nursery.start(server.serve, "127.0.0.1:0")
                for request, (status, _) in CASES.items():
                    received = await send(address, request)
                    self.assertTrue(received.startswith(b"HTTP/1.1 %d " % status), received)
                nursery.cancel_scope.cancel()

        trio.run(run)
        lines = [event for event in log.events if isinstance(event, RequestUnreadable)]
        self.assertEqual([line.status for line in lines], [each[0] for each in CASES.values()])
        for line, (_, reason) in zip(lines, CASES.values(), strict=True):
            self.assertIn(reason, line.reason)


if __name__ == "__main__":
    unittest.main()
