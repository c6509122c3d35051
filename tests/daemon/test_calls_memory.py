"""What callers make the daemon hold at its address for calls is bounded together."""

from __future__ import annotations

import gc
import socket
import unittest

import trio

from fulmarstile_daemon.calls import CallSettings
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_testing.builders.call_proxies import MESH_KEY, make_request, serve_daemon

LIMIT_BYTES = 256 * 1024
SETTINGS = CallSettings(MESH_KEY, message_memory_bytes=LIMIT_BYTES)
CROWD = 32
PARTIAL_HEAD = b"GET /slots HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 30_000
SHORT_LINES = (
    b"POST /slots HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n" + b"a:\r\n" * 600 + b"\r\n"
)
PARTIAL_BODY = make_request("/slots", "POST", headers={"Content-Length": "65000"}) + bytes(60_000)
LARGE_BODY = make_request("/slots", "POST", bytes(60_000))
STALL_S = 1.2
"""Time after which a request without progress gives way, in seconds."""
ANSWER_BYTES = 64 * 1024
TIMEOUT_S = 20.0


class CallMemoryTest(unittest.TestCase):
    def check_crowd(self, data: bytes) -> None:
        """Checks that a crowd's unfinished requests are bounded and ordinary ones are served."""

        async def run() -> None:
            async with serve_daemon(settings=SETTINGS) as daemon:
                with trio.fail_after(TIMEOUT_S):
                    crowd = [await daemon.connect() for _ in range(CROWD)]
                    for caller in crowd:
                        await caller.send(data)
                    answer = await crowd[-1].receive()
                    self.assertEqual((answer.status, answer.verdict), (503, "NOT_RUN"))
                    self.assertLessEqual(daemon.proxy._memory.used_bytes, LIMIT_BYTES)
                    self.assertEqual((await daemon.call(make_request())).status, 200)
                    await trio.sleep(STALL_S)
                    self.assertEqual((await daemon.call(LARGE_BODY)).status, 200)
                    for caller in crowd:
                        await caller.close()
                    while daemon.proxy._memory.used_bytes:
                        await trio.sleep(0.01)

        trio.run(run)

    def test_partial_heads_are_bounded_together(self) -> None:
        self.check_crowd(PARTIAL_HEAD)

    def test_heads_of_many_short_lines_count_as_what_they_take(self) -> None:
        self.check_crowd(SHORT_LINES)

    def test_partial_bodies_are_bounded_together(self) -> None:
        self.check_crowd(PARTIAL_BODY)

    def test_answers_that_nobody_reads_give_way(self) -> None:
        async def run() -> None:
            async with serve_daemon(settings=SETTINGS) as daemon, trio.open_nursery() as nursery:
                host, _, port = daemon.proxy.address.rpartition(":")
                crowd = []

                async def send(client: trio.SocketStream) -> None:
                    try:
                        for _ in range(200):
                            await client.send_all(make_request(f"/slots?size={ANSWER_BYTES - 1}"))
                    except trio.BrokenResourceError:
                        return

                for _ in range(CROWD):
                    sock = trio.socket.socket()
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                    await sock.connect((host, int(port)))
                    crowd.append(trio.SocketStream(sock))
                    nursery.start_soon(send, crowd[-1])
                memory = daemon.proxy._memory
                with trio.fail_after(TIMEOUT_S):
                    while memory.used_bytes <= LIMIT_BYTES // 2:
                        await trio.sleep(0.01)
                    await trio.sleep(STALL_S)
                    self.assertEqual((await daemon.call(LARGE_BODY)).status, 200)
                self.assertGreater(memory.cut_messages, 0)
                self.assertLessEqual(memory.used_bytes, LIMIT_BYTES)
                nursery.cancel_scope.cancel()
                for client in crowd:
                    client.socket.close()

        trio.run(run)

    def test_an_idle_connection_does_not_keep_the_head_of_its_last_request(self) -> None:
        async def run() -> None:
            async with serve_daemon(settings=SETTINGS) as daemon:
                caller = await daemon.connect()
                await caller.send(make_request(headers={"A": "a" * 10_000}))
                self.assertEqual((await caller.receive()).status, 200)
                await trio.sleep(0.05)
                held = [item for item in gc.get_objects() if is_long_request(item)]
                self.assertEqual(len(held), 0)

        trio.run(run)


def is_long_request(item: object) -> bool:
    """Checks whether it is the classified headers of the request, which only the proxy makes."""
    if type(item) is not MessageHeaders:
        return False
    return any(len(value) > 9_000 for _, value in item.end_to_end)


if __name__ == "__main__":
    unittest.main()
