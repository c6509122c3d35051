"""Pipelined requests run concurrently where HTTP allows it, and are answered in order."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import wraps
from typing import TYPE_CHECKING, Any

import trio

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._request_server import RequestServer
from fulmarstile_daemon.services._server_connection import CallerResponse
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_services.document import RequestLimits
from fulmarstile_testing.builders.service_mesh import ServiceClient, connect, serve_mesh
from fulmarstile_testing.known_red import pass_over_known_red

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from fulmarstile_daemon.services._request_scope import RequestScope
    from fulmarstile_daemon.services._server_connection import ReceivedRequest

BUDGET_BYTES = 2_000_000
READ_AHEAD_REQUESTS = 8
READ_AHEAD_BYTES = 64 * 1024
ABANDONED_WITHIN_S = 0.5
SETTLE_S = 0.1
"""Time in which a wrong implementation would have read or started more, in seconds."""
LARGE = b"x" * 8_000_000
"""More than the buffers of a connection hold."""


def make_request(target: str, method: str = "GET", headers: str = "", body: bytes = b"") -> bytes:
    head = f"{method} {target} HTTP/1.1\r\nhost: shop.example\r\n{headers}"
    if body:
        head += f"content-length: {len(body)}\r\n"
    return f"{head}\r\n".encode() + body


def make_response(target: str, closes: bool = False) -> bytes:
    connection = b"connection: close\r\n" if closes else b""
    body = f"answer to {target}".encode()
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n%s\r\n%s" % (len(body), connection, body)


def in_trio(test: Callable[[Any], Awaitable[None]]) -> Callable[[Any], None]:
    return wraps(test)(lambda case: trio.run(test, case))


async def wait_until(holds: Callable[[], object]) -> None:
    with trio.fail_after(5.0):
        while not holds():
            await trio.sleep(0.002)


@dataclass
class Handler:
    """Answers a request once its target is released."""

    started: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    bodies: dict[str, bytes] = field(default_factory=dict)
    released: set[str] = field(default_factory=set)
    is_open: bool = False

    async def handle(self, request: ReceivedRequest, scope: RequestScope) -> CallerResponse:
        target = request.target.decode()
        self.started.append(target)
        self.bodies[target] = request.body
        try:
            while not (self.is_open or target in self.released):
                await trio.sleep(0.002)
        except trio.Cancelled:
            self.cancelled.append(target)
            raise
        body = LARGE if target == "/large" else f"answer to {target}".encode()
        return CallerResponse(200, [], body)


@dataclass
class Site:
    """A server with one caller."""

    server: RequestServer
    handler: Handler
    budget: ByteBudget
    address: str
    caller: trio.SocketStream

    async def receive_all(self) -> bytes:
        """Receives until the server closes the connection; fails if the connection is reset."""
        parts = []
        with trio.fail_after(5.0):
            while data := await self.caller.receive_some(65_536):
                parts.append(data)
        return b"".join(parts)

    async def expect(self, *targets: str, suffix: bytes = b"") -> None:
        """Receives the responses to these targets and then the suffix, byte for byte."""
        expected = b"".join(map(make_response, targets)) + suffix
        received = b""
        with trio.fail_after(5.0):
            while len(received) < len(expected):
                received += await self.caller.receive_some(len(expected) - len(received))
        assert received == expected, received[-1_000:]


@asynccontextmanager
async def serve(budget_bytes: int = BUDGET_BYTES) -> AsyncIterator[Site]:
    handler, budget = Handler(), ByteBudget(budget_bytes)
    server = RequestServer(handler.handle, RequestLimits, 100, budget, EventLog("d"), b"request-id")
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.serve, "127.0.0.1:0")
        async with await connect(address) as caller:
            yield Site(server, handler, budget, address, caller)
        await wait_until(lambda: not server.connections)
        assert budget.used_bytes == 0, "memory was not released once"
        nursery.cancel_scope.cancel()


class PipeliningTest(unittest.TestCase):
    @in_trio
    async def test_responses_keep_the_order_of_requests_that_finish_in_reverse_order(self) -> None:
        targets = [f"/{number}" for number in range(6)]
        async with serve() as site:
            for target in targets:
                await site.caller.send_all(make_request(target))
            await wait_until(lambda: len(site.handler.started) == len(targets))
            for target in reversed(targets):
                site.handler.released.add(target)
                await trio.sleep(0.01)
            await site.expect(*targets)
            site.handler.is_open = True
            await site.caller.send_all(make_request("/later"))
            await site.expect("/later")
            self.assertEqual(site.server.in_flight, 0)

    @in_trio
    async def test_a_request_that_arrives_behind_a_slow_one_starts_without_waiting_for_it(
        self,
    ) -> None:
        async with serve() as site:
            await site.caller.send_all(make_request("/slow"))
            await wait_until(lambda: site.handler.started == ["/slow"])
            await site.caller.send_all(make_request("/fast")[:20])
            await trio.sleep(0.01)
            await site.caller.send_all(make_request("/fast")[20:])
            await wait_until(lambda: site.handler.started == ["/slow", "/fast"])
            self.assertEqual(site.server.in_flight, 2)
            site.handler.is_open = True
            await site.expect("/slow", "/fast")

    @in_trio
    async def test_no_more_than_eight_requests_are_read_ahead(self) -> None:
        targets = [f"/{number}" for number in range(40)]
        async with serve() as site:
            await site.caller.send_all(b"".join(map(make_request, targets)))
            await wait_until(lambda: len(site.handler.started) > READ_AHEAD_REQUESTS)
            await trio.sleep(SETTLE_S)
            self.assertCountEqual(site.handler.started, targets[: READ_AHEAD_REQUESTS + 1])
            site.handler.is_open = True
            await site.expect(*targets)

    @in_trio
    async def test_no_more_than_64_kib_are_read_ahead_and_they_are_in_the_memory_limit(
        self,
    ) -> None:
        body = b"b" * 200_000
        requests = [
            make_request(f"/{number}", headers="x-pad: " + "p" * 20_000 + "\r\n")
            for number in range(3)
        ] + [make_request("/body", "POST", body=body)]
        async with serve() as site, trio.open_nursery() as nursery:
            await site.caller.send_all(make_request("/first"))
            await wait_until(lambda: site.handler.started)
            nursery.start_soon(site.caller.send_all, b"".join(requests))
            await wait_until(lambda: site.budget.used_bytes >= READ_AHEAD_BYTES)
            await trio.sleep(SETTLE_S)
            self.assertEqual(site.budget.used_bytes, READ_AHEAD_BYTES)
            self.assertCountEqual(site.handler.started, ["/first", "/0", "/1", "/2"])
            site.handler.is_open = True
            await site.expect("/first", "/0", "/1", "/2", "/body")
            self.assertEqual(site.handler.bodies["/body"], body)

    @in_trio
    async def test_without_memory_to_read_ahead_requests_are_served_one_after_the_other(
        self,
    ) -> None:
        async with serve(100) as site:
            targets = ["/0", "/1", "/2"]
            await site.caller.send_all(b"".join(map(make_request, targets)))
            await trio.sleep(SETTLE_S)
            self.assertEqual(site.handler.started, ["/0"])
            site.handler.is_open = True
            await site.expect(*targets)

    @in_trio
    async def test_an_unsafe_request_neither_overtakes_nor_is_overtaken(self) -> None:
        async with serve() as site:
            chunked = "transfer-encoding: chunked\r\n"
            await site.caller.send_all(
                make_request("/get")
                + make_request("/post", "POST", chunked)
                + b"6\r\na\r\n\r\nb\r\n0\r\n\r\n"
                + make_request("/head", "HEAD")
                + make_request("/options", "OPTIONS")
                + make_request("/delete", "DELETE")
            )
            steps = (["/get"], ["/post"], ["/head", "/options"], ["/delete"])
            started: list[str] = []
            for step in steps:
                started += step
                await wait_until(lambda step=step: set(step) <= set(site.handler.started))
                await trio.sleep(SETTLE_S)
                self.assertCountEqual(site.handler.started, started)
                site.handler.released.update(step)
            head = make_response("/head").partition(b"answer")[0]
            rest = make_response("/options") + make_response("/delete")
            await site.expect("/get", "/post", suffix=head + rest)
            self.assertEqual(site.handler.bodies["/post"], b"a\r\n\r\nb")

    @in_trio
    async def test_a_malformed_request_is_answered_in_turn_and_closes_the_connection(self) -> None:
        async with serve() as site:
            await site.caller.send_all(
                make_request("/0") + make_request("/1") + b"GET /bad HTTP/1.1\r\n\r\n" * 2
            )
            await wait_until(lambda: len(site.handler.started) == 2)
            site.handler.is_open = True
            received = await site.receive_all()
            valid = make_response("/0") + make_response("/1")
            self.assertEqual(received[: len(valid)], valid)
            self.assertRegex(received[len(valid) :], rb"^HTTP/1\.1 400 [^$]*connection: close")
            self.assertEqual(received.count(b"HTTP/1.1"), 3)

    @in_trio
    async def test_nothing_is_read_behind_a_request_that_closes_the_connection(self) -> None:
        for last in (
            make_request("/last", headers="connection: close\r\n"),
            b"GET /last HTTP/1.0\r\n\r\n",
        ):
            async with serve() as site:
                unread = make_request("/no") * 5_000
                await site.caller.send_all(make_request("/0") + last + unread)
                await wait_until(lambda site=site: len(site.handler.started) == 2)
                await trio.sleep(SETTLE_S)
                site.handler.is_open = True
                expected = make_response("/0") + make_response("/last", closes=True)
                self.assertEqual(await site.receive_all(), expected)
                self.assertEqual(site.handler.started, ["/0", "/last"])

    @in_trio
    async def test_a_request_sent_after_the_last_response_does_not_reset_the_connection(
        self,
    ) -> None:
        async with serve() as site:
            last = make_request("/last", headers="connection: close\r\n")
            await site.caller.send_all(make_request("/0") + last)
            await wait_until(lambda: len(site.handler.started) == 2)
            site.handler.is_open = True
            await wait_until(lambda: not site.server.in_flight)
            await trio.sleep(SETTLE_S)
            for _ in range(2):
                # Sending fails if the connection was reset.
                await site.caller.send_all(make_request("/no"))
                await trio.sleep(SETTLE_S)
            expected = make_response("/0") + make_response("/last", closes=True)
            self.assertEqual(await site.receive_all(), expected)

    @in_trio
    async def test_a_caller_that_leaves_cancels_all_its_requests_though_reading_has_paused(
        self,
    ) -> None:
        async with serve() as site:
            requests = (make_request(f"/{number}") for number in range(2_500))
            await site.caller.send_all(b"".join(requests))
            await wait_until(lambda: len(site.handler.started) > READ_AHEAD_REQUESTS)
            await site.caller.aclose()
            with trio.fail_after(ABANDONED_WITHIN_S):
                while len(site.handler.cancelled) < len(site.handler.started):
                    await trio.sleep(0.002)

    @pass_over_known_red
    @in_trio
    async def test_a_caller_that_leaves_with_more_unread_than_the_kernel_takes_cancels_them(
        self,
    ) -> None:
        async with serve() as site:
            requests = (make_request(f"/{number}") for number in range(5_000))
            await site.caller.send_all(b"".join(requests))
            await wait_until(lambda: len(site.handler.started) > READ_AHEAD_REQUESTS)
            await site.caller.aclose()
            with trio.fail_after(ABANDONED_WITHIN_S):
                while len(site.handler.cancelled) < len(site.handler.started):
                    await trio.sleep(0.002)

    @in_trio
    async def test_a_slow_reader_delays_only_its_own_connection(self) -> None:
        async with serve(100_000_000) as site:
            site.handler.is_open = True
            await site.caller.send_all(make_request("/large") + make_request("/behind"))
            await wait_until(lambda: "/behind" in site.handler.started)
            async with await connect(site.address) as other:
                await other.send_all(make_request("/other"))
                with trio.fail_after(1.0):
                    self.assertTrue(await other.receive_some(1_000))
            head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(LARGE)
            await site.expect(suffix=head + LARGE + make_response("/behind"))

    @in_trio
    async def test_continue_is_sent_only_after_the_responses_to_earlier_requests(self) -> None:
        async with serve() as site:
            expects = "expect: 100-continue\r\ncontent-length: 1\r\n"
            await site.caller.send_all(make_request("/0") + make_request("/1", "PUT", expects))
            await wait_until(lambda: site.handler.started)
            await trio.sleep(SETTLE_S)
            site.handler.is_open = True
            await site.expect("/0", suffix=b"HTTP/1.1 100 Continue\r\n\r\n")
            await site.caller.send_all(b"x")
            await site.expect("/1")


class PipeliningShutdownTest(unittest.TestCase):
    @in_trio
    async def test_all_that_arrives_is_answered_and_only_the_last_response_closes(
        self,
    ) -> None:
        async with serve() as site:
            partial = make_request("/partial", "PUT", "content-length: 9\r\n")
            await site.caller.send_all(
                make_request("/0") + make_request("/1") + make_request("/2", "PUT") + partial
            )
            await wait_until(lambda: site.server.in_flight == 3 and site.server.arriving)
            site.server.begin_closing()
            site.server.refuse_unreceived()
            await site.caller.send_all(b"x" * 9 + make_request("/late"))
            await trio.sleep(SETTLE_S)
            self.assertFalse(site.server.is_quiet(0.0))
            site.handler.is_open = True
            with trio.fail_after(ABANDONED_WITHIN_S):
                await site.server.wait_answered()
            received = await site.receive_all()
            answered = b"".join(map(make_response, ["/0", "/1", "/2"]))
            late = make_response("/late", closes=True)
            refusal = received.removeprefix(answered).removesuffix(late)
            self.assertEqual(received, answered + refusal + late)
            self.assertTrue(refusal.startswith(b"HTTP/1.1 503 "), refusal)
            self.assertEqual(received.count(b"HTTP/1.1 "), 5)
            self.assertNotIn(b"connection: close", refusal)
            self.assertEqual(site.handler.started, ["/0", "/1", "/2", "/late"])

    @in_trio
    async def test_a_request_not_started_when_all_expire_is_refused_and_not_run(self) -> None:
        async with serve() as site:
            await site.caller.send_all(make_request("/0") + make_request("/1", "PUT"))
            await wait_until(lambda: site.server.in_flight == 2)
            site.server.begin_closing()
            site.server.expire_all()
            site.handler.is_open = True
            received = await site.receive_all()
            self.assertTrue(received.startswith(make_response("/0") + b"HTTP/1.1 503"))
            self.assertEqual(site.handler.started, ["/0"])

    @in_trio
    async def test_a_request_whose_time_runs_out_behind_others_of_its_connection_is_not_run(
        self,
    ) -> None:
        async with serve_mesh("shop") as mesh:
            node = mesh.nodes[0]
            async with ServiceClient(await connect(node.address)) as client:
                slow = "request-id: r0\r\ntime-left-ms: 20000\r\n"
                late = "request-id: r1\r\ntime-left-ms: 200\r\n"
                await client.stream.send_all(
                    make_request("/a?delay_ms=500", headers=slow) + make_request("/a", "POST", late)
                )
                received = b""
                with trio.fail_after(5.0):
                    while received.count(b"HTTP/1.1 ") < 2:
                        received += await client.stream.receive_some(65_536)
            self.assertRegex(received, rb"^HTTP/1\.1 200[\s\S]*HTTP/1\.1 50[34]")
            self.assertEqual(node.upstream.record.count_runs("r1"), 0)

    @in_trio
    async def test_upstream_work_of_pipelined_requests_is_cancelled_when_their_caller_leaves(
        self,
    ) -> None:
        async with serve_mesh("stock", "shop") as mesh:
            entry, serving = mesh.nodes
            caller = await connect(entry.address)
            for number in range(3):
                headers = f"request-id: r{number}\r\ntime-left-ms: 20000\r\n"
                await caller.send_all(make_request("/a?delay_ms=20000", headers=headers))
            await wait_until(lambda: serving.upstream.record.running == 3)
            await caller.aclose()
            with trio.fail_after(ABANDONED_WITHIN_S):
                while serving.upstream.record.running:
                    await trio.sleep(0.002)


if __name__ == "__main__":
    unittest.main()
