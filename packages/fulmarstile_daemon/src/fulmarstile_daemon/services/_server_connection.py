"""Server side of a connection from a caller or another daemon."""

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


class CallerLeftError(FulmarstileError):
    """The other side closed the connection or broke it."""


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A whole request."""

    method: bytes
    target: bytes
    headers: MessageHeaders
    body: bytes
    arrived_at: float
    """Time at which its head was complete, in seconds."""


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer."""

    status: int
    headers: list[Header] = field(default_factory=list)
    """Headers without those of the connection, with names in lower case."""
    body: bytes = b""


class ServerConnection:
    """Reads requests and writes answers, one after the other.

    Args:
        stream: Accepted stream, owned by the connection from now on.
        limits: Returns the limits in force.
        budget: Bound of the memory that messages take.
    """

    def __init__(
        self, stream: ByteStream, limits: Callable[[], RequestLimits], budget: ByteBudget
    ) -> None:
        self._budget = budget
        self._held = 0
        self._stream = stream
        self._limits = limits
        self._received = b""
        self._parser = RequestParser()
        self._method = b""
        self._awaits_answer = False
        self._is_sending = False
        self._has_closed = False
        self.idle_since = trio.current_time()
        """Time from which the next request is awaited, in seconds."""
        self.is_idle = True
        """Whether nothing of the next request has arrived."""
        self.must_close = False
        """Whether the next answer is the last one on the connection."""

    @property
    def may_continue(self) -> bool:
        """Whether another request may follow on the connection."""
        return not self._awaits_answer and not self._has_closed

    @property
    def awaits_answer(self) -> bool:
        """Whether a part of a request has arrived and no answer was sent."""
        return self._awaits_answer

    @property
    def is_busy(self) -> bool:
        """Whether a part of a request has arrived and its answer has not left whole."""
        return self._awaits_answer or self._is_sending

    @property
    def has_ended(self) -> bool:
        """Whether the other side has closed or broken the connection."""
        return self._stream.has_ended

    async def receive_request(self) -> ReceivedRequest | None:
        """Receives the next request.

        Returns:
            The request, or None if the connection was closed between requests.

        Raises:
            MalformedRequestError: If the request is malformed, oversize or late.
            CallerLeftError: If the other side left within a request.
        """
        received, self._received = self._received, b""
        if not received:
            received = await self._receive()
            if not received:
                return None
        self.is_idle = False
        self._awaits_answer = True
        self._parser = RequestParser()
        self._method = b""
        received = await self._receive_head(received)
        end = received.find(HEAD_END) + len(HEAD_END)
        check_line_ends(received[: end - 2])
        head = self._parser.feed_head(received[:end])
        self._method = head.method
        headers = read_headers(head.headers)
        check_framing(head, headers)
        check_head(head)
        arrived_at = trio.current_time()
        body = await self._receive_body(head, headers, received[end:])
        return ReceivedRequest(head.method, head.target, headers, body, arrived_at)

    async def send(self, reply: Reply) -> None:
        """Sends a whole answer.

        Args:
            reply: The answer.

        Raises:
            CallerLeftError: If the other side left.
        """
        data = self._begin_answer(reply)
        self._is_sending = True
        try:
            with self._budget.hold() as held:
                held.take_ready(len(data))
                await self._send(data)
        finally:
            self._is_sending = False
        self._end_answer()

    def refuse(self, reply: Reply) -> None:
        """Answers a request that has not arrived whole, before any more of it can arrive.

        Args:
            reply: The answer, small enough to be taken at once.

        Raises:
            CallerLeftError: If the other side left, or takes nothing.
        """
        data = self._begin_answer(reply)
        try:
            sent = self._stream.send_nowait(data)
        except OSError as error:
            raise CallerLeftError from error
        if sent < len(data):
            raise CallerLeftError
        self._end_answer()

    def release_body(self) -> None:
        """Gives back the memory of the last request's body."""
        self._budget.give_back_for_caller(self._held)
        self._held = 0

    async def close(self) -> None:
        """Closes the connection once the other side has closed its own or had time to.

        Closing it while input is unread would destroy an answer that is on its way.
        """
        if self._parser.is_complete and self._stream.is_open_without_input:
            self._stream.close()
            return
        await self._stream.close_after_peer()

    def end(self) -> None:
        """Closes the connection at once; an answer that was begun is seen to be cut off."""
        if self.is_idle:
            self._stream.close()
        else:
            self._stream.abort()

    @property
    def _is_followable(self) -> bool:
        """Whether what follows the request can be told from it."""
        parser = self._parser
        return parser.is_complete and parser.keeps_alive and not parser.has_pipelined_bytes

    def _begin_answer(self, reply: Reply) -> bytes:
        """Encodes an answer; from here on the request has one."""
        if not self._awaits_answer:
            raise CallerLeftError
        headers = [each for each in reply.headers if each[0] != b"content-length"]
        if reply.status not in _NO_BODY_STATUSES:
            headers.append((b"content-length", b"%d" % len(reply.body)))
        self._has_closed = self.must_close or not self._is_followable
        if self._has_closed:
            headers.append((b"connection", b"close"))
        data = encode_response(reply.status, headers)
        if reply.status not in _NO_BODY_STATUSES and self._method != b"HEAD":
            data += reply.body
        self._awaits_answer = False
        return data

    def _end_answer(self) -> None:
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
            raise CallerLeftError
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
                # What lies behind the body belongs to the next request.
                received, self._received = received[: length - size], received[length - size :]
            self._parser.feed_body(received)
            received = b""
            for part in self._parser.pop_body_parts():
                size += len(part)
                if size > limits.body_bytes:
                    raise MalformedRequestError("the request body is too large", 413)
                if not self._budget.take_for_caller(len(part)):
                    raise MalformedRequestError("too many large requests are held", 503)
                self._held += len(part)
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
            raise CallerLeftError
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
            raise CallerLeftError from error


def _wants_continue(head: RequestHead) -> bool:
    """Tells whether a caller waits before it sends the body."""
    return any(
        name.lower() == b"expect" and value.lower() == b"100-continue"
        for name, value in head.headers
    )
