"""Virtual time, seeded scheduling and simulated links for daemons in one process."""

from __future__ import annotations

import contextlib
import errno
import math
import random
import socket
import time
from contextvars import ContextVar
from functools import partial
from itertools import cycle, islice
from types import SimpleNamespace
from typing import TYPE_CHECKING, Final
from unittest import mock

import trio
from trio._core import _run as trio_scheduler

from fulmarstile_http.byte_stream import ByteStream
from fulmarstile_testing.free_ports import find_free_ports

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

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
_MAX_PORTS: Final = 20


class SimulatedLinks:
    """Connections between daemons, with latency, limited rate and faults.

    Args:
        nursery: Carries the bytes.
        rng: Draws latencies.
        bytes_per_s: Rate of each direction of a connection; 0 for no limit.
    """

    def __init__(self, nursery: trio.Nursery, rng: random.Random, bytes_per_s: int) -> None:
        self._nursery = nursery
        self._rng = rng
        self._bytes_per_s = bytes_per_s
        self._silent_until: dict[tuple[str, str], float] = {}
        self._open: list[_Link] = []
        self._listeners: dict[str, _LinkListener] = {}
        self.names: dict[str, str] = {}
        """Names of the daemons by their address for other daemons."""

    def silence(self, source: str, target: str, for_s: float) -> None:
        """Holds back what one daemon sends to another."""
        self._silent_until[source, target] = trio.current_time() + for_s

    def break_all(self, first: str, second: str) -> None:
        """Resets the connections between two daemons."""
        for link in [link for link in self._open if {*link.ends} == {first, second}]:
            link.reset()

    async def open_stream(self, address: str) -> ByteStream:
        """Replaces `open_stream` of the connections to other daemons."""
        ends = LOCAL_DAEMON.get(), self.names[address]
        latency_s = self._rng.choice(_LATENCIES_S)
        await trio.sleep(2 * latency_s)
        while self.is_silent(ends) or self.is_silent(ends[::-1]):
            await trio.sleep(_POLL_S)
        listener = self._listeners.get(address)
        if listener is None or listener.is_closed:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "no daemon listens there")
        near, inner = _make_pair()
        far, outer = _make_pair()
        listener.offer(outer)
        link = _Link(self, ends, inner, far, latency_s)
        self._open.append(link)
        self._nursery.start_soon(link.run)
        return near

    @contextlib.contextmanager
    def listen(self, address: str) -> Iterator[_LinkListener]:
        """Replaces `listen` for the connections from other daemons."""
        listener = self._listeners[address] = _LinkListener(address)
        try:
            yield listener
        finally:
            del self._listeners[address]

    def is_silent(self, direction: tuple[str, str]) -> bool:
        """Returns whether nothing arrives in a direction at present."""
        return trio.current_time() < self._silent_until.get(direction, 0.0)

    def send_time_s(self, size: int) -> float:
        """Returns how long a number of bytes is under way besides the latency, in seconds."""
        return size / self._bytes_per_s if self._bytes_per_s else 0.0

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
        near: ByteStream,
        far: ByteStream,
        latency_s: float,
    ) -> None:
        self._links = links
        self.ends = ends
        self._near = near
        self._far = far
        self._latency_s = latency_s
        self._scope = trio.CancelScope()

    def reset(self) -> None:
        """Resets both ends."""
        self._scope.cancel()
        self._near.abort()
        self._far.abort()

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
                        sent_at += self._links.send_time_s(len(data))
                        await queue.send((sent_at + self._latency_s, data))
                except OSError:
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
                with trio.move_on_after(_USER_TIMEOUT_S):
                    while self._links.is_silent(direction):
                        await trio.sleep(_POLL_S)
                if not data or self._links.is_silent(direction):
                    self.reset()
                    return
                await target.send_all(data)
            target.send_eof()
        except OSError:
            self.reset()


def _make_pair() -> tuple[ByteStream, ByteStream]:
    """Makes the two ends of a connection, between which bytes arrive at once."""
    near, inner = socket.socketpair()
    for sock in (near, inner):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SMALL_BUFFER_BYTES)
        sock.setblocking(False)
    return ByteStream(near), ByteStream(inner)


class _LinkListener:
    """Takes the far ends of the connections to one daemon."""

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

    async def accept(self) -> ByteStream:
        return await self._receiver.receive()

    def offer(self, stream: ByteStream) -> None:
        self._sender.send_nowait(stream)


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
    """Lets the clocks of the process follow the clock of the event loop."""
    with (
        mock.patch.object(time, "time", lambda: _EPOCH_S + trio.current_time()),
        mock.patch.object(time, "monotonic", lambda: _BOOT_S + trio.current_time()),
        mock.patch.object(time, "clock_gettime", lambda _: _BOOT_S + trio.current_time()),
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
    send_all = ByteStream.send_all

    async def send_late(stream: ByteStream, data: bytes) -> None:
        if rng.random() < _SEND_STALL_RATIO:
            await trio.sleep(rng.choice(_SEND_STALLS_S))
        await send_all(stream, data)

    make_generator = random.Random
    # Finding ports draws a varying number of random numbers.
    ports = cycle(list(find_free_ports(_MAX_PORTS)))
    daemon = "fulmarstile_daemon.services.daemon"
    patches = [
        mock.patch(f"{daemon}.receive_signals", _receive_no_signals),
        mock.patch.object(random, "Random", lambda: make_generator(rng.random())),
        mock.patch(f"{daemon}.gc", SimpleNamespace(freeze=bool, set_threshold=lambda *_: None)),
        mock.patch("fulmarstile_daemon.services._links.open_stream", links.open_stream),
        mock.patch("fulmarstile_daemon.services._link_server.listen", links.listen),
        mock.patch(
            "fulmarstile_testing.builders.service_mesh.find_free_ports", partial(islice, ports)
        ),
    ]
    if stalls_sends:
        patches.append(mock.patch.object(ByteStream, "send_all", send_late))
    with contextlib.ExitStack() as stack:
        stack.enter_context(virtual_clocks())
        for patch in patches:
            stack.enter_context(patch)
        yield
