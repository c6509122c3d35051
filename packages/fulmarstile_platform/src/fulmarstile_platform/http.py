"""Small HTTP/1.1 client with pooled connections, for JSON services on one address."""

from __future__ import annotations

import math
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import h11
import trio

from fulmarstile_http.byte_stream import set_socket_options
from fulmarstile_wire.errors import VerdictError
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

RECEIVE_BYTES: Final = 65_536
"""Maximum number of bytes per read from a connection."""

MAX_RESPONSE_BYTES: Final = 32 << 20
"""Largest response body accepted by default, in bytes."""

_MIN_SILENCE_S: Final = 0.5
"""Time without a byte from which a cancelled request counts as one that timed out, in seconds."""


class HttpError(VerdictError):
    """A request got no complete response; `verdict` says whether the server may have handled it."""


class HttpTimeoutError(HttpError):
    """A request timed out before its response was complete."""


@dataclass(frozen=True, slots=True)
class HttpClientSettings:
    """Limits of an `HttpClient`."""

    max_connections: int = 8
    """Maximum number of open connections; further requests wait for one."""
    connect_timeout_s: float = 2.0
    max_idle_s: float = 20.0
    """Idle time after which a connection is replaced instead of being used again."""
    max_response_bytes: int = MAX_RESPONSE_BYTES
    """Largest response body accepted, in bytes."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)
    """Headers by lower-case name; the last value of repeated ones."""
    body_s: float = 0.0
    """Time from the head of the response to the end of its body, in seconds."""


@dataclass(frozen=True, slots=True)
class _Request:
    """A request to be sent."""

    method: str
    path: str
    body: bytes
    headers: Mapping[str, str]


class HttpClient:
    """Sends requests to one address over a bounded pool of keep-alive connections.

    Args:
        address: `host:port` of the server.
        settings: Limits of the client.
    """

    def __init__(self, address: str, settings: HttpClientSettings | None = None) -> None:
        self._address = address
        self._settings = settings or HttpClientSettings()
        self._limiter = trio.CapacityLimiter(self._settings.max_connections)
        self._idle: list[_Connection] = []
        self._waiting: set[_Progress] = set()

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = 5.0,
        headers: Mapping[str, str] | None = None,
        body_timeout_s: float = 0.0,
        silence_timeout_s: float = math.inf,
    ) -> HttpResponse:
        """Sends one request and waits for its complete response; never sends it twice.

        A request that times out without having received anything shows that connections may have
        gone silent. Then those that have waited in silence for longer time out, too. Idle
        connections are closed also if the caller cancels the request after a time in silence.

        Args:
            method: HTTP method.
            path: Path and query.
            body: JSON body.
            timeout_s: Longest time for the whole exchange, in seconds.
            headers: Headers in addition to those that the client sets itself.
            body_timeout_s: Longest time from the head of the response to the end of its body, in
                seconds; applies if it ends later than `timeout_s`.
            silence_timeout_s: Longest time for which no more of the body arrives, in seconds; it
                doesn't shorten `timeout_s`.

        Returns:
            The response, whatever its status.

        Raises:
            HttpError: If no complete response arrived; its verdict is NOT_RUN only if no byte of
                the request was sent.
        """
        progress = _Progress(path, timeout_s, body_timeout_s, silence_timeout_s)
        started_at = trio.current_time()
        try:
            with trio.fail_after(timeout_s) as progress.scope:
                async with self._limiter:
                    request = _Request(method, path, body, headers or {})
                    self._waiting.add(progress)
                    return await self._exchange(request, progress)
        except trio.TooSlowError as error:
            # The network path may have lost the state of all connections, so none is reused.
            await self.aclose()
            if progress.is_sent:
                self.expire_silent(progress.silent_since)
            raise HttpTimeoutError(
                f"{self._address} did not answer within "
                f"{trio.current_time() - started_at:.1f} s",
                progress.verdict,
            ) from error
        except trio.Cancelled:
            if trio.current_time() - progress.silent_since >= _MIN_SILENCE_S:
                with trio.CancelScope(shield=True):
                    await self.aclose()
            raise
        finally:
            self._waiting.discard(progress)

    async def aclose(self) -> None:
        """Closes the idle connections; the client can still be used."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.aclose()

    def move(self, address: str) -> None:
        """Sends later requests to another address, and lets those that wait time out.

        Args:
            address: `host:port` of the server; nothing happens if it is the one in use.
        """
        if address == self._address:
            return
        self._address = address
        for progress in self._waiting:
            progress.expire()

    def expire_silent(self, since: float, path_start: str = "") -> None:
        """Lets the requests time out for which nothing was sent or received since before a time.

        Args:
            since: The time, in seconds.
            path_start: What the path of such a request begins with.
        """
        for progress in self._waiting:
            if progress.silent_since < since and progress.path.startswith(path_start):
                progress.expire()

    async def _exchange(self, request: _Request, progress: _Progress) -> HttpResponse:
        connection = await self._acquire()
        reusable = False
        try:
            response = await connection.exchange(request, progress)
            reusable = connection.is_reusable
            return response
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise HttpError(f"{self._address}: {error}", progress.verdict) from error
        except h11.ProtocolError as error:
            message = f"{self._address} sent a malformed response: {error}"
            raise HttpError(message, progress.verdict) from error
        finally:
            if reusable and connection.host == self._address:
                connection.idle_since = trio.current_time()
                self._idle.append(connection)
            else:
                await connection.aclose()

    async def _acquire(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if self._is_usable(connection):
                return connection
            await connection.aclose()
        return await self._connect()

    def _is_usable(self, connection: _Connection) -> bool:
        return connection.host == self._address and connection.is_usable(self._settings.max_idle_s)

    async def _connect(self) -> _Connection:
        host, _, port = self._address.rpartition(":")
        try:
            with trio.fail_after(self._settings.connect_timeout_s):
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, ValueError) as error:
            message = f"cannot connect to {self._address}: {error}"
            raise HttpError(message, Verdict.NOT_RUN) from error
        except trio.TooSlowError as error:
            message = f"connecting to {self._address} timed out"
            raise HttpTimeoutError(message, Verdict.NOT_RUN) from error
        set_socket_options(stream.socket)
        return _Connection(stream, self._address, self._settings.max_response_bytes)


