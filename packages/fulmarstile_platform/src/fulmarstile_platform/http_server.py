"""Small HTTP/1.1 server for JSON interfaces, over h11 and trio.

It serves the admin interface and the stand-ins; the proxy for calls does not use it.
"""

from __future__ import annotations

import logging
import select
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import msgspec
import trio

from fulmarstile_platform.message_memory import MessageMemory
from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarstile_platform.message_memory import HeldMessage

_LOGGER: Final = logging.getLogger(__name__)

MAX_BODY_BYTES: Final = 4 << 20
"""Largest request body accepted, in bytes."""

RECEIVE_BYTES: Final = 65_536
"""Maximum number of bytes per read from a connection."""

SEND_BYTES: Final = 65_536
"""Maximum number of bytes per write to a connection."""

REQUEST_TIMEOUT_S: Final = 30.0
"""Longest time from the head of a request to the end of its body, in seconds."""

SEND_TIMEOUT_S: Final = 30.0
"""Longest time in which a client has to read its answer, in seconds."""

IDLE_TIMEOUT_S: Final = 300.0
"""Time after which a connection without a complete request head is closed, in seconds."""

MAX_CONNECTIONS: Final = 512
"""Maximum number of connections served concurrently.

A further one takes the place of the one that has waited longest for its next request, or waits.
As many may wait; more are closed at once.
"""

MAX_HELD_BYTES: Final = 4 * MAX_BODY_BYTES
"""Maximum number of bytes of all bodies and answers that are held at the same time."""

_EVICTION_RETRY_S: Final = 0.05
"""Interval at which a connection beyond the maximum looks for an idle one, in seconds."""

JSON_TYPE: Final = "application/json"
"""Media type of JSON bodies."""


class HttpListenError(FulmarstileError):
    """An HTTP server cannot listen at its address."""


class HttpProblemError(FulmarstileError):
    """A request cannot be fulfilled.

    Args:
        status: HTTP status of the answer.
        reason: What is wrong, sent as the `error` of the answer.
    """

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request."""

    method: str
    path: str
    """Decoded path without the query."""
    query: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete answer."""

    status: int = HTTPStatus.OK
    body: bytes = b""
    content_type: str = JSON_TYPE


HttpHandler = Callable[[HttpRequest], Awaitable[HttpAnswer | None]]
"""Answers a request or raises `HttpProblemError`; None closes the connection unanswered."""


def encode_answer(value: Any, status: int = HTTPStatus.OK) -> HttpAnswer:
    """Returns an answer with `value` as its JSON body."""
    return HttpAnswer(status, msgspec.json.encode(value))


async def listen_http(address: str) -> list[trio.SocketListener]:
    """Opens the listener of an HTTP server.

    Args:
        address: `host:port`; port 0 selects a free one.

    Returns:
        The listeners, to be passed to `serve_http`.

    Raises:
        HttpListenError: If listening at the address fails.
    """
    host, _, port = address.rpartition(":")
    try:
        return await trio.open_tcp_listeners(int(port), host=host)
    except OSError as error:
        raise HttpListenError(f"cannot listen at {address}: {error.strerror}") from error


async def serve_http(
    listeners: list[trio.SocketListener],
    handler: HttpHandler,
    max_connections: int = MAX_CONNECTIONS,
    max_body_bytes: int = MAX_BODY_BYTES,
    memory: MessageMemory | None = None,
) -> None:
    """Serves requests until cancelled.

    Args:
        listeners: Listeners from `listen_http`; closed on exit.
        handler: Answers each request.
        max_connections: Maximum number of connections served concurrently.
        max_body_bytes: Largest body of a request, in bytes.
        memory: Bounds the messages that are held, perhaps together with other servers; by default
            `MAX_HELD_BYTES` for this one.
    """
    memory = memory or MessageMemory(MAX_HELD_BYTES)
    limiter = trio.CapacityLimiter(max_connections)
    connections: set[_Connection] = set()
    waiting = trio.CapacityLimiter(max_connections)

    async def wait_for_turn() -> None:
        while not limiter.available_tokens and not _close_longest_idle(connections):
            await trio.sleep(_EVICTION_RETRY_S)
        await limiter.acquire_on_behalf_of(trio.lowlevel.current_task())

    async def serve_connection(stream: trio.SocketStream) -> None:
        if not waiting.available_tokens:
            await stream.aclose()
            return
        async with waiting:
            await wait_for_turn()
        try:
            connection = _Connection(stream, handler, max_body_bytes, memory)
            connections.add(connection)
            try:
                await connection.serve()
            finally:
                connections.remove(connection)
        finally:
            limiter.release_on_behalf_of(trio.lowlevel.current_task())

    await trio.serve_listeners(serve_connection, listeners)


def _close_longest_idle(connections: set[_Connection]) -> bool:
    """Closes the connection that has been idle longest; returns whether there was one."""
    idle = [connection for connection in connections if connection.idle_since is not None]
    for connection in sorted(idle, key=lambda connection: connection.idle_since or 0.0):
        if not connection.has_unread:
            connection.close()
            return True
    return False


