"""Upstream of a service for tests: counts what it runs and misbehaves on demand.

The behaviour of a request is asked for by its query: `delay_ms`, `status`, `size`, `fault`.
"""

from __future__ import annotations

import math
import socket
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final
from urllib.parse import parse_qsl

import h11
import trio

if TYPE_CHECKING:
    from fulmarstile_daemon.services.ports import CallHeaderNames

FAULT_CUT: Final = "cut"
"""The answer breaks off in its body."""
FAULT_RESET: Final = "reset"
"""The request runs and its connection is reset without an answer."""
FAULT_EXTRA: Final = "extra"
"""A second answer follows at once."""
FAULT_EXTRA_LATE: Final = "extra-late"
"""A second answer follows when the next request has arrived."""
FAULT_UNFRAMED: Final = "unframed"
"""The answer has no length and ends with its connection."""
FAULT_UNPROVEN: Final = "unproven"
"""The answer has no proof that it is an upstream's."""
FAULT_UNNAMED: Final = "unnamed"
"""The answer has neither a proof nor the id of its request, and no body."""
FAULT_SHED: Final = "shed"
"""The request is rejected as not run."""
FAULT_SHED_AGAIN: Final = "shed-again"
"""The request is rejected as not run, and the rejection follows again before the next answer."""
FAULT_SHED_AGAIN_UNNAMED: Final = "shed-again-unnamed"
"""The same, but the second rejection doesn't say to which request it belongs."""
FAULT_CUT_HEAD: Final = "cut-head"
"""The answer and its connection end in its head, at the byte that the query names as `at`."""
FAULT_EARLY: Final = "early"
"""A rejection is sent before the body is read."""
FAULT_CRASH: Final = "crash"
"""The upstream crashes."""

_READ_BYTES: Final = 64 * 1024


@dataclass(slots=True)
class ServedRequest:
    """A request that the upstream saw."""

    request_id: str
    target: str
    headers: dict[bytes, bytes]
    body_bytes: int = 0
    arrived_at: float = 0.0
    """Time at which its head arrived, in seconds."""
    ran: bool = False
    was_left: bool = False
    """Whether its connection ended before its answer."""
    worked_until: float = math.inf
    """Time at which the work on it ended, in seconds."""


@dataclass(slots=True)
class UpstreamRecord:
    """What an upstream saw."""

    requests: list[ServedRequest] = field(default_factory=list)
    running: int = 0
    max_running: int = 0
    connections: int = 0

    def count_runs(self, request_id: str) -> int:
        """Returns how often a request ran."""
        return sum(each.ran and each.request_id == request_id for each in self.requests)


