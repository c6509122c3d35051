"""Retries stay bounded in chains of applications that call one another through daemons."""

from __future__ import annotations

import unittest
from contextlib import AsyncExitStack

import h11
import trio
from loguru import logger

from fulmarstile_config.document import Document, Pool, RetryRule, Route, Service
from fulmarstile_config.routing_table import RoutingTable, compile_document
from fulmarstile_testing.builders.call_proxies import (
    CUSTOMER,
    SERVICE,
    FakeContext,
    ServedDaemon,
    make_request,
    serve_daemon,
)

DEPTH = 3
CALLS = 240
FAILING_EVERY = 3
BUDGET_PERCENT = 10.0
MAX_AMPLIFICATION = 1.1
HEADERS = ("fulmarstile-attempt", "fulmarstile-retry-budget")


def setUpModule() -> None:  # noqa: N802
    logger.disable("fulmarstile_daemon.calls")


def tearDownModule() -> None:  # noqa: N802
    logger.enable("fulmarstile_daemon.calls")


def make_chain_table() -> RoutingTable:
    route = Route("read", "/", "planning", retry="read", idempotent=True)
    document = Document(
        services=(Service(SERVICE),),
        pools=(Pool("planning", SERVICE),),
        retries=(RetryRule("read", attempts=3, budget_percent=BUDGET_PERCENT),),
        routes=(route,),
    )
    return RoutingTable({CUSTOMER: compile_document(CUSTOMER, document, 1)})


class Application:
    """Upstream that calls the next daemon, then closes some connections without an answer.

    Args:
        passed_on: Headers that it copies to the calls that it makes.
        inner: Daemon that it calls; None for the last application.
    """

    def __init__(self, passed_on: tuple[str, ...], inner: ServedDaemon | None) -> None:
        self._passed_on = passed_on
        self._inner = inner
        self.received: list[dict[str, str]] = []
        self.failing_every = FAILING_EVERY

    async def serve(self, stream: trio.SocketStream) -> None:
        async with stream:
            http = h11.Connection(h11.SERVER)
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await stream.receive_some(65536))
                elif type(event) is h11.Request:
                    if not await self._run(event):
                        return
                elif type(event) is h11.EndOfMessage:
                    head = h11.Response(status_code=200, headers=[("content-length", "0")])
                    await stream.send_all(http.send(head) + http.send(h11.EndOfMessage()))
                    http.start_next_cycle()
                else:
                    return

    async def _run(self, request: h11.Request) -> bool:
        headers = {name.decode(): value.decode() for name, value in request.headers}
        self.received.append(headers)
        number = len(self.received)
        if self._inner is not None:
            copied = {name: headers[name] for name in self._passed_on}
            answer = await self._inner.call(make_request(headers=copied))
            if answer.status != 200:
                return False
        return number % self.failing_every != 0


async def serve_chain(stack: AsyncExitStack, passed_on: tuple[str, ...]):
    """Serves a chain; returns its first daemon and its applications in the order of the chain."""
    applications: list[Application] = []
    daemon: ServedDaemon | None = None
    for number in range(DEPTH):
        application = Application(passed_on, daemon)
        context = FakeContext(f"daemon-{number}", routing_table=make_chain_table())
        daemon = await stack.enter_async_context(serve_daemon(context=context))
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        daemon.nursery.start_soon(trio.serve_listeners, application.serve, [listener])
        daemon.proxy.set_upstream(f"127.0.0.1:{port}", 10, 12)
        applications.insert(0, application)
    return daemon, applications


class ChainTest(unittest.TestCase):
    def test_passing_on_either_header_bounds_the_load_at_every_depth(self) -> None:
        async def run(passed_on: tuple[str, ...]) -> None:
            async with AsyncExitStack() as stack:
                daemon, applications = await serve_chain(stack, passed_on)
                for _ in range(CALLS):
                    await daemon.call(make_request())
                for application in applications:
                    self.assertLessEqual(len(application.received), MAX_AMPLIFICATION * CALLS)
                self.assertGreater(len(applications[0].received), CALLS)

        for passed_on in ((HEADERS[0],), (HEADERS[1],), HEADERS):
            with self.subTest(passed_on=passed_on):
                trio.run(run, passed_on)

    def test_a_retry_is_marked_in_both_headers(self) -> None:
        async def run() -> None:
            async with AsyncExitStack() as stack:
                daemon, applications = await serve_chain(stack, HEADERS)
                for _ in range(CALLS):
                    await daemon.call(make_request())
                header_values = {
                    tuple(request[name] for name in HEADERS) for request in applications[0].received
                }
                self.assertEqual(header_values, {("1", "1"), ("2", "0")})

        trio.run(run)

    def test_a_caller_cannot_raise_the_budget(self) -> None:
        async def run() -> None:
            forged_headers = ({}, {HEADERS[1]: "99"}, {HEADERS[0]: "1", HEADERS[1]: "99"})
            for headers in (*forged_headers, {HEADERS[0]: "0", HEADERS[1]: "1000000000000"}):
                async with AsyncExitStack() as stack:
                    daemon, applications = await serve_chain(stack, HEADERS)
                    for application in applications:
                        application.failing_every = 1
                    for _ in range(CALLS):
                        await daemon.call(make_request(headers=headers))
                    for application in applications:
                        received = application.received
                        self.assertLessEqual(len(received), MAX_AMPLIFICATION * CALLS)
                        budgets = {request[HEADERS[1]] for request in received}
                        self.assertLessEqual(budgets, {"0", "1"})

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