@asynccontextmanager
async def open_http_client(
    address: str, settings: HttpClientSettings | None = None
) -> AsyncIterator[HttpClient]:
    """Opens a client and closes its connections at the end.

    Args:
        address: `host:port` of the server.
        settings: Limits of the client.

    Yields:
        The client.
    """
    client = HttpClient(address, settings)
    try:
        yield client
    finally:
        with trio.CancelScope(shield=True):
            await client.aclose()


class _Progress:
    """Progress of an exchange."""

    def __init__(
        self, path: str, timeout_s: float, body_timeout_s: float, silence_timeout_s: float
    ) -> None:
        self.path = path
        """Path and query of the request."""
        self._ends_at = trio.current_time() + timeout_s
        self._body_timeout_s = body_timeout_s
        self._body_ends_at = -math.inf
        self._silence_timeout_s = silence_timeout_s
        self.is_sent = False
        """Whether any byte of the request may have reached the server."""
        self.silent_since = math.inf
        """Time of the last byte in either direction, in seconds; infinite before the first."""
        self.scope = trio.CancelScope()
        """Scope whose deadline ends the exchange."""

    def on_send(self) -> None:
        """Notes that the request is being sent."""
        self.is_sent = True
        self.silent_since = trio.current_time()

    def on_receive(self) -> None:
        """Notes that a part of the response has arrived, and extends the deadline for the rest."""
        self.silent_since = trio.current_time()
        silence_ends_at = self.silent_since + self._silence_timeout_s
        self.scope.deadline = max(self._ends_at, min(self._body_ends_at, silence_ends_at))

    def on_head(self) -> None:
        """Extends the deadline for the body, once the head of the response has arrived."""
        self._body_ends_at = trio.current_time() + self._body_timeout_s
        self.on_receive()

    def expire(self) -> None:
        """Ends the exchange, as its time-out does."""
        self.scope.deadline = -math.inf

    @property
    def verdict(self) -> Verdict:
        """Verdict if the request fails now."""
        return Verdict.MAY_HAVE_RUN if self.is_sent else Verdict.NOT_RUN


class _Connection:
    """One connection, used for one exchange at a time."""

    def __init__(self, stream: trio.SocketStream, host: str, max_response_bytes: int) -> None:
        self._stream = stream
        self.host = host
        """`host:port` of the server."""
        self._max_response_bytes = max_response_bytes
        self._http = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0

    @property
    def is_reusable(self) -> bool:
        """Whether the last exchange ended cleanly on both sides; prepares the next one."""
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        if self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        return True

    def is_usable(self, max_idle_s: float) -> bool:
        """Returns whether an idle connection seems to be alive.

        Args:
            max_idle_s: Idle time after which it is not reused, in seconds.

        Returns:
            False if it was idle too long, or the server closed it or sent unexpected data.
        """
        if trio.current_time() - self.idle_since > max_idle_s:
            return False
        return not self._stream.socket.is_readable()

    async def exchange(self, request: _Request, progress: _Progress) -> HttpResponse:
        """Sends a request and reads its response.

        Args:
            request: The request.
            progress: Progress of the exchange, updated as it proceeds.

        Returns:
            The complete response.
        """
        data = self._encode(request)
        progress.on_send()
        await self._stream.send_all(data)
        return await self._read_response(progress)

    async def aclose(self) -> None:
        """Closes the connection at once."""
        await trio.aclose_forcefully(self._stream)

    def _encode(self, request: _Request) -> bytes:
        headers = [
            ("Host", self.host),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(request.body))),
            *request.headers.items(),
        ]
        head = h11.Request(method=request.method, target=request.path, headers=headers)
        data = self._http.send(head)
        if request.body:
            data += self._http.send(h11.Data(data=request.body))
        return data + self._http.send(h11.EndOfMessage())

    async def _read_response(self, progress: _Progress) -> HttpResponse:
        status = 0
        headers: dict[str, str] = {}
        body = bytearray()
        head_at = 0.0
        while True:
            event = await self._next_event(progress)
            if isinstance(event, h11.Response):
                progress.on_head()
                head_at = trio.current_time()
                status = event.status_code
                headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._max_response_bytes:
                    raise h11.RemoteProtocolError("response body is too large")
            elif isinstance(event, h11.EndOfMessage):
                body_s = trio.current_time() - head_at
                return HttpResponse(status, bytes(body), headers, body_s)
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("connection closed before the response")

    async def _next_event(self, progress: _Progress) -> h11.Event:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await self._stream.receive_some(RECEIVE_BYTES)
                progress.on_receive()
                self._http.receive_data(data)
            elif event is h11.PAUSED:
                raise h11.RemoteProtocolError("response to a request that was not sent")
            else:
                return event
