"""Call proxies with upstreams, and raw callers, in one process."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import h11
import trio

from fulmarstile_calls.request import UpstreamEndpoint
from fulmarstile_config.document import Document, Limit, Pool, RetryRule, Route, Service
from fulmarstile_config.routing_table import RoutingTable, compile_document
from fulmarstile_daemon.calls import CallProxy, CallSettings
from fulmarstile_testing.upstream_stand_in import StandInSettings, UpstreamStandIn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from fulmarstile_daemon.calls import Claims
    from fulmarstile_daemon.calls._local_upstream import LocalUpstream

CUSTOMER: Final = "laundry"
SERVICE: Final = "planning"
MESH_KEY: Final = b"mesh key of the tests"

READ_ROUTE: Final = Route("read", "/", "planning", retry="read", idempotent=True)
WRITE_ROUTE: Final = Route("write", "/write", "planning")
CHARGE_ROUTE: Final = Route("charge", "/charge", "planning", at_most_once=True)
LIMITED_ROUTE: Final = Route("limited", "/limited", "planning", limit="one")
SHORT_ROUTE: Final = Route("short", "/short", "planning", timeout_ms=300)
UPLOAD_ROUTE: Final = Route("upload", "/upload", "planning", timeout_ms=60_000)
HEDGED_ROUTE: Final = Route("hedged", "/", "planning", retry="hedge", idempotent=True)
ROUTES: Final = (READ_ROUTE, WRITE_ROUTE, CHARGE_ROUTE, LIMITED_ROUTE, SHORT_ROUTE, UPLOAD_ROUTE)


def make_table(routes: Sequence[Route] = ROUTES, customer: str = CUSTOMER) -> RoutingTable:
    """Makes a routing table for one customer.

    Args:
        routes: Routes to the pool `planning`.
        customer: Customer.

    Returns:
        The table.
    """
    document = Document(
        services=(Service(SERVICE),),
        pools=(Pool("planning", SERVICE),),
        limits=(Limit("one", calls_per_s=0.001, burst=1),),
        retries=(
            RetryRule("read", attempts=3, budget_percent=100.0),
            RetryRule("hedge", attempts=2, budget_percent=100.0, hedge_after_ms=50),
        ),
        routes=tuple(routes),
    )
    return RoutingTable({customer: compile_document(customer, document, 1)})


@dataclass(eq=False)
class FakeContext:
    """State of a daemon, as set by a test."""

    daemon_id: str = "daemon-1"
    default_customer: str = CUSTOMER
    routing_table: RoutingTable = field(default_factory=make_table)
    endpoints: tuple[UpstreamEndpoint, ...] = ()
    claims: Claims | None = None
    quarantined: set[bytes] = field(default_factory=set)
    crashes: list[tuple[bytes, ...]] = field(default_factory=list)
    starting_customers: set[str] = field(default_factory=set)
    """Customers whose configuration has not arrived yet."""

    def is_starting(self, customer: str) -> bool:
        """See `CallContext.is_starting`."""
        return customer in self.starting_customers

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """See `CallContext.is_quarantined`."""
        return fingerprint in self.quarantined

    def on_upstream_crash(self, fingerprints: tuple[bytes, ...]) -> None:
        """See `CallContext.on_upstream_crash`."""
        self.crashes.append(fingerprints)


@dataclass(eq=False)
class ServedDaemon:
    """A proxy with its upstream."""

    proxy: CallProxy
    context: FakeContext
    upstream: UpstreamStandIn
    nursery: trio.Nursery
    callers: list[RawCaller] = field(default_factory=list)
    """Callers that connected; closed at the end."""

    @property
    def endpoint(self) -> UpstreamEndpoint:
        """The upstream as its own daemon sees it."""
        return make_endpoint(self.context.daemon_id, self.proxy.address, is_local=True)

    async def connect(self) -> RawCaller:
        """Opens a caller's connection to the proxy."""
        host, _, port = self.proxy.address.rpartition(":")
        caller = RawCaller(await trio.open_tcp_stream(host, int(port)))
        self.callers.append(caller)
        return caller

    async def call(self, request: bytes) -> RawAnswer:
        """Sends a request over a new connection.

        Args:
            request: Bytes of the request.

        Returns:
            The answer.
        """
        caller = await self.connect()
        try:
            await caller.send(request)
            return await caller.receive()
        finally:
            await caller.close()


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """An answer as received by a caller."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    """Whether the answer arrived in full, as its headers announced."""

    @property
    def verdict(self) -> str:
        """Value of the verdict header; empty if there is none."""
        return self.headers.get("fulmarstile-verdict", "")

    @property
    def reason(self) -> str:
        """Value of the reason header; empty if there is none."""
        return self.headers.get("fulmarstile-reason", "")


class RawCaller:
    """Caller that sends arbitrary bytes and parses answers strictly.

    Args:
        stream: Stream to the proxy.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        """Stream to the proxy."""
        self._received = b""

    async def send(self, data: bytes) -> None:
        """Sends bytes as they are.

        Args:
            data: The bytes.
        """
        await self.stream.send_all(data)

    async def receive(self, method: str = "GET") -> RawAnswer:
        """Reads the next answer, skipping informational ones.

        Args:
            method: Method of the request that is answered.

        Returns:
            The answer; incomplete if the connection ended first or broke the protocol.
        """
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method=method, target="/", headers=[("host", "x")]))
        http.send(h11.EndOfMessage())
        if self._received:
            http.receive_data(self._received)
        head: h11.Response | None = None
        body = b""
        while True:
            try:
                event = await self._next_event(http)
            except (h11.RemoteProtocolError, trio.BrokenResourceError):
                return _make_answer(head, body, complete=False)
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._received = http.trailing_data[0]
                return _make_answer(head, body, complete=True)
            elif not isinstance(event, h11.InformationalResponse):
                return _make_answer(head, body, complete=False)

    async def is_closed_by_proxy(self) -> bool:
        """Waits for the proxy to close the connection.

        Returns:
            True if it did so without sending anything more.
        """
        try:
            return await self.stream.receive_some(1) == b""
        except trio.BrokenResourceError:
            return True

    async def close(self) -> None:
        """Closes the connection."""
        await trio.aclose_forcefully(self.stream)

    async def _next_event(self, http: h11.Connection) -> h11.Event | type[h11.PAUSED]:
        while True:
            event = http.next_event()
            if event is not h11.NEED_DATA:
                return event
            http.receive_data(await self.stream.receive_some(65536))


