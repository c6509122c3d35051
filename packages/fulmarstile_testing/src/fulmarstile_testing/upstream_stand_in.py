"""Stand-in for an upstream: answers HTTP requests, misbehaves on demand, counts what it ran.

Besides the flags, a request's query can ask for a behaviour: `delay_ms`, `size` (bytes of
the answer's body), `status`, `chunked=1`, `truncate=1` and `twice=1` (a second answer follows
the first). `GET /__stand_in/counts` tells what was run.
"""

from __future__ import annotations

import os
import random
import signal
import socket
import struct
from dataclasses import dataclass
from typing import Final
from urllib.parse import parse_qsl

import h11
import msgspec
import trio
from absl import app, flags
from loguru import logger

from fulmarstile_platform.http import HttpError
from fulmarstile_testing.upstream_announcing import announce, announce_forever

_COUNTS_PATH: Final = b"/__stand_in/counts"
_READ_SIZE: Final = 64 * 1024
_CHUNK_SIZE: Final = 16 * 1024
_DRAIN_POLL_S: Final = 0.02
_DRAIN_QUIET_S: Final = 0.5
"""Time without a request after which a draining stand-in exits, in seconds."""
_NO_BODY_STATUSES: Final = (204, 304)
_CRASH_EXIT_CODE: Final = 70
_LINGER_NONE: Final = struct.pack("ii", 1, 0)
"""`struct linger` that resets a connection on close."""


@dataclass(frozen=True, slots=True)
class StandInSettings:
    """How a stand-in behaves."""

    service: str = "echo"
    instance: str = "echo-1"
    address: str = "127.0.0.1:0"
    slots: int = 10
    connections: int = 110
    delay_ms: float = 0.0
    """Time that each request takes."""
    fail_rate: float = 0.0
    """Share of requests answered with status 500."""
    truncate_rate: float = 0.0
    """Share of answers that are cut off half-way."""
    drop_rate: float = 0.0
    """Share of requests that are run, but whose connection breaks without an answer."""
    until_close: bool = False
    """Whether answers have no length and end with the connection."""
    crash_on: str = ""
    """Text in a request target that makes the process exit; empty for none."""
    seed: int = 1


class Counts(msgspec.Struct):
    """What a stand-in ran since it was started."""

    executed: dict[str, int] = {}
    """Times that a request's head was received whole, by request id."""
    total: int = 0
    running: int = 0
    max_running: int = 0
    """Most requests that ran at the same time."""
    connections: int = 0
    max_connections: int = 0
    """Most connections open at the same time."""
    cancelled: int = 0
    """Requests whose connection was closed before their answer was sent."""


class Answered(msgspec.Struct, frozen=True):
    """Body of an answer."""

    service: str
    instance: str
    request_id: str
    method: str
    target: str
    body_bytes: int


