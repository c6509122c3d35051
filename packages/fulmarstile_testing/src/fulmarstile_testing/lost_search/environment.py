"""Virtual time, seeded scheduling and simulated links for daemons in one process."""

from __future__ import annotations

import contextlib
import errno
import math
import random
import socket
import time
from contextvars import ContextVar
from itertools import count
from types import SimpleNamespace
from typing import TYPE_CHECKING, Final, NoReturn, Protocol
from unittest import mock

import trio
from trio._core import _run as trio_scheduler

from fulmarstile_http.byte_stream import READ_SIZE, ByteStream

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from fulmarstile_testing.service_upstream import ServiceUpstream

LOCAL_DAEMON: ContextVar[str] = ContextVar("LOCAL_DAEMON")
"""Name of the daemon whose task opens a connection."""

_EPOCH_S: Final = 1_700_000_000.0
_BOOT_S: Final = 1_000.0
_LATENCIES_S: Final = (0.0005, 0.002, 0.01)
_SEND_STALLS_S: Final = (0.0, 0.001, 0.01, 0.05)
_SEND_STALL_RATIO: Final = 0.1
_CHUNK_BYTES: Final = 16 * 1024
_QUEUED_CHUNKS: Final = 8
_SMALL_BUFFER_BYTES: Final = 32 * 1024
_USER_TIMEOUT_S: Final = 2.0
"""Time without acknowledgement after which the kernel breaks a connection, in seconds."""
_POLL_S: Final = 0.05
_FIRST_PORT: Final = 20_001


class _Listener(Protocol):
    """Takes the far ends of the connections to one address."""

    is_closed: bool

    def offer(self, stream: ByteStream) -> None:
        """Takes a connection."""


class _CarrierStream(ByteStream):
    """End of a socket pair on the side of the network, which doesn't wait as a daemon may."""

    receive = ByteStream.receive
    send_all = ByteStream.send_all