def _make_answer(head: h11.Response | None, body: bytes, *, complete: bool) -> RawAnswer:
    if head is None:
        return RawAnswer(0, {}, body, complete)
    headers = {name.decode(): value.decode() for name, value in head.headers}
    return RawAnswer(head.status_code, headers, body, complete)


def make_endpoint(daemon_id: str, calls_address: str, *, is_local: bool) -> UpstreamEndpoint:
    """Makes an endpoint of the service under test.

    Args:
        daemon_id: Daemon beside the upstream.
        calls_address: `host:port` of that daemon's proxy.
        is_local: Whether it is the daemon that uses the endpoint.

    Returns:
        The endpoint.
    """
    return UpstreamEndpoint(daemon_id, calls_address, SERVICE, "be-bru", "be", 10, is_local)


def make_request(
    target: str = "/slots",
    method: str = "GET",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Makes the bytes of a well-formed request.

    Args:
        target: Request target.
        method: HTTP method.
        body: Body; a Content-Length header is added unless it is empty.
        headers: Further headers.

    Returns:
        The request.
    """
    lines = [f"{method} {target} HTTP/1.1", "Host: example"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


@asynccontextmanager
async def serve_daemon(
    daemon_id: str = "daemon-1",
    *,
    settings: CallSettings | None = None,
    upstream: StandInSettings | None = None,
    context: FakeContext | None = None,
    slots: int = 10,
    connections: int = 12,
    local: LocalUpstream | None = None,
) -> AsyncIterator[ServedDaemon]:
    """Serves a proxy with a stand-in for its upstream until the context ends.

    Args:
        daemon_id: Identifier of the daemon.
        settings: Settings of the proxy.
        upstream: Settings of the upstream.
        context: State of the daemon.
        slots: Slots that the upstream announces.
        connections: Connections that the upstream announces.
        local: Admission to the upstream; made from the settings if None.

    Yields:
        The proxy with its upstream.
    """
    context = context or FakeContext(daemon_id)
    stand_in = UpstreamStandIn(upstream or StandInSettings(SERVICE, f"{SERVICE}-{daemon_id}"))
    async with trio.open_nursery() as nursery:
        proxy = CallProxy(
            settings or CallSettings(MESH_KEY, drain_announce_s=0.0), context, local=local
        )
        address = await nursery.start(stand_in.serve)
        await nursery.start(proxy.serve)
        proxy.set_upstream(address, slots, connections)
        daemon = ServedDaemon(proxy, context, stand_in, nursery)
        context.endpoints = (daemon.endpoint,)
        proxy.replace_endpoints(context.endpoints)
        try:
            yield daemon
        finally:
            for caller in daemon.callers:
                caller.stream.socket.close()
            nursery.cancel_scope.cancel()


@asynccontextmanager
async def serve_two_daemons(
    upstream: StandInSettings | None = None,
) -> AsyncIterator[tuple[ServedDaemon, ServedDaemon]]:
    """Serves two proxies; the first one sends all its calls to the second one's upstream.

    Args:
        upstream: Settings of both upstreams.

    Yields:
        The daemon that callers use and the one beside the upstream.
    """
    async with (
        serve_daemon("daemon-1", upstream=upstream) as entry,
        serve_daemon("daemon-2", upstream=upstream) as serving,
    ):
        remote = make_endpoint("daemon-2", serving.proxy.address, is_local=False)
        entry.proxy.replace_endpoints((remote,))
        yield entry, serving
