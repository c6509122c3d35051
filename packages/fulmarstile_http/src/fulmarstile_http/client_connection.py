"""Client side of an HTTP connection to an upstream or a daemon."""

from __future__ import annotations

import errno
import math
from contextlib import suppress
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_http.byte_stream import OUT_OF_DESCRIPTORS, ByteStream, open_stream
from fulmarstile_http.messages import ResponseHead, encode_chunk, encode_request
from fulmarstile_http.response_parser import MalformedResponseError, ResponseEnd, ResponseParser
from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    from fulmarstile_http.messages import RequestHead
    from fulmarstile_http.response_parser import ResponseEvent

_MAX_JOINED_BYTES: Final = 32 * 1024
"""Largest body that is copied behind its head, to be sent together, in bytes."""


class ExchangeError(FulmarstileError):
    """An exchange failed; its connection must be closed."""


class LocalLimitError(ExchangeError):
    """A connection was not opened because of a limit of this process.

    It says nothing about the other side.
    """


class ClientConnection:
    """Connection that carries exchanges one after another.

    Args:
        stream: Connected stream, owned by the connection from now on.
        head_limit: Largest response head, in bytes.
    """

    def __init__(self, stream: ByteStream, head_limit: int) -> None:
        self._stream = stream
        self._responses = ResponseParser(head_limit)
        self._head_end = 0
        self._is_chunked = False
        self._is_sent = False
        self._is_answered = False
        self.last_answer_at = trio.current_time()
        """Time of the last complete response, or of the opening if there is none, in seconds."""
        self.exchanges = 0
        """Number of completed exchanges."""
        self.idle_limit_s = math.inf
        """Longest idle time that the other side allows, in seconds."""

    @property
    def is_open_without_input(self) -> bool:
        """Whether the connection is open and nothing unexpected has arrived."""
        return not self._stream.is_closed and self._stream.is_open_without_input

    @property
    def is_reusable(self) -> bool:
        """Whether both sides have completed the exchange and another one may follow."""
        responses = self._responses
        is_complete = self._is_sent and self._is_answered
        return is_complete and responses.keeps_alive and responses.is_between_responses

    @property
    def head_may_have_arrived(self) -> bool:
        """Whether the kernel has accepted the whole request head of this exchange."""
        return self._head_end > 0 and self._stream.sent_bytes >= self._head_end

    async def send_request(self, request: RequestHead, body: bytes, complete: bool) -> None:
        """Sends a request head with the first part of its body.

        Args:
            request: Head of the request; its headers determine how the body is framed.
            body: Body, or its first part.
            complete: Whether `body` is the whole body.

        Raises:
            ExchangeError: If the connection broke.
        """
        data = encode_request(request)
        self._head_end = self._stream.sent_bytes + len(data)
        self._is_chunked = (b"transfer-encoding", b"chunked") in request.headers
        self._responses.has_body = request.method != b"HEAD"
        if len(body) > _MAX_JOINED_BYTES:
            await self._send(data)
            data = b""
            await self._send(self._encode_part(body))
        elif body:
            data += self._encode_part(body)
        if complete:
            data += self._encode_end()
        await self._send(data)

    async def send_body(self, data: bytes | None) -> None:
        """Sends a further part of the body.

        Args:
            data: The part; None ends the body.

        Raises:
            ExchangeError: If the connection broke.
        """
        await self._send(self._encode_end() if data is None else self._encode_part(data))

    async def receive_continue(self) -> ResponseHead | None:
        """Waits for the answer to `Expect: 100-continue`.

        Returns:
            None if the body is wanted (`100 Continue`), or the final response sent instead.

        Raises:
            ExchangeError: If the connection broke or the response is malformed.
        """
        event = await self._next_event()
        if isinstance(event, ResponseHead):
            return None if event.status < 200 else event
        raise ExchangeError("received no response head")

    async def receive_response(self) -> ResponseHead:
        """Receives the response head, skipping those of interim responses.

        Returns:
            The head.

        Raises:
            ExchangeError: If the connection broke or the response is malformed.
        """
        while True:
            event = await self._next_event()
            if not isinstance(event, ResponseHead):
                raise ExchangeError("received no response head")
            if event.status >= 200:
                return event

    async def receive_body(self) -> bytes | None:
        """Receives a part of the response body.

        Returns:
            The part, or None once the body is complete.

        Raises:
            ExchangeError: If the body is truncated or malformed.
        """
        event = await self._next_event()
        if isinstance(event, bytes):
            return event
        if isinstance(event, ResponseEnd):
            self._is_answered = True
            return None
        raise ExchangeError("the response was cut off")

    def expect_another_response(self) -> None:
        """Treats the response that was just read as one to an earlier request.

        The current request is not sent again; its response is the next one on the connection.
        """
        self._is_answered = False

    def allow_late_reader(self, now: float) -> None:
        """See `ByteStream.allow_late_reader`; the caller of `send_body` bounds what waits."""
        self._stream.allow_late_reader(now, may_stall=True)

    async def wait_closed(self) -> None:
        """Waits until the other side closes or breaks the connection, which must be idle."""
        with suppress(OSError):
            while await self._stream.receive():
                pass

    def read_received_body(self) -> tuple[bytes, bool]:
        """Returns the part of the response body that has arrived, without waiting for more.

        Returns:
            The part, and whether the body is complete.

        Raises:
            ExchangeError: If the body is truncated or malformed.
        """
        parts = []
        while True:
            event = self._parse()
            if isinstance(event, bytes):
                parts.append(event)
                continue
            if isinstance(event, ResponseEnd):
                self._is_answered = True
            return b"".join(parts), self._is_answered

    def start_next_exchange(self, now: float) -> None:
        """Prepares a reusable connection for its next request.

        Args:
            now: Current time in seconds.
        """
        self._is_sent = self._is_answered = False
        self._head_end = 0
        self.last_answer_at = now
        self.exchanges += 1

    def close(self) -> None:
        """Closes the connection, which cancels an unfinished exchange."""
        if self.is_reusable or self._head_end == 0:
            self._stream.close()
        else:
            self._stream.abort()
        self._responses.release()

    def abort(self) -> None:
        """Breaks the connection at once, so that an exchange waiting on it fails."""
        self._stream.abort()
        self._responses.release()

    async def _send(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except OSError as error:
            raise ExchangeError(f"sending failed: {error}") from error

    def _encode_part(self, data: bytes) -> bytes:
        return encode_chunk(data) if self._is_chunked else data

    def _encode_end(self) -> bytes:
        self._is_sent = True
        return encode_chunk(b"") if self._is_chunked else b""

    async def _next_event(self) -> ResponseEvent:
        while True:
            event = self._parse()
            if event is not None:
                return event
            try:
                data = await self._stream.receive()
            except OSError as error:
                raise ExchangeError(f"receiving failed: {error}") from error
            self._responses.feed(data)

    def _parse(self) -> ResponseEvent | None:
        try:
            return self._responses.next_event()
        except MalformedResponseError as error:
            raise ExchangeError(str(error)) from error


async def open_connection(
    address: str, head_limit: int, *, peer_may_read_late: bool = False
) -> ClientConnection:
    """Opens a connection to an upstream or a daemon.

    Args:
        address: `host:port` with an IP address.
        head_limit: Largest response head, in bytes.
        peer_may_read_late: Whether the other side may leave a request unread for long.

    Returns:
        The connection.

    Raises:
        LocalLimitError: If this process cannot open another connection.
        ExchangeError: If the connection cannot be opened.
    """
    try:
        stream = await open_stream(address, peer_may_read_late=peer_may_read_late)
    except OSError as error:
        is_local = error.errno in (*OUT_OF_DESCRIPTORS, errno.EADDRNOTAVAIL)
        kind = LocalLimitError if is_local else ExchangeError
        raise kind(f"cannot connect to {address}: {error}") from error
    return ClientConnection(stream, head_limit)
