"""Client side of an HTTP connection to an upstream or a daemon."""

from __future__ import annotations

import math
from contextlib import suppress
from typing import TYPE_CHECKING

import h11
import trio

from fulmarstile_http.byte_stream import ByteStream, open_stream
from fulmarstile_http.headers import checked_headers
from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    from fulmarstile_http.headers import Header


class ExchangeError(FulmarstileError):
    """An exchange broke off; its connection must be closed."""


class ClientConnection:
    """Connection that carries one exchange after the other.

    Args:
        stream: Connected stream, owned by the connection from now on.
        head_limit: Largest response head, in bytes.
    """

    def __init__(self, stream: ByteStream, head_limit: int) -> None:
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=head_limit)
        self._head_limit = head_limit
        self._head_end = 0
        self.last_answer_at = trio.current_time()
        """Time of the last complete answer, or of the opening, in seconds."""
        self.exchanges = 0
        """Exchanges completed."""
        self.idle_limit_s = math.inf
        """Idle time that the other side allows, in seconds."""

    @property
    def is_quiet(self) -> bool:
        """Whether the connection is open and nothing unexpected has arrived."""
        return not self._stream.is_closed and self._stream.is_quiet

    @property
    def is_reusable(self) -> bool:
        """Whether the exchange ended whole on both sides and another one may follow."""
        http = self._http
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        return not http.trailing_data[0]

    @property
    def head_may_have_arrived(self) -> bool:
        """Whether the kernel took the whole request head of this exchange."""
        return self._head_end > 0 and self._stream.sent_bytes >= self._head_end

    async def send_request(self, request: h11.Request, body: bytes, complete: bool) -> None:
        """Sends a request head with the first part of its body.

        Args:
            request: Head of the request.
            body: Body, or its first part.
            complete: Whether the body ends there.

        Raises:
            ExchangeError: If the connection broke.
        """
        data = self._http.send(request)
        self._head_end = self._stream.sent_bytes + len(data)
        if body:
            data += self._http.send(h11.Data(data=body))
        if complete:
            data += self._http.send(h11.EndOfMessage())
        await self._send(data)

    async def send_body(self, data: bytes | None) -> None:
        """Sends a further part of the body.

        Args:
            data: The part; None ends the body.

        Raises:
            ExchangeError: If the connection broke.
        """
        event = h11.EndOfMessage() if data is None else h11.Data(data=data)
        await self._send(self._http.send(event) or b"")

    async def receive_continue(self) -> h11.Response | None:
        """Waits until the other side wants the request body.

        Returns:
            None for `100 Continue`, or the final response sent in its place.

        Raises:
            ExchangeError: If the connection broke or the response is malformed.
        """
        event = await self._next_event()
        if type(event) is h11.InformationalResponse:
            return None
        if type(event) is h11.Response:
            return event
        raise ExchangeError("no response")

    async def receive_response(self) -> h11.Response:
        """Receives the response head, skipping informational ones.

        Returns:
            The head.

        Raises:
            ExchangeError: If the connection broke or the response is malformed.
        """
        while True:
            event = await self._next_event()
            if type(event) is h11.Response:
                return event
            if type(event) is not h11.InformationalResponse:
                raise ExchangeError("no response")

    async def receive_body(self) -> bytes | None:
        """Receives a part of the response body.

        Returns:
            The part, or None once the body is complete.

        Raises:
            ExchangeError: If the body is truncated or malformed.
        """
        event = await self._next_event()
        if type(event) is h11.Data:
            return bytes(event.data)
        if type(event) is h11.EndOfMessage:
            return None
        raise ExchangeError("the response was cut off")

    def expect_another_response(self, request: h11.Request, body: bytes) -> None:
        """Takes the response that was just read as one to an earlier request.

        The request stays sent; the next response read is the one that follows on the connection.

        Args:
            request: Head of the request that still waits for its response.
            body: Its whole body.
        """
        received = self._http.trailing_data[0]
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=self._head_limit)
        http.send(request)
        if body:
            http.send(h11.Data(data=body))
        http.send(h11.EndOfMessage())
        if received:
            http.receive_data(received)
        self._http = http

    async def wait_end(self) -> None:
        """Waits until the other side closes or breaks a connection without an exchange."""
        with suppress(OSError):
            while await self._stream.receive():
                pass

    def read_body_received(self) -> tuple[bytes, bool]:
        """Takes the part of the response body that has arrived already.

        Returns:
            The part, and whether the body is complete.

        Raises:
            ExchangeError: If the body is truncated or malformed.
        """
        parts = []
        while True:
            event = self._parse()
            if type(event) is h11.Data:
                parts.append(event.data)
            elif type(event) is h11.EndOfMessage:
                return b"".join(parts), True
            else:
                return b"".join(parts), False

    def start_next_exchange(self, now: float) -> None:
        """Prepares a reusable connection for its next request.

        Args:
            now: Current time in seconds.
        """
        self._http.start_next_cycle()
        self._head_end = 0
        self.last_answer_at = now
        self.exchanges += 1

    def close(self) -> None:
        """Closes the connection; an unfinished exchange is thereby cancelled."""
        if self.is_reusable or self._head_end == 0:
            self._stream.close()
        else:
            self._stream.abort()

    async def _send(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except OSError as error:
            raise ExchangeError(f"sending failed: {error}") from error

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive()
            except OSError as error:
                raise ExchangeError(f"receiving failed: {error}") from error
            try:
                self._http.receive_data(data)
            except h11.RemoteProtocolError as error:
                raise ExchangeError(f"malformed response: {error}") from error

    def _parse(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise ExchangeError(f"malformed or truncated response: {error}") from error


async def open_connection(address: str, head_limit: int) -> ClientConnection:
    """Opens a connection to an upstream or a daemon.

    Args:
        address: `host:port` with an IP number.
        head_limit: Largest response head, in bytes.

    Returns:
        The connection.

    Raises:
        ExchangeError: If the connection cannot be opened.
    """
    try:
        stream = await open_stream(address)
    except OSError as error:
        raise ExchangeError(f"cannot connect to {address}: {error}") from error
    return ClientConnection(stream, head_limit)


def request_head(request: h11.Request, headers: list[Header]) -> h11.Request:
    """Makes the head of the request that is passed on.

    Args:
        request: Request of the caller.
        headers: Headers to send.

    Returns:
        The head.
    """
    return h11.Request(
        method=request.method, target=request.target, headers=checked_headers(headers)
    )