class SimulatedLinks:
    """All connections: those between daemons with latency, limited rate and faults.

    The kernel's TCP is not used, because its timers and its deferred deliveries take real time, in
    which virtual time may go on.

    Args:
        nursery: Carries the bytes.
        rng: Draws latencies.
        bytes_per_s: Rate of each direction of a connection between daemons; 0 for no limit.
        latencies_s: Latencies of such connections, of which one is drawn for each, in seconds.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        rng: random.Random,
        bytes_per_s: int,
        latencies_s: tuple[float, ...] = _LATENCIES_S,
    ) -> None:
        self._nursery = nursery
        self._rng = rng
        self._bytes_per_s = bytes_per_s
        self._latencies_s = latencies_s
        self._silent_until: dict[tuple[str, str], float] = {}
        self._open: list[_Link] = []
        self._listeners: dict[str, _Listener] = {}
        self._reset: set[socket.socket] = set()
        self.names: dict[str, str] = {}
        """Names of the daemons by their address for other daemons."""

    def silence(self, source: str, target: str, for_s: float) -> None:
        """Holds back what one daemon sends to another."""
        self._silent_until[source, target] = trio.current_time() + for_s

    def break_all(self, first: str, second: str) -> None:
        """Resets the connections between two daemons."""
        for link in [link for link in self._open if {*link.ends} == {first, second}]:
            link.reset()

    def silence_open(self, share: float = 1.0) -> None:
        """Makes open connections silent for good, without an end or a reset; new ones work.

        Args:
            share: Share of the connections that this happens to.
        """
        for link in self._open:
            link.is_silent = link.is_silent or share >= 1.0 or self._rng.random() < share

    async def open_stream(self, address: str, *, peer_may_read_late: bool = False) -> ByteStream:
        """Replaces `open_stream`."""
        name = self.names.get(address)
        if name is None:
            return self._connect(address, ("", ""), 0.0, 0)
        ends = LOCAL_DAEMON.get(), name
        latency_s = self._rng.choice(self._latencies_s)
        await trio.sleep(2 * latency_s)
        while self.is_silent(ends) or self.is_silent(ends[::-1]):
            await trio.sleep(_POLL_S)
        return self._connect(address, ends, latency_s, self._bytes_per_s)

    def _connect(
        self, address: str, ends: tuple[str, str], latency_s: float, bytes_per_s: int
    ) -> ByteStream:
        listener = self._listeners.get(address)
        if listener is None or listener.is_closed:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "nothing listens there")
        near, inner = _make_pair()
        far, outer = _make_pair()
        link = _Link(self, ends, (near, inner), (outer, far), latency_s, bytes_per_s)
        listener.offer(outer)
        self._open.append(link)
        self._nursery.start_soon(link.run)
        return near

    @contextlib.contextmanager
    def listen(self, address: str, *, peer_may_read_late: bool = False) -> Iterator[_LinkListener]:
        """Replaces `listen`."""
        listener = self._listeners[address] = _LinkListener(address)
        try:
            yield listener
        finally:
            listener.close()

    def serve(self, upstream: ServiceUpstream) -> None:
        """Lets an upstream take the connections to its address."""
        self._listeners[upstream.address] = _UpstreamListener(upstream, self._nursery)

    def mark_reset(self, sock: socket.socket) -> None:
        """Lets the end of a connection be a reset, for those who read it at this socket."""
        self._reset.add(sock)

    def is_reset(self, sock: socket.socket) -> bool:
        """Returns whether the connection of a socket was reset, by either side."""
        return sock in self._reset

    def is_silent(self, direction: tuple[str, str]) -> bool:
        """Returns whether nothing arrives in a direction at present."""
        return trio.current_time() < self._silent_until.get(direction, 0.0)

    def draw_flush(self) -> bool:
        """Returns whether bytes that were sent before a reset still arrive."""
        return self._rng.random() < 0.5

    def forget(self, link: _Link) -> None:
        """Removes a connection that has ended."""
        self._open.remove(link)


class _Link:
    """One connection, carried by two tasks."""

    def __init__(
        self,
        links: SimulatedLinks,
        ends: tuple[str, str],
        near: tuple[ByteStream, _CarrierStream],
        far: tuple[ByteStream, _CarrierStream],
        latency_s: float,
        bytes_per_s: int,
    ) -> None:
        self._links = links
        self.ends = ends
        near_end, self._near = near
        far_end, self._far = far
        self._sockets = near_end._socket, far_end._socket
        self._latency_s = latency_s
        self._bytes_per_s = bytes_per_s
        self._scope = trio.CancelScope()
        self.is_silent = False
        """Whether all that is sent is acknowledged and lost, also the end of the connection."""

    def reset(self) -> None:
        """Resets both ends."""
        self._scope.cancel()
        for each in self._sockets:
            self._links.mark_reset(each)
        self._near.close()
        self._far.close()

    async def run(self) -> None:
        """Carries bytes until both directions have ended."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._carry, self._near, self._far, self.ends)
                    nursery.start_soon(self._carry, self._far, self._near, self.ends[::-1])
        finally:
            self._near.close()
            self._far.close()
            self._links.forget(self)

    async def _carry(
        self, source: ByteStream, target: ByteStream, direction: tuple[str, str]
    ) -> None:
        queue, arriving = trio.open_memory_channel[tuple[float, bytes]](_QUEUED_CHUNKS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._deliver, arriving, target, direction)
            sent_at = 0.0
            async with queue:
                try:
                    while data := await source.receive(_CHUNK_BYTES):
                        sent_at = max(sent_at, trio.current_time())
                        if self._bytes_per_s:
                            sent_at += len(data) / self._bytes_per_s
                        await queue.send((sent_at + self._latency_s, data))
                    if any(self._links.is_reset(each) for each in self._sockets):
                        raise ConnectionResetError
                except OSError:
                    if self.is_silent:
                        return
                    if not self._links.draw_flush():
                        self.reset()
                        return
                    await queue.send((trio.current_time() + self._latency_s, b""))

    async def _deliver(
        self,
        arriving: trio.MemoryReceiveChannel[tuple[float, bytes]],
        target: ByteStream,
        direction: tuple[str, str],
    ) -> None:
        try:
            async for at, data in arriving:
                await trio.sleep_until(at)
                if self.is_silent:
                    continue
                with trio.move_on_after(_USER_TIMEOUT_S):
                    while self._links.is_silent(direction):
                        await trio.sleep(_POLL_S)
                if not data or self._links.is_silent(direction):
                    self.reset()
                    return
                await target.send_all(data)
            if not self.is_silent:
                target.send_eof()
        except OSError:
            self.reset()


def _make_pair() -> tuple[ByteStream, _CarrierStream]:
    """Makes the end of a connection that is used, and the one from which its bytes are carried."""
    near, inner = socket.socketpair()
    for sock in (near, inner):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SMALL_BUFFER_BYTES)
        sock.setblocking(False)
    return ByteStream(near), _CarrierStream(inner)


