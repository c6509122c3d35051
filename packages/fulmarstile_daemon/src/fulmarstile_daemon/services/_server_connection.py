"""Server side of an HTTP connection from a caller."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_http.headers import MessageHeaders, read_headers
from fulmarstile_http.messages import encode_response
from fulmarstile_http.request_checks import (
    MalformedRequestError,
    check_framing,
    check_head,
    check_line_ends,
)
from fulmarstile_http.request_head import HEAD_END, receive_rest_of_head
from fulmarstile_http.request_parser import RequestParser
from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._byte_budget import ByteBudget
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_http.headers import Header
    from fulmarstile_http.messages import RequestHead
    from fulmarstile_services.document import RequestLimits

_CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
_NO_BODY_STATUSES: Final = (204, 304)


class CallerDisconnectedError(FulmarstileError):
    """The caller closed or reset the connection."""


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A complete HTTP request."""

    method: bytes
    target: bytes
    headers: MessageHeaders
    body: bytes
    arrived_at: float
    """Time at which its head was received, in seconds."""


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """A complete HTTP response to a caller."""

    status: int
    headers: list[Header] = field(default_factory=list)
    """Headers with names in lower case, without those that apply to the connection."""
    body: bytes = b""


class ServerConnection:
    """Reads requests and writes responses, one after the other.

    Args:
        stream: Accepted stream, owned by the connection from now on.
        limits: Returns the current limits.
        budget: Memory limit for messages.
    """

    def __init__(
        self, stream: ByteStream, limits: Callable[[], RequestLimits], budget: ByteBudget
    ) -> None:
        self._budget = budget
        self._body_bytes = 0
        self._stream = stream
        self._limits = limits
        self._received = b""
        self._parser = RequestParser()
        self._method = b""
        self._awaits_response = False
        self._is_sending = False
        self._is_closing = False
        self.idle_since = trio.current_time()
        """Time since which the next request is awaited, in seconds."""
        self.is_idle = True
        """Whether no part of the next request has arrived."""
        self.must_close = False
        """Whether the next response is the last one on the connection."""

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may receive another request."""
        return not self._awaits_response and not self._is_closing

    @property
    def awaits_response(self) -> bool:
        """Whether a request has arrived, at least in part, and has no response yet."""
        return self._awaits_response

    @property
    def is_busy(self) -> bool:
        """Whether a request has arrived, at least in part, and its response is not fully sent."""
        return self._awaits_response or self._is_sending

    @property
    def has_ended(self) -> bool:
        """Whether the caller has closed or reset the connection."""
        return self._stream.has_ended

    async def receive_request(self) -> ReceivedRequest | None:
        """Receives the next request.

        Returns:
            The request, or None if the connection was closed between requests.

        Raises:
            MalformedRequestError: If the request is malformed, too large or arrives too slowly.
            CallerDisconnectedError: If the caller disconnected within a request.
        """
        received, self._received = self._received, b""
        if not received:
            received = await self._receive()
            if not received:
                return None
        self.is_idle = False
        self._awaits_response = True
        self._parser = RequestParser()
        self._method = b""
        received = await self._receive_head(received)
        end = received.find(HEAD_END) + len(HEAD_END)
        check_line_ends(received[: end - 2])
        head = self._parser.parse_complete_head(received[:end])
        self._method = head.method
        headers = read_headers(head.headers)
        check_framing(head, headers)
        check_head(head)
        arrived_at = trio.current_time()
        body = await self._receive_body(head, headers, received[end:])
        return ReceivedRequest(head.method, head.target, headers, body, arrived_at)

    async def send(self, response: CallerResponse) -> None:
        """Sends a complete response.

        Args:
            response: The response.

        Raises:
            CallerDisconnectedError: If the caller disconnected.
        """
        data = self._begin_response(response)
        self._is_sending = True
        try:
            with self._budget.allocate() as allocation:
                allocation.grow(len(data))
                await self._send(data)
        finally:
            self._is_sending = False
        self._end_response()

    def refuse(self, response: CallerResponse) -> None:
        """Responds to an incomplete request at once, before any more of it can arrive.

        Args:
            response: The response, small enough to fit the send buffer.

        Raises:
            CallerDisconnectedError: If the caller disconnected or does not read.
        """
        data = self._begin_response(response)
        try:
            sent = self._stream.send_nowait(data)
        except OSError as error:
            raise CallerDisconnectedError from error
        if sent < len(data):
            raise CallerDisconnectedError
        self._end_response()

    def release_body(self) -> None:
        """Returns the memory of the last request's body to the budget."""
        self._budget.release_for_caller(self._body_bytes)
        self._body_bytes = 0

    async def close(self) -> None:
        """Closes the connection after the caller has closed it or had time to.

        Closing it with unread input would reset it, which could discard a response in transit.
        """
        if self._parser.is_complete and self._stream.is_open_without_input:
            self._stream.close()
            return
        await self._stream.close_after_peer()

    def close_now(self) -> None:
        """Closes the connection at once.

        Unless it is idle, it is reset, so that the caller recognizes a truncated response.
        """
        if self.is_idle:
            self._stream.close()
        else:
            self._stream.abort()

    @property
    def _has_known_end(self) -> bool:
        """Whether the end of the request is known, so that another one may follow."""
        parser = self._parser
        return parser.is_complete and parser.keeps_alive and not parser.has_pipelined_bytes

    def _begin_response(self, response: CallerResponse) -> bytes:
        """Encodes a response and marks the request as answered."""
        if not self._awaits_response:
            raise CallerDisconnectedError
        headers = [header for header in response.headers if header[0] != b"content-length"]
        if response.status not in _NO_BODY_STATUSES:
            headers.append((b"content-length", b"%d" % len(response.body)))
        self._is_closing = self.must_close or not self._has_known_end
        if self._is_closing:
            headers.append((b"connection", b"close"))
        data = encode_response(response.status, headers)
        if response.status not in _NO_BODY_STATUSES and self._method != b"HEAD":
            data += response.body
        self._awaits_response = False
        return data

    def _end_response(self) -> None:
        self.idle_since = trio.current_time()
        self.is_idle = True

    async def _receive_head(self, received: bytes) -> bytes:
        limits = self._limits()
        if received.find(HEAD_END) < 0:
            received = await receive_rest_of_head(
                received, self._receive, limits.head_bytes, limits.head_timeout_s
            )
        end = received.find(HEAD_END)
        if end < 0:
            raise CallerDisconnectedError
        if end > limits.head_bytes:
            raise MalformedRequestError("the request head is too large", 431)
        return received

    async def _receive_body(
        self, head: RequestHead, headers: MessageHeaders, received: bytes
    ) -> bytes:
        limits = self._limits()
        length = headers.content_length
        if (length or 0) > limits.body_bytes:
            raise MalformedRequestError("the request body is too large", 413)
        if not received and not self._parser.is_complete and _wants_continue(head):
            await self._send(_CONTINUE)
        parts: list[bytes] = []
        size = 0
        while not self._parser.is_complete:
            if not received:
                received = await self._receive_more(limits.head_timeout_s)
            if length is not None:
                # Data after the body belongs to the next request.
                received, self._received = received[: length - size], received[length - size :]
            self._parser.feed_body(received)
            received = b""
            for part in self._parser.pop_body_parts():
                size += len(part)
                if size > limits.body_bytes:
                    raise MalformedRequestError("the request body is too large", 413)
                if not self._budget.try_reserve_for_caller(len(part)):
                    raise MalformedRequestError("too many large requests are held", 503)
                self._body_bytes += len(part)
                parts.append(part)
        if received:
            self._received = received
        return b"".join(parts)

    async def _receive_more(self, timeout_s: float) -> bytes:
        with trio.move_on_after(timeout_s) as scope:
            data = await self._receive()
        if scope.cancelled_caught:
            raise MalformedRequestError("the request body arrived too slowly", 408)
        if not data:
            raise CallerDisconnectedError
        return data

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive()
        except OSError:
            return b""

    async def _send(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except OSError as error:
            raise CallerDisconnectedError from error


def _wants_continue(head: RequestHead) -> bool:
    """Checks whether the caller waits for `100 Continue` before it sends the body."""
    return any(
        name.lower() == b"expect" and value.lower() == b"100-continue"
        for name, value in head.headers
    )
