"""Daemons with upstreams on loopback, for tests of the calls between services."""

from __future__ import annotations

import dataclasses
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import h11
import trio

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._notice_merger import NoticeMerger
from fulmarstile_daemon.services._upstream import LocalUpstream
from fulmarstile_daemon.services.daemon import ServiceDaemon
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_services.directory import Directory
from fulmarstile_services.settings import Listeners, NodeSettings, RequiredBounds
from fulmarstile_testing.builders.services import (
    make_announcement,
    make_document,
    make_member,
    make_route,
)
from fulmarstile_testing.fakes.keyed_log import FakeKeyedLog
from fulmarstile_testing.fakes.service_platform import (
    DOCUMENT_KEY,
    DOCUMENT_TOPIC,
    HEADER_NAMES,
    ORDER_KEY,
    STATUS_TOPIC,
    FakePlatform,
)
from fulmarstile_testing.free_ports import find_free_ports
from fulmarstile_testing.service_upstream import ServiceUpstream

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from fulmarstile_services.document import ServiceDocument

READY_TIMEOUT_S = 10.0
"""Time after which a mesh that is not ready fails its test, in seconds."""


@dataclass(frozen=True, slots=True)
class ClientAnswer:
    """An answer as received by a client."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    complete: bool
    """Whether the answer arrived in full."""


@dataclass(slots=True)
class ServiceNode:
    """A daemon and the upstream beside it."""

    daemon: ServiceDaemon
    platform: FakePlatform
    upstream: ServiceUpstream
    version: str = ""
    """Version that the upstream announces."""
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    """Scope of the daemon."""
    ended: trio.Event = field(default_factory=trio.Event)
    """Set once the daemon has ended."""

    @property
    def address(self) -> str:
        """Address for callers."""
        return self.platform.settings.listeners.callers

    def stop(self) -> None:
        """Tells the daemon to stop, as SIGTERM does."""
        self.daemon.begin_stopping()

    async def kill(self) -> None:
        """Cancels the daemon and waits until it has ended."""
        self.scope.cancel()
        await self.ended.wait()

    async def call(
        self,
        target: str,
        method: str = "GET",
        *,
        request_id: str = "request-1",
        wait_ms: int = 2_000,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> ClientAnswer:
        """Sends one request over a new connection."""
        async with ServiceClient(await connect(self.address)) as client:
            return await client.call(
                target, method, request_id=request_id, wait_ms=wait_ms, body=body, headers=headers
            )

    async def announce(self, **changes: Any) -> None:
        """Announces the upstream to the daemon, with some fields changed."""
        fields = {
            "upstream_id": self.upstream.upstream_id,
            "slots": 4,
            "version": self.version,
        }
        await self.daemon.announcements.announce(make_announcement(**(fields | changes)))


class ServiceClient:
    """Client on one connection.

    Args:
        stream: Connected stream.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        """The connection."""
        self._http = h11.Connection(h11.CLIENT)

    async def __aenter__(self) -> ServiceClient:
        return self

    async def __aexit__(self, *error: object) -> None:
        await trio.aclose_forcefully(self.stream)

    async def send(
        self,
        target: str,
        method: str = "GET",
        *,
        request_id: str = "request-1",
        wait_ms: int = 2_000,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Sends a request."""
        all_headers = [
            ("host", "shop.example"),
            ("request-id", request_id),
            ("time-left-ms", str(wait_ms)),
            ("content-length", str(len(body))),
            *headers,
        ]
        data = self._http.send(h11.Request(method=method, target=target, headers=all_headers))
        if body:
            data += self._http.send(h11.Data(data=body))
        await self.stream.send_all(data + self._http.send(h11.EndOfMessage()))

    async def receive(self) -> ClientAnswer:
        """Receives the answer to the request that was sent."""
        status, headers, body = 0, {}, b""
        while True:
            try:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    self._http.receive_data(await self.stream.receive_some(65_536))
                    continue
            except (h11.RemoteProtocolError, trio.BrokenResourceError):
                return ClientAnswer(status, headers, body, complete=False)
            if type(event) is h11.Response:
                status, headers = event.status_code, dict(event.headers)
            elif type(event) is h11.Data:
                body += event.data
            elif type(event) is h11.EndOfMessage:
                if self._http.our_state is h11.DONE:
                    self._http.start_next_cycle()
                return ClientAnswer(status, headers, body, complete=True)
            else:
                return ClientAnswer(status, headers, body, complete=False)

    async def call(self, target: str, method: str = "GET", **options: Any) -> ClientAnswer:
        """Sends a request and receives its answer."""
        await self.send(target, method, **options)
        return await self.receive()


class ServiceMesh:
    """Daemons that share a store.

    Args:
        nursery: Runs daemons and upstreams.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self.link_kbps = 0
        self.bounds = RequiredBounds()
        """Bounds in the settings of the daemons that start."""
        self.document_bytes = 0
        """Least size of a document in the store, in bytes."""
        self.documents: dict[bytes, ServiceDocument] = {}
        """Documents by the bytes that represent them in the store."""
        self.store = FakeKeyedLog()
        """The store."""
        self.make_store: Callable[[str], FakeKeyedLog] = lambda _: FakeKeyedLog(self.store)
        """Makes the client of the store of a daemon, by its name."""
        self.nodes: list[ServiceNode] = []
        """Daemons in the order in which they were started."""

    def put_document(self, document: ServiceDocument) -> None:
        """Writes a document to the store."""
        raw = (b"document %d" % document.version).ljust(self.document_bytes, b".")
        self.documents[raw] = document
        self.store.put(DOCUMENT_TOPIC, DOCUMENT_KEY, raw)

    def newest_readable_version(self) -> int:
        """Returns the newest version in the store that has not expired; -1 if there is none."""
        records = [
            self.documents.get(record.value)
            for record in self.store.list_readable(DOCUMENT_TOPIC)
            if record.key == DOCUMENT_KEY
        ]
        return max((document.version for document in records if document), default=-1)

    def put_order(self, service: str, version: str, duration_s: float) -> None:
        """Writes an order for a roll-out to the store."""
        value = f"{version} {duration_s}".encode()
        self.store.put(DOCUMENT_TOPIC, ORDER_KEY + service, value)

    def list_statuses(self, service: str) -> list[str]:
        """Returns all statuses of a service's roll-outs, as `PHASE VERSION`."""
        records = self.store.list_records(STATUS_TOPIC)
        return [record.value.decode() for record in records if record.key == service]

    def count_runs(self, version: str) -> int:
        """Returns how many requests the upstreams of a version have run."""
        upstreams = [node.upstream for node in self.nodes if node.version == version]
        return sum(each.ran for upstream in upstreams for each in upstream.record.requests)

    def set_store_down(self, is_down: bool) -> None:
        """Makes the store unavailable to all daemons, or available again."""
        for node in self.nodes:
            node.platform.store.is_down = is_down
        self.store.wake()

    async def start_node(
        self,
        name: str,
        *,
        service: str = "shop",
        zone: str = "zone-a",
        upstream: ServiceUpstream | None = None,
        earlier: ServiceNode | None = None,
        announced: bool = True,
        version: str = "",
    ) -> ServiceNode:
        """Starts a daemon with its upstream; it takes the settings of an earlier node if given."""
        if upstream is None:
            upstream = ServiceUpstream(HEADER_NAMES, f"upstream-of-{name}")
            self._nursery.start_soon(upstream.serve)
        settings = make_node_settings(name, service, zone, upstream.address, self.link_kbps)
        settings = dataclasses.replace(settings, bounds=self.bounds)
        if earlier is not None:
            settings = earlier.platform.settings
        platform = FakePlatform(settings, self.store, self.documents)
        platform.store = self.make_store(name)
        log = EventLog(name)
        node = ServiceNode(ServiceDaemon(platform, settings, log), platform, upstream, version)
        self.nodes.append(node)
        self._nursery.start_soon(self._run, node)
        with trio.fail_after(READY_TIMEOUT_S):
            while not node.daemon.is_ready:
                await trio.sleep(0.01)
        if announced:
            await node.announce(service=service)
        return node

    async def wait_serving(self, service: str, count: int) -> None:
        """Waits until every daemon knows the given number of serving upstreams."""
        with trio.fail_after(READY_TIMEOUT_S):
            for node in self.nodes:
                while len(node.daemon.directory.serving(service)) != count:
                    await trio.sleep(0.01)

    async def _run(self, node: ServiceNode) -> None:
        with node.scope:
            await node.daemon.run()
        self.nodes.remove(node)
        node.ended.set()


def make_node_settings(
    name: str, service: str, zone: str, upstream_address: str, link_kbps: int = 0
) -> NodeSettings:
    """Makes the settings of a daemon that listens on free ports of loopback."""
    ports = [f"127.0.0.1:{port}" for port in find_free_ports(5)]
    return NodeSettings(
        name=name,
        availability_zone=zone,
        region="region",
        service=service,
        upstream_address=upstream_address,
        store_address="",
        listeners=Listeners(*ports),
        announce_interval_s=1.5,
        is_first_start=False,
        memory_bytes=1_000_000_000,
        descriptor_limit=4_000,
        link_kbps=link_kbps,
    )


def make_local_upstream(
    *,
    connections: int = 10,
    budget: ByteBudget | None = None,
    notices: NoticeMerger | None = None,
    on_suspects: Callable[[tuple[bytes, ...]], None] = lambda _: None,
) -> LocalUpstream:
    """Makes the part of a daemon that sends requests to the upstream on its VM."""
    log = EventLog("daemon-1")
    return LocalUpstream(
        HEADER_NAMES,
        lambda _: connections,
        on_suspects,
        notices or NoticeMerger(Directory(make_member()), log),
        budget or ByteBudget(1 << 30),
        log,
    )


async def connect(address: str) -> trio.SocketStream:
    """Connects to a daemon."""
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


@asynccontextmanager
async def serve_mesh(
    *services: str,
    zones: tuple[str, ...] = (),
    document: ServiceDocument | None = None,
    link_kbps: int = 0,
    bounds: RequiredBounds | None = None,
    version: str = "",
) -> AsyncIterator[ServiceMesh]:
    """Runs a daemon for each service named.

    Args:
        services: Service of the upstream beside each daemon.
        zones: Availability zone of each daemon; by default all in one.
        document: Document in force; by default all of `shop.example` goes to `shop`.
        link_kbps: Link capacity in the daemons' settings, in kilobits per second.
        bounds: Bounds in the daemons' settings.
        version: Version that all upstreams announce.

    Yields:
        The mesh, in which every daemon knows all upstreams.
    """
    async with trio.open_nursery() as nursery:
        mesh = ServiceMesh(nursery)
        mesh.link_kbps = link_kbps
        mesh.bounds = bounds or RequiredBounds()
        mesh.put_document(document or make_document(make_route()))
        for index, service in enumerate(services):
            zone = zones[index] if zones else "zone-a"
            await mesh.start_node(
                f"daemon-{index + 1}", service=service, zone=zone, version=version
            )
        for service in set(services):
            await mesh.wait_serving(service, services.count(service))
        yield mesh
        nursery.cancel_scope.cancel()