class UpstreamStandIn:
    """HTTP server that plays an upstream.

    Args:
        settings: How it behaves.
    """

    def __init__(self, settings: StandInSettings) -> None:
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._address = settings.address
        self._accepting = trio.CancelScope()
        self.counts = Counts()
        """What was run so far."""
        self.open_connections: set[trio.SocketStream] = set()
        """Connections that are open."""
        self.silent_connections: set[trio.SocketStream] = set()
        """Connections on which nothing is read any more, as if the path had lost them."""

    @property
    def address(self) -> str:
        """`host:port` that is listened at."""
        return self._address

    async def serve(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled.

        Args:
            task_status: Told the `host:port` that is listened at.
        """
        host, _, port = self._settings.address.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        self._address = f"{host}:{listeners[0].socket.getsockname()[1]}"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._accept, listeners, nursery)
            task_status.started(self._address)
            await trio.sleep_forever()

    async def _accept(self, listeners: list[trio.SocketListener], nursery: trio.Nursery) -> None:
        with self._accepting:
            await trio.serve_listeners(self._serve_stream, listeners, handler_nursery=nursery)

    def stop_listening(self) -> None:
        """Refuses new connections from now on."""
        self._accepting.cancel()

    def break_connections(self) -> None:
        """Breaks all open connections, as a crash of the process does."""
        for stream in list(self.open_connections):
            if stream.socket.fileno() < 0:
                continue
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
            stream.socket.close()

    async def wait_idle(self) -> None:
        """Waits until no request runs."""
        while self.counts.running:
            await trio.sleep(_DRAIN_POLL_S)

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        counts = self.counts
        self.open_connections.add(stream)
        counts.connections += 1
        counts.max_connections = max(counts.max_connections, counts.connections)
        try:
            await _Session(self, stream).run()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        finally:
            counts.connections -= 1
            self.open_connections.discard(stream)
            await trio.aclose_forcefully(stream)

    def note_executed(self, request_id: str) -> None:
        """Counts a request.

        Args:
            request_id: Identifier sent by the caller.
        """
        counts = self.counts
        counts.total += 1
        counts.running += 1
        counts.max_running = max(counts.max_running, counts.running)
        if request_id:
            counts.executed[request_id] = counts.executed.get(request_id, 0) + 1

    def draw(self, rate: float) -> bool:
        """Draws whether something that happens at a rate happens now.

        Args:
            rate: Probability.

        Returns:
            True if it does.
        """
        return rate > 0 and self._random.random() < rate

    @property
    def settings(self) -> StandInSettings:
        """How the stand-in behaves."""
        return self._settings


class _Session:
    """One connection to a stand-in."""

    def __init__(self, upstream: UpstreamStandIn, stream: trio.SocketStream) -> None:
        self._upstream = upstream
        self._stream = stream
        self._http = h11.Connection(h11.SERVER)
        self._answered = False
        self._is_head = False

    async def run(self) -> None:
        while True:
            request = await self._next_event()
            if type(request) is not h11.Request:
                return
            if request.target == _COUNTS_PATH:
                await self._next_event()
                await self._send(200, msgspec.json.encode(self._upstream.counts))
            else:
                await self._execute(request)
            if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
                return
            self._http.start_next_cycle()

    async def _execute(self, request: h11.Request) -> None:
        upstream = self._upstream
        request_id = _request_id(request)
        upstream.note_executed(request_id)
        self._answered = False
        self._is_head = request.method == b"HEAD"
        try:
            await self._run_request(request, request_id)
        finally:
            upstream.counts.running -= 1
            if not self._answered:
                upstream.counts.cancelled += 1

    async def _run_request(self, request: h11.Request, request_id: str) -> None:
        settings = self._upstream.settings
        target = request.target.decode("latin-1")
        if settings.crash_on and settings.crash_on in target:
            os._exit(_CRASH_EXIT_CODE)
        wishes = dict(parse_qsl(target.partition("?")[2]))
        received = await self._receive_body()
        delay_s = float(wishes.get("delay_ms", settings.delay_ms)) / 1000
        if not await self._work(delay_s):
            return
        if self._upstream.draw(settings.drop_rate):
            return
        self._answered = True
        answer = Answered(
            settings.service,
            settings.instance,
            request_id,
            request.method.decode(),
            target,
            received,
        )
        body = msgspec.json.encode(answer)
        if "size" in wishes:
            body = b"x" * int(wishes["size"])
        failed = self._upstream.draw(settings.fail_rate)
        status = 500 if failed else int(wishes.get("status", 200))
        cut = "truncate" in wishes or self._upstream.draw(settings.truncate_rate)
        chunked, twice = "chunked" in wishes, "twice" in wishes
        await self._send(status, body, chunked=chunked, cut=cut, twice=twice)

    async def _work(self, delay_s: float) -> bool:
        """Spends a request's time; returns whether the connection is still open after it."""
        if delay_s <= 0:
            return True
        with trio.move_on_after(delay_s):
            data = await self._stream.receive_some(_READ_SIZE)
            self._http.receive_data(data)
            if not data:
                return False
            await trio.sleep_forever()
        return True

    async def _receive_body(self) -> int:
        received = 0
        if self._http.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._http.send(proceed))
        while type(event := await self._next_event()) is h11.Data:
            received += len(event.data)
        if type(event) is not h11.EndOfMessage:
            raise trio.BrokenResourceError
        return received

    async def _send(
        self,
        status: int,
        body: bytes,
        *,
        chunked: bool = False,
        cut: bool = False,
        twice: bool = False,
    ) -> None:
        headers = [(b"content-type", b"application/json")]
        if self._upstream.settings.until_close:
            await self._stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n" + body)
            return
        if not chunked and status != 204:
            headers.append((b"content-length", b"%d" % len(body)))
        http = self._http
        data = http.send(h11.Response(status_code=status, headers=headers))
        if cut:
            data += http.send(h11.Data(data=body[: len(body) // 2]))
            await self._stream.send_all(data)
            return
        if status in _NO_BODY_STATUSES or self._is_head:
            body = b""
        parts = [data]
        for start in range(0, len(body), _CHUNK_SIZE):
            parts.append(http.send(h11.Data(data=body[start : start + _CHUNK_SIZE])))
        parts.append(http.send(h11.EndOfMessage()))
        data = b"".join(parts)
        await self._stream.send_all(data * 2 if twice else data)

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._stream.receive_some(_READ_SIZE)
            while self._stream in self._upstream.silent_connections:
                await trio.sleep(_DRAIN_POLL_S)
            self._http.receive_data(data)


def _request_id(request: h11.Request) -> str:
    for name, value in request.headers:
        if name == b"x-request-id":
            return value.decode("latin-1")
    return ""


async def run_process(settings: StandInSettings, admin: str, ttl_s: float) -> None:
    """Runs a stand-in until SIGTERM or SIGINT, then drains it.

    Args:
        settings: How it behaves.
        admin: Admin address of its daemon; empty to announce nothing.
        ttl_s: Lifetime of an announcement, in seconds.
    """
    upstream = UpstreamStandIn(settings)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(upstream.serve)
            print(f"ready {address}", flush=True)
            announcing = trio.CancelScope()
            if admin:
                nursery.start_soon(_run_in_scope, announcing, upstream, admin, ttl_s)
            async for _ in signals:
                break
            announcing.cancel()
            if admin:
                await _drain(upstream, admin, ttl_s)
            nursery.cancel_scope.cancel()


async def _run_in_scope(
    scope: trio.CancelScope, upstream: UpstreamStandIn, admin: str, ttl_s: float
) -> None:
    with scope:
        await announce_forever(upstream, admin, ttl_s)


async def _drain(upstream: UpstreamStandIn, admin: str, ttl_s: float) -> None:
    """Announces the end, and stops once no new work can be on its way."""
    try:
        await announce(upstream, admin, "draining", ttl_s)
    except HttpError as error:
        logger.warning("announcing the end failed: {}", error)
    idle_since = trio.current_time()
    while trio.current_time() - idle_since < _DRAIN_QUIET_S:
        if upstream.counts.running:
            idle_since = trio.current_time()
        await trio.sleep(_DRAIN_POLL_S)


_FLAGS = flags.FLAGS


def _define_flags() -> None:
    flags.DEFINE_string("address", "127.0.0.1:0", "host:port to listen at")
    flags.DEFINE_string("admin", "", "host:port of the daemon's admin listener")
    flags.DEFINE_string("service", "echo", "service that the upstream announces")
    flags.DEFINE_string("instance", "", "name of the instance; by default service and process id")
    flags.DEFINE_integer("slots", 10, "requests that run at the same time")
    flags.DEFINE_integer("connections", 110, "connections accepted")
    flags.DEFINE_float("ttl_s", 3.0, "lifetime of an announcement, in seconds")
    flags.DEFINE_float("delay_ms", 0.0, "time that a request takes")
    flags.DEFINE_float("fail_rate", 0.0, "share of requests answered with status 500")
    flags.DEFINE_float("truncate_rate", 0.0, "share of answers that are cut off")
    flags.DEFINE_float("drop_rate", 0.0, "share of requests whose connection breaks")
    flags.DEFINE_bool("truncate", False, "cut off every answer")
    flags.DEFINE_string("crash_on", "", "text in a request target that ends the process")
    flags.DEFINE_integer("seed", 1, "seed of the random behaviour")


def _main(_: list[str]) -> None:
    values = _FLAGS
    settings = StandInSettings(
        service=values.service,
        instance=values.instance or f"{values.service}-{os.getpid()}",
        address=values.address,
        slots=values.slots,
        connections=values.connections,
        delay_ms=values.delay_ms,
        fail_rate=values.fail_rate,
        truncate_rate=1.0 if values.truncate else values.truncate_rate,
        drop_rate=values.drop_rate,
        crash_on=values.crash_on,
        seed=values.seed,
    )
    trio.run(run_process, settings, values.admin, values.ttl_s)


def run() -> None:
    """Runs a stand-in with the flags of the command line."""
    _define_flags()
    app.run(_main)


if __name__ == "__main__":
    run()