class ServiceUpstream:
    """Serves one upstream on loopback.

    Args:
        names: Names of headers.
        upstream_id: Id that requests may demand.
        address: `host:port` of a listener that passes connections to `serve_connection`; by
            default it listens itself, at a free port.
    """

    def __init__(self, names: CallHeaderNames, upstream_id: str, address: str = "") -> None:
        self._names = names
        self.upstream_id = upstream_id
        """Id of the upstream."""
        self.record = UpstreamRecord()
        """What it saw."""
        self.silent_for: set[str] = set()
        """Ids of requests that never get an answer."""
        self.rate_limit: float | None = None
        """Requests per second that its answers name as its limit; None for no limit."""
        self.load = b""
        """Load that its responses report; empty for none."""
        self.slowdown = 1.0
        """Factor by which its VM slows requests down."""
        self.is_leaving = False
        """Whether its answers say that it leaves."""
        self.failing_ratio = 0.0
        """Fraction of the requests that fail with status 500, spread evenly."""
        self._failure_debt = 0.0
        self.slow_by_s = 0.0
        """Time that each request takes longer, in seconds."""
        self._scope = trio.CancelScope()
        self._socket = None if address else socket.create_server(("127.0.0.1", 0))
        self.address = address or f"127.0.0.1:{self._socket.getsockname()[1]}"
        """`host:port` that it listens at."""

    async def serve(self) -> None:
        """Serves until it crashes or is cancelled."""
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(self._socket))
        with self._scope:
            await trio.serve_listeners(self.serve_connection, [listener])

    def crash(self) -> None:
        """Ends at once; all connections break and no new one is accepted."""
        self._scope.cancel()
        self._socket.close()

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serves one connection."""
        self.record.connections += 1
        late = b""
        http = h11.Connection(h11.SERVER)
        try:
            while True:
                request = await self._next(http, stream)
                if type(request) is not h11.Request:
                    break
                if late:
                    await stream.send_all(late)
                late = await self._serve_request(http, stream, request)
                if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                    break
                http.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _serve_request(
        self, http: h11.Connection, stream: trio.SocketStream, head: h11.Request
    ) -> bytes:
        """Serves one request; returns the bytes that disturb the next one."""
        headers = dict(head.headers)
        query = dict(parse_qsl(head.target.decode().partition("?")[2]))
        fault = query.get("fault", "")
        served = ServedRequest(
            headers.get(self._names.request_id, b"").decode(),
            head.target.decode(),
            headers,
            arrived_at=trio.current_time(),
        )
        self.record.requests.append(served)
        if fault == FAULT_EARLY:
            await self._answer(http, stream, served, 429, b"early", not_run=True)
        while type(event := await self._next(http, stream)) is h11.Data:
            served.body_bytes += len(event.data)
        if fault == FAULT_EARLY:
            return b""
        expected = headers.get(self._names.expected_upstream, b"").decode()
        if expected and expected != self.upstream_id:
            await self._answer(http, stream, served, 421, b"")
            return b""
        if fault in (FAULT_SHED, FAULT_SHED_AGAIN, FAULT_SHED_AGAIN_UNNAMED):
            await self._answer(http, stream, served, 503, b"", not_run=True)
            return self._make_late_rejection(served, fault)
        return await self._run(http, stream, served, query)

    async def _run(
        self,
        http: h11.Connection,
        stream: trio.SocketStream,
        served: ServedRequest,
        query: dict[str, str],
    ) -> bytes:
        fault = query.get("fault", "")
        served.ran = True
        record = self.record
        record.running += 1
        record.max_running = max(record.max_running, record.running)
        try:
            work_s = float(query.get("delay_ms", 1)) / 1000 * self.slowdown
            work_s += self.slow_by_s
            if served.request_id in self.silent_for:
                work_s = math.inf
            await self._work(stream, served, work_s)
        finally:
            record.running -= 1
            served.worked_until = trio.current_time()
        if fault == FAULT_CRASH:
            self.crash()
            await trio.sleep_forever()
        if fault == FAULT_RESET:
            _reset(stream)
        status = int(query.get("status", 200))
        if self._fails_next():
            status = 500
        body = b"x" * int(query.get("size", 2))
        whole = self._make_answer(served, status, body)
        if fault == FAULT_CUT:
            await stream.send_all(whole[:-1])
            _reset(stream)
        if fault == FAULT_CUT_HEAD:
            await stream.send_all(whole[: int(query["at"])])
            raise trio.BrokenResourceError("the answer ends in its head")
        if fault == FAULT_UNFRAMED:
            await stream.send_all(whole.replace(b"content-length", b"x-length"))
            return b""
        if fault == FAULT_UNNAMED:
            await stream.send_all(b"HTTP/1.1 %d X\r\ncontent-length: 0\r\n\r\n" % status)
            return b""
        proven = fault != FAULT_UNPROVEN
        await self._answer(http, stream, served, status, body, proven=proven)
        if fault == FAULT_EXTRA:
            await stream.send_all(whole)
        return whole if fault == FAULT_EXTRA_LATE else b""

    def _fails_next(self) -> bool:
        """Returns whether the request fails; the failures are spread evenly."""
        self._failure_debt += self.failing_ratio
        if self._failure_debt < 1.0:
            return False
        self._failure_debt -= 1.0
        return True

    async def _work(self, stream: trio.SocketStream, served: ServedRequest, work_s: float) -> None:
        """Works on a request and drops it when its connection ends."""
        with trio.move_on_after(work_s):
            await trio.lowlevel.wait_readable(stream.socket)
            served.was_left = True
            raise trio.BrokenResourceError("the connection ended")

    async def _answer(
        self,
        http: h11.Connection,
        stream: trio.SocketStream,
        served: ServedRequest,
        status: int,
        body: bytes,
        *,
        not_run: bool = False,
        proven: bool = True,
    ) -> None:
        headers = self._make_headers(served, body, not_run, proven)
        data = http.send(h11.Response(status_code=status, headers=headers))
        data += http.send(h11.Data(data=body)) + http.send(h11.EndOfMessage())
        await stream.send_all(data)

    def _make_answer(
        self, served: ServedRequest, status: int, body: bytes, *, not_run: bool = False
    ) -> bytes:
        lines = [b"HTTP/1.1 %d X" % status]
        headers = self._make_headers(served, body, not_run, True)
        lines += [name + b": " + value for name, value in headers]
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    def _make_late_rejection(self, served: ServedRequest, fault: str) -> bytes:
        """Returns the rejection that disturbs the next request, if any does."""
        if fault == FAULT_SHED:
            return b""
        rejection = self._make_answer(served, 503, b"", not_run=True)
        if fault == FAULT_SHED_AGAIN_UNNAMED:
            rejection = rejection.replace(self._names.request_id, b"x-other-id")
        return rejection

    def _make_headers(
        self, served: ServedRequest, body: bytes, not_run: bool, proven: bool
    ) -> list[tuple[bytes, bytes]]:
        headers = [
            (self._names.request_id, served.request_id.encode()),
            (b"content-length", b"%d" % len(body)),
        ]
        if self.rate_limit is not None:
            headers.append((self._names.rate_limit, f"{self.rate_limit:g}".encode()))
        if self.is_leaving:
            headers.append((self._names.leaving, b"1"))
        if self.load:
            headers.append((self._names.load, self.load))
        if not_run:
            headers.append((self._names.not_run, b"1"))
        elif proven:
            headers.append((self._names.response_signature, b"seal-" + self.upstream_id.encode()))
        return headers

    async def _next(self, http: h11.Connection, stream: trio.SocketStream) -> object:
        while (event := http.next_event()) is h11.NEED_DATA:
            http.receive_data(await stream.receive_some(_READ_BYTES))
        return event


def _reset(stream: trio.SocketStream) -> None:
    """Resets the connection and ends the request."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    stream.socket.close()
    raise trio.BrokenResourceError("the connection was reset")
