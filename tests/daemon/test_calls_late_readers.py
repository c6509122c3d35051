"""Uploads through two daemons to an upstream that reads late.

The daemon beside the upstream reads no more than it can pass on, so that the connection between the
daemons is not read for as long.
"""

from __future__ import annotations

import socket
import unittest

import trio

from fulmarstile_testing.builders.call_proxies import make_request, serve_two_daemons

READ_DELAY_S = 6.0
BODY_BYTES = 24_000_000
"""More than the kernel and the daemons buffer on the way."""
SMALL_BUFFER_BYTES = 4_096
TIMEOUT_S = 40.0
"""Ends a test that hangs, in seconds; the transfer is slow on a busy machine."""


async def answer_late(stream: trio.SocketStream) -> None:
    """Reads a request after a pause, and answers it."""
    await trio.sleep(READ_DELAY_S)
    async with stream:
        received = bytearray()
        while (end := received.find(b"\r\n\r\n")) < 0 or len(received) < end + 4 + BODY_BYTES:
            data = await stream.receive_some()
            if not data:
                return
            received += data
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


class LateReaderTest(unittest.TestCase):
    def test_an_upload_that_an_upstream_reads_late_arrives(self) -> None:
        async def run() -> None:
            sock = trio.socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            await sock.bind(("127.0.0.1", 0))
            sock.listen()
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            async with serve_two_daemons() as (entry, serving), trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, answer_late, [trio.SocketListener(sock)])
                serving.proxy.set_upstream(address, 10, 12)
                with trio.fail_after(TIMEOUT_S):
                    caller = await entry.connect()
                    headers = {"Content-Length": str(BODY_BYTES)}
                    await caller.send(make_request("/upload", "POST", headers=headers))
                    nursery.start_soon(caller.send, b"x" * BODY_BYTES)
                    answer = await caller.receive("POST")
                self.assertEqual((answer.status, answer.reason), (200, ""))
                await caller.close()
                nursery.cancel_scope.cancel()

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
