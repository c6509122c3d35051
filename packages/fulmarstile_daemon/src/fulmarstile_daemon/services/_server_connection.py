"""Server side of a connection from a caller or another daemon."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import h11
import trio

from fulmarstile_http.headers import MessageHeaders, checked_headers, read_headers
from fulmarstile_http.request_checks import MalformedRequestError, check_framing, check_lines
from fulmarstile_http.request_head import HEAD_END, receive_rest_of_head
from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._body_budget import BodyBudget
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_http.headers import Header
    from fulmarstile_services.document import RequestLimits

_HEAD_SLACK_BYTES: Final = 64 * 1024
"""Bytes of a head that are received before its size is judged."""


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
        bodies: Bound of the memory that bodies take.
    """

    def __init__(
        self, stream: ByteStream, limits: Callable[[], RequestLimits], bodies: BodyBudget
    ) -> None:
        self._bodies = bodies
        self._held = 0
        self._stream = stream
        self._limits = limits
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=_HEAD_SLACK_BYTES)
        self.idle_since = trio.current_time()
        """Time from which the next request is awaited, in seconds."""
        self.is_idle = True
        """Whether nothing of the next request has arrived."""
        self.must_close = False
        """Whether the next answer is the last one on the connection."""

    @property
    def may_continue(self) -> bool:
        """Whether another request may follow on the connection."""
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

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
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        received = self._http.trailing_data[0]
        if not received:
            received = await self._receive_and_feed()
            if not received:
                return None
        self.is_idle = False
        head_bytes = await self._receive_head(received)
        try:
            check_lines(head_bytes)
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise MalformedRequestError(str(error), error.error_status_hint) from error
        if type(event) is not h11.Request:
            raise MalformedRequestError("no request")
        headers = read_headers(event)
        check_framing(event, headers)
        arrived_at = trio.current_time()
        body = await self._receive_body(headers)
        return ReceivedRequest(event.method, event.target, headers, body, arrived_at)

    async def send(self, reply: Reply) -> None:
        """Sends a whole answer.

        Args:
            reply: The answer.

        Raises:
            CallerLeftError: If the other side left.
        """
        http = self._http
        if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            raise CallerLeftError
        headers = [each for each in reply.headers if each[0] != b"content-length"]
        if reply.status not in (204, 304):
            headers.append((b"content-length", b"%d" % len(reply.body)))
        if self.must_close or http.their_state is not h11.DONE:
            headers.append((b"connection", b"close"))
        data = http.send(h11.Response(status_code=reply.status, headers=checked_headers(headers)))
        if reply.body:
            data += http.send(h11.Data(data=reply.body))
        data += http.send(h11.EndOfMessage())
        await self._send(data)
        self.idle_since = trio.current_time()
        self.is_idle = True

    def release_body(self) -> None:
        """Gives back the memory of the last request's body."""
        self._bodies.give_back(self._held)
        self._held = 0

    async def close(self) -> None:
        """Closes the connection once the other side has closed its own or had time to.

        Closing it while input is unread would destroy an answer that is on its way.
        """
        if self._http.their_state in (h11.DONE, h11.MUST_CLOSE) and self._stream.is_quiet:
            self._stream.close()
            return
        await self._stream.close_after_peer()

    def end(self) -> None:
        """Closes the connection at once; an answer that was begun is seen to be cut off."""
        if self.is_idle:
            self._stream.close()
        else:
            self._stream.abort()

    async def _receive_head(self, received: bytes) -> bytes:
        limits = self._limits()
        if received.find(HEAD_END) < 0:
            received = await receive_rest_of_head(
                received, self._receive_and_feed, limits.head_bytes, limits.head_timeout_s
            )
        end = received.find(HEAD_END)
        if end < 0:
            raise CallerLeftError
        if end > limits.head_bytes:
            raise MalformedRequestError("the request head is too large", 431)
        return received[: end + 2]

    async def _receive_and_feed(self) -> bytes:
        data = await self._receive()
        if data:
            self._http.receive_data(data)
        return data

    async def _receive_body(self, headers: MessageHeaders) -> bytes:
        limits = self._limits()
        if (headers.content_length or 0) > limits.body_bytes:
            raise MalformedRequestError("the request body is too large", 413)
        if self._http.they_are_waiting_for_100_continue:
            await self._send(
                self._http.send(h11.InformationalResponse(status_code=100, headers=[]))
            )
        parts: list[bytes] = []
        size = 0
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise MalformedRequestError(str(error), error.error_status_hint) from error
            if type(event) is h11.EndOfMessage:
                return b"".join(parts)
            if type(event) is h11.Data:
                size += len(event.data)
                if size > limits.body_bytes:
                    raise MalformedRequestError("the request body is too large", 413)
                if not self._bodies.take(len(event.data)):
                    raise MalformedRequestError("too many large requests are held", 503)
                self._held += len(event.data)
                parts.append(bytes(event.data))
            elif event is h11.NEED_DATA:
                await self._receive_more(limits.head_timeout_s)
            else:
                raise CallerLeftError

    async def _receive_more(self, timeout_s: float) -> None:
        with trio.move_on_after(timeout_s) as scope:
            data = await self._receive_and_feed()
        if scope.cancelled_caught:
            raise MalformedRequestError("the request body arrived too slowly", 408)
        if not data:
            raise CallerLeftError

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive()
        except (OSError, trio.ClosedResourceError):
            return b""

    async def _send(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except OSError as error:
            raise CallerLeftError from error
