"""The memory limit gets back exactly what connections took, however they end."""

from __future__ import annotations

import random
import socket
import struct
import unittest
from functools import partial
from typing import TYPE_CHECKING, Final

import trio
import trio.testing

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._request_server import RequestServer
from fulmarstile_daemon.services._server_connection import CallerResponse
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_services.document import RequestLimits
from fulmarstile_testing.builders.service_mesh import connect

if TYPE_CHECKING:
    from fulmarstile_daemon.services._request_scope import RequestScope
    from fulmarstile_daemon.services._server_connection import ReceivedRequest

BUDGET_BYTES: Final = 1_000_000
"""Small enough that requests are refused and dropped for each other."""
SEEDS: Final = 60
CONNECTIONS: Final = 8
STEPS: Final = 60
MAX_TURNS: Final = 20_000
"""Turns of the event loop after which a connection hangs."""
WORK_S: Final = 3.0
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)

GET: Final = b"GET /%s HTTP/1.1\r\nhost: shop.example\r\n"
POST: Final = b"POST /a HTTP/1.1\r\nhost: shop.example\r\n"
MANY_HEADERS: Final = b"".join(b"h%d: a\r\n" % number for number in range(60))
BODY: Final = b"x" * 90_000
SMALL_CHUNKS: Final = b"1\r\nx\r\n" * 3_000
END: Final = b"0\r\n\r\n"
WITH_LENGTH: Final = POST + b"content-length: %d\r\n\r\n" % len(BODY)
CHUNKED: Final = POST + b"transfer-encoding: chunked\r\n\r\n"
MESSAGES: Final = (
    GET % b"a" + b"\r\n",
    GET % b"slow" + b"\r\n",
    GET % b"large" + b"\r\n",
    GET % b"lost" + b"\r\n",
    GET % b"a" + MANY_HEADERS + b"\r\n",
    (GET % b"slow" + MANY_HEADERS + b"\r\n") * 3,
    GET % b"slow" + b"\r\n" + WITH_LENGTH + BODY[:-1],
    GET % b"slow" + b"\r\n" + CHUNKED + SMALL_CHUNKS,
    GET % b"slow" + b"x: " + b"a" * 27_000,
    WITH_LENGTH + BODY,
    CHUNKED + SMALL_CHUNKS + END,
    CHUNKED + SMALL_CHUNKS + b"0\r\ntrailer: " + b"a" * 9_000,
    CHUNKED + b"%x\r\n" % len(BODY) + BODY + b"\r\n" + END + GET % b"a" + b"\r\n",
    CHUNKED + b"no chunk\r\n",
)
"""Complete and incomplete requests, alone and pipelined."""


async def answer(request: ReceivedRequest, scope: RequestScope) -> CallerResponse:
    if request.target == b"/slow":
        await trio.sleep(WORK_S)
    if request.target == b"/lost":
        raise LookupError("an error of the test")
    return CallerResponse(200, body=bytes(400_000 if request.target == b"/large" else 10))


class Play:
    """Plays random callers against a server."""

    def __init__(self, seed: int, clock: trio.testing.MockClock) -> None:
        self._random = random.Random(seed)
        self._clock = clock
        self._callers: list[trio.SocketStream] = []
        self._budget = ByteBudget(BUDGET_BYTES)
        self._server = RequestServer(
            answer,
            RequestLimits,
            100,
            self._budget,
            EventLog("d"),
            b"request-id",
            find_wait_s=lambda _: 8.0,
        )
        self.lowest = 0

    @property
    def held_bytes(self) -> int:
        return self._budget.used_bytes

    @property
    def has_room(self) -> bool:
        """Whether callers may use their whole share."""
        return self._budget.has_room_for_caller(self._budget.message_limit)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(self._server.serve, "127.0.0.1:0")
            for _ in range(STEPS):
                await self._step(nursery, address)
                for _ in range(self._random.choice((0, 1, 5, 40))):
                    await trio.lowlevel.checkpoint()
                    self.lowest = min(self.lowest, self.held_bytes)
            for caller in self._callers:
                caller.socket.close()
            await self._wait_closed()
            nursery.cancel_scope.cancel()

    async def _step(self, nursery: trio.Nursery, address: str) -> None:
        choice = self._random.random()
        if len(self._callers) < CONNECTIONS and (choice < 0.2 or not self._callers):
            self._callers.append(await connect(address))
            return
        caller = self._random.choice(self._callers)
        if choice < 0.6:
            data = self._random.choice(MESSAGES)
            cut = self._random.choice((len(data), self._random.randrange(len(data))))
            nursery.start_soon(partial(_send, caller, data[:cut]))
        elif choice < 0.75:
            self._clock.jump(self._random.choice((0.1, 1.1, 3.0, 9.0)))
        elif choice < 0.85:
            _read(caller)
        else:
            self._callers.remove(caller)
            if choice < 0.92:
                caller.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            caller.socket.close()

    async def _wait_closed(self) -> None:
        for _ in range(MAX_TURNS):
            if not self._server.connections and not self._server.in_flight:
                return
            self._clock.jump(0.05)
            await trio.lowlevel.checkpoint()
        raise AssertionError(f"{self._server.connections} connections are not closed")


async def _send(caller: trio.SocketStream, data: bytes) -> None:
    try:
        await caller.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError):
        return


def _read(caller: trio.SocketStream) -> None:
    """Reads what has arrived."""
    try:
        caller.socket._sock.recv(1 << 20)
    except OSError:
        return


class MemoryIsReturnedTest(unittest.TestCase):
    def check(self, seed: int) -> None:
        clock = trio.testing.MockClock(rate=0.0)

        async def run() -> Play:
            play = Play(seed, clock)
            await play.run()
            return play

        play = trio.run(run, clock=clock)
        self.assertEqual(play.held_bytes, 0)
        self.assertTrue(play.has_room)
        self.assertEqual(play.lowest, 0)

    def test_all_memory_is_returned_when_all_connections_are_gone(self) -> None:
        with self.assertLogs(level="ERROR") as logs:
            for seed in range(SEEDS):
                with self.subTest(seed=seed):
                    self.check(seed)
        # Only the error that a handler raises on purpose is allowed.
        self.assertEqual(
            {record.getMessage() for record in logs.records},
            {"handling a request failed", "handling a pipelined request failed"}
            & {record.getMessage() for record in logs.records},
        )


if __name__ == "__main__":
    unittest.main()