class _LinkListener:
    """Takes the far ends of the connections to one listener of a daemon."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._sender, self._receiver = trio.open_memory_channel[ByteStream](math.inf)
        self.is_closed = False

    def accept_pending(self) -> list[ByteStream]:
        streams = []
        with contextlib.suppress(trio.WouldBlock):
            while True:
                streams.append(self._receiver.receive_nowait())
        return streams

    def close(self) -> None:
        self.is_closed = True
        for stream in self.accept_pending():
            stream.abort()

    async def accept(self) -> ByteStream:
        return await self._receiver.receive()

    def offer(self, stream: ByteStream) -> None:
        self._sender.send_nowait(stream)


class _UpstreamListener:
    """Hands connections to an upstream."""

    is_closed = False

    def __init__(self, upstream: ServiceUpstream, nursery: trio.Nursery) -> None:
        self._upstream = upstream
        self._nursery = nursery

    def offer(self, stream: ByteStream) -> None:
        sock = trio.socket.from_stdlib_socket(stream._socket)
        self._nursery.start_soon(self._upstream.serve_connection, trio.SocketStream(sock))


@contextlib.contextmanager
def _receive_no_signals(*_: int, **__: object) -> Iterator[AsyncIterator[int]]:
    sender, receiver = trio.open_memory_channel[int](0)
    with sender, receiver:
        yield receiver


def seed_globally(seed: int) -> None:
    """Makes the shared generator, and the order in which trio runs tasks, depend on a seed."""
    trio_scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_scheduler._r.seed(seed)
    random.seed(seed)


@contextlib.contextmanager
def virtual_clocks() -> Iterator[None]:
    """Lets the clocks of the process follow the clock of the event loop.

    Virtual time goes on without computing, so that no processor time is used.
    """
    with (
        mock.patch.object(time, "time", lambda: _EPOCH_S + trio.current_time()),
        mock.patch.object(time, "monotonic", lambda: _BOOT_S + trio.current_time()),
        mock.patch.object(time, "clock_gettime", lambda _: _BOOT_S + trio.current_time()),
        mock.patch.object(time, "thread_time", lambda: 0.0),
    ):
        yield


@contextlib.contextmanager
def virtual_environment(
    links: SimulatedLinks, rng: random.Random, *, stalls_sends: bool
) -> Iterator[None]:
    """Gives the daemons virtual clocks, seeded generators and simulated links.

    Args:
        links: Connections between the daemons.
        rng: Seeds the daemons' generators.
        stalls_sends: Whether some sends wait as if the kernel's buffer were full.
    """
    receive, send_all = ByteStream.receive, ByteStream.send_all

    async def receive_or_fail(stream: ByteStream, max_bytes: int = READ_SIZE) -> bytes:
        data = await receive(stream, max_bytes)
        if not data and links.is_reset(stream._socket):
            raise ConnectionResetError(errno.ECONNRESET, "the connection was reset")
        return data

    def abort(stream: ByteStream) -> None:
        links.mark_reset(stream._socket)
        stream.close()

    def reset_upstream_connection(stream: trio.SocketStream) -> NoReturn:
        links.mark_reset(stream.socket._sock)
        stream.socket.close()
        raise trio.BrokenResourceError("the connection was reset")

    async def send_late(stream: ByteStream, data: bytes) -> None:
        if rng.random() < _SEND_STALL_RATIO:
            await trio.sleep(rng.choice(_SEND_STALLS_S))
        await send_all(stream, data)

    make_generator = random.Random
    # Sockets listen at ports 0, but no connection to them is opened.
    ports = count(_FIRST_PORT)
    services = "fulmarstile_daemon.services"
    patches = [
        mock.patch(f"{services}.daemon.receive_signals", _receive_no_signals),
        mock.patch.object(random, "Random", lambda: make_generator(rng.random())),
        mock.patch(
            f"{services}.daemon.gc", SimpleNamespace(freeze=bool, set_threshold=lambda *_: None)
        ),
        mock.patch(f"{services}._links.open_stream", links.open_stream),
        mock.patch("fulmarstile_http.client_connection.open_stream", links.open_stream),
        mock.patch("fulmarstile_testing.lost_search.callers.open_stream", links.open_stream),
        mock.patch(f"{services}._link_server.listen", links.listen),
        mock.patch(f"{services}._request_server.listen", links.listen),
        mock.patch("fulmarstile_testing.service_upstream._reset", reset_upstream_connection),
        mock.patch.object(ByteStream, "abort", abort),
        mock.patch.object(ByteStream, "receive", receive_or_fail),
        mock.patch(
            "fulmarstile_testing.builders.service_mesh.find_free_ports",
            lambda _: (next(ports), next(ports), 0, 0, 0),
        ),
    ]
    if stalls_sends:
        patches.append(mock.patch.object(ByteStream, "send_all", send_late))
    with contextlib.ExitStack() as stack:
        stack.enter_context(virtual_clocks())
        for patch in patches:
            stack.enter_context(patch)
        yield