class _Connection:
    """Connection of a client, whose requests are served one after another."""

    def __init__(
        self,
        stream: trio.SocketStream,
        handler: HttpHandler,
        max_body_bytes: int,
        memory: MessageMemory,
    ) -> None:
        self._memory = memory
        self._max_body_bytes = max_body_bytes
        self._stream = stream
        self._handler = handler
        self._protocol = h11.Connection(h11.SERVER)
        self._scope = trio.CancelScope()
        self.idle_since: float | None = trio.current_time()
        """Time since which the head of a request is awaited, in seconds; None if none is."""

    @property
    def has_unread(self) -> bool:
        """Whether input, or the end of the connection, waits to be read."""
        if self._stream.socket.fileno() < 0:
            # Its task has closed the stream and is about to end.
            return False
        poll = select.poll()
        poll.register(self._stream.socket, select.POLLIN)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Closes the connection at once."""
        self.idle_since = None
        self._scope.cancel()

    async def serve(self) -> None:
        with self._scope:
            await self._serve()

    async def _serve(self) -> None:
        async with self._stream:
            try:
                while await self._serve_request():
                    self._protocol.start_next_cycle()
            except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
                return
            except Exception:
                # Whatever one client sends must not end the process, which also serves calls.
                _LOGGER.exception("serving a connection failed")

    async def _serve_request(self) -> bool:
        try:
            self.idle_since = trio.current_time()
            with trio.fail_after(IDLE_TIMEOUT_S):
                head = await self._next_event()
            self.idle_since = None
            if not isinstance(head, h11.Request):
                return False
            answer = await self._receive_and_handle(head)
        except h11.RemoteProtocolError as error:
            await self._send(_encode_problem(HTTPStatus.BAD_REQUEST, str(error)))
            return False
        except HttpProblemError as problem:
            await self._send(_encode_problem(problem.status, str(problem)))
            return False
        if answer is None:
            return False
        await self._send(answer)
        return self._protocol.our_state is h11.DONE and self._protocol.their_state is h11.DONE

    async def _receive_and_handle(self, head: h11.Request) -> HttpAnswer | None:
        with self._memory.hold() as held:
            with trio.fail_after(REQUEST_TIMEOUT_S):
                body = await self._read_body(held)
            try:
                request = _parse_request(head, body)
            except ValueError as error:
                reason = f"malformed target: {error}"
                raise HttpProblemError(HTTPStatus.BAD_REQUEST, reason) from error
            return await self._handle(request)

    async def _handle(self, request: HttpRequest) -> HttpAnswer | None:
        try:
            return await self._handler(request)
        except HttpProblemError as problem:
            return _encode_problem(problem.status, str(problem))
        except Exception as error:
            # A fault in one handler must not end the process, which also serves calls.
            reason = f"internal error: {type(error).__name__}"
            return _encode_problem(HTTPStatus.INTERNAL_SERVER_ERROR, reason)

    async def _read_body(self, held: HeldMessage) -> bytes:
        body = bytearray()
        with held.wait_for_client():
            while isinstance(event := await self._next_event(), h11.Data):
                if len(body) + len(event.data) > self._max_body_bytes:
                    reason = f"the body exceeds {self._max_body_bytes} bytes"
                    raise HttpProblemError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, reason)
                if not held.try_grow(len(event.data)):
                    raise _make_no_room_error()
                held.on_moved(len(event.data))
                # An object for each of many small chunks would take far more memory than the body.
                body += event.data
        if held.has_given_way:
            raise _make_no_room_error()
        return bytes(body)

    async def _next_event(self) -> Any:
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._protocol.receive_data(await self._stream.receive_some(RECEIVE_BYTES))

    async def _send(self, answer: HttpAnswer) -> None:
        if self._protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        with self._memory.hold() as held:
            if not held.try_grow(len(answer.body)):
                problem = _make_no_room_error()
                answer = _encode_problem(problem.status, str(problem))
            with trio.fail_after(SEND_TIMEOUT_S), held.wait_for_client():
                await self._send_parts(self._encode(answer), held)
            if held.has_given_way:
                raise trio.BrokenResourceError("others need the memory of the answer")

    def _encode(self, answer: HttpAnswer) -> list[bytes]:
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
        ]
        response = h11.Response(status_code=int(answer.status), headers=headers)
        events = (response, h11.Data(data=answer.body), h11.EndOfMessage())
        parts = [data for event in events if (data := self._protocol.send(event))]
        # Joining a large answer would hold it twice.
        return parts if len(answer.body) > SEND_BYTES else [b"".join(parts)]

    async def _send_parts(self, parts: list[bytes], held: HeldMessage) -> None:
        for part in map(memoryview, parts):
            for start in range(0, len(part), SEND_BYTES):
                piece = part[start : start + SEND_BYTES]
                await self._stream.send_all(piece)
                held.on_moved(len(piece))


def _parse_request(head: h11.Request, body: bytes) -> HttpRequest:
    target = urlsplit(head.target.decode("ascii", "replace"))
    return HttpRequest(
        method=head.method.decode("ascii", "replace"),
        path=unquote(target.path),
        query=dict(parse_qsl(target.query)),
        body=body,
    )


def _make_no_room_error() -> HttpProblemError:
    return HttpProblemError(HTTPStatus.SERVICE_UNAVAILABLE, "too many large messages are held")


def _encode_problem(status: HTTPStatus, reason: str) -> HttpAnswer:
    return encode_answer({"error": reason}, status)
