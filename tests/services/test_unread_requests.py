"""A connection is closed by what has arrived on it, not by what the daemon has read so far."""

from __future__ import annotations

import socket
import time
import unittest
from contextlib import ExitStack, asynccontextmanager
from typing import TYPE_CHECKING
from unittest import mock

import trio

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._request_server import RequestServer
from fulmarstile_daemon.services._server_connection import CallerResponse
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_services.document import RequestLimits
from fulmarstile_testing.builders.service_mesh import serve_mesh

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fulmarstile_daemon.services._request_scope import RequestScope
    from fulmarstile_daemon.services._server_connection import ReceivedRequest

CALLERS = 20
IDLE_TIMEOUT_S = 0.5
LATE_S = 1.6
"""Time for which the event loop is held, past the next check for idle connections, in seconds."""
WORK_S = 0.1
ANSWER_WITHIN_S = 5.0
REQUEST = b"GET /a HTTP/1.1\r\nhost: shop.example\r\nrequest-id: request-1\r\n\r\n"


def open_caller(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=ANSWER_WITHIN_S)


def read_until_end(caller: socket.socket) -> bytes:
    """Reads until the connection ends; a reset ends it like a close."""
    received = b""
    try:
        while data := caller.recv(65_536):
            received += data
    except ConnectionResetError:
        return received
    return received


def read_response(caller: socket.socket) -> bytes:
    """Reads one response, which has no body, or as much of it as arrives."""
    received = b""
    try:
        while b"\r\n\r\n" not in received and (data := caller.recv(65_536)):
            received += data
    except ConnectionResetError:
        return received
    return received


async def handle(request: ReceivedRequest, scope: RequestScope) -> CallerResponse:
    await trio.sleep(WORK_S)
    return CallerResponse(200, [], b"")


@asynccontextmanager
async def serve(connection_limit: int = 100) -> AsyncIterator[tuple[RequestServer, str]]:
    limits = RequestLimits(idle_timeout_s=IDLE_TIMEOUT_S)
    server = RequestServer(
        handle, lambda: limits, connection_limit, ByteBudget(1 << 20), EventLog("d"), b"request-id"
    )
    async with trio.open_nursery() as nursery:
        yield server, await nursery.start(server.serve, "127.0.0.1:0")
        nursery.cancel_scope.cancel()


class UnreadRequestsTest(unittest.TestCase):
    def test_requests_that_arrive_before_the_end_of_the_daemon_are_answered(self) -> None:
        async def run() -> list[bytes]:
            with ExitStack() as callers:
                async with serve_mesh("shop") as mesh:
                    node = mesh.nodes[0]
                    kept = callers.enter_context(open_caller(node.address))
                    await trio.to_thread.run_sync(kept.sendall, REQUEST)
                    await trio.to_thread.run_sync(kept.recv, 65_536)
                    arrived = [kept]

                    def arrive() -> None:
                        arrived.append(callers.enter_context(open_caller(node.address)))
                        for caller in arrived:
                            caller.sendall(REQUEST)

                    links = node.daemon._links
                    with mock.patch.object(links, "close_all", side_effect=arrive):
                        node.stop()
                        await node.ended.wait()
                return [read_until_end(caller) for caller in arrived]

        for answer in trio.run(run):
            self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)

    def test_a_request_that_arrives_before_its_connection_is_idle_for_too_long_is_answered(
        self,
    ) -> None:
        async def run() -> list[bytes]:
            async with serve() as (server, address):
                with ExitStack() as opened:
                    callers = [opened.enter_context(open_caller(address)) for _ in range(CALLERS)]
                    while server.connections < CALLERS:
                        await trio.sleep(0.001)
                    for caller in callers:
                        caller.sendall(REQUEST)
                    time.sleep(LATE_S)
                    return [await trio.to_thread.run_sync(read_response, each) for each in callers]

        for answer in trio.run(run):
            self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)

    def test_a_connection_whose_request_has_arrived_is_not_evicted_for_a_new_one(self) -> None:
        async def run() -> list[bytes]:
            async with serve(CALLERS) as (server, address):
                with ExitStack() as opened:
                    callers = [opened.enter_context(open_caller(address)) for _ in range(CALLERS)]
                    while server.connections < CALLERS:
                        await trio.sleep(0.001)
                    evict = server._evict_idle

                    def arrive_and_evict() -> None:
                        for caller in callers:
                            caller.sendall(REQUEST)
                        evict()

                    with mock.patch.object(server, "_evict_idle", side_effect=arrive_and_evict):
                        opened.enter_context(open_caller(address))
                        await trio.sleep(WORK_S)
                    return [await trio.to_thread.run_sync(read_response, each) for each in callers]

        for answer in trio.run(run):
            self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)

    def test_a_stopping_daemon_answers_all_requests_that_arrive_in_one_write(self) -> None:
        async def run() -> bytes:
            async with serve() as (server, address):
                server.begin_closing()
                with open_caller(address) as caller:
                    caller.sendall(REQUEST + REQUEST)
                    return await trio.to_thread.run_sync(read_until_end, caller)

        answers = trio.run(run)
        self.assertEqual(answers.count(b"HTTP/1.1 200 "), 2, answers)
        self.assertEqual(answers.count(b"connection: close"), 1, answers)

    def test_a_stopping_daemon_answers_a_request_that_arrives_behind_one_it_runs(self) -> None:
        async def run() -> bytes:
            async with serve() as (server, address):
                server.begin_closing()
                with open_caller(address) as caller:
                    caller.sendall(REQUEST)
                    await trio.sleep(WORK_S / 2)
                    caller.sendall(REQUEST)
                    return await trio.to_thread.run_sync(read_until_end, caller)

        answers = trio.run(run)
        self.assertEqual(answers.count(b"HTTP/1.1 200 "), 2, answers)
        self.assertEqual(answers.count(b"connection: close"), 1, answers)
