"""Server side of an HTTP connection from a caller."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._caller_messages import (
    CallerDisconnectedError,
    CallerExchange,
    CallerResponse,
    ReceivedRequest,
)
from fulmarstile_daemon.services._read_ahead import ReadAhead
from fulmarstile_daemon.services._request_reader import RequestReader, make_no_memory_error
from fulmarstile_http.byte_stream import READ_SIZE
from fulmarstile_http.messages import encode_response
from fulmarstile_http.request_checks import MalformedRequestError
from fulmarstile_http.transfers import Transfer

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._byte_budget import Allocation, ByteBudget
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_services.document import RequestLimits

__all__ = ["CallerDisconnectedError", "CallerResponse", "ReceivedRequest", "ServerConnection"]

_NO_BODY_STATUSES: Final = (204, 304)
_MAX_JOINED_BYTES: Final = 16 * 1024
"""Largest body that is copied behind its head, to be sent together, in bytes."""
_SMALL_INPUT_BYTES: Final = 4 * 1024
"""Input behind a request up to which it is not accounted for, in bytes."""
_MIN_LINGER_BYTES: Final = 16 * 1024
"""Size of a response from which some of it may still be in transit when it is sent, in bytes."""


class ServerConnection:
    """Reads requests and writes their responses in the same order.

    Args:
        stream: Accepted stream, owned by the connection from now on.
        limits: Returns the current limits.
        budget: Memory limit for messages.
        make_error: Creates the response to a malformed request.
        find_wait_s: Returns how long the caller of a request waits for the answer, in seconds.
        costly_input: See `RequestReader`.
    """

    def __init__(
        self,
        stream: ByteStream,
        limits: Callable[[], RequestLimits],
        budget: ByteBudget,
        make_error: Callable[[MalformedRequestError], CallerResponse],
        find_wait_s: Callable[[ReceivedRequest], float],
        costly_input: trio.Lock,
    ) -> None:
        self._budget = budget
        self._stream = stream
        stream.may_stall = lambda: not budget.is_scarce
        self._make_error = make_error
        self._reader = RequestReader(stream, limits, budget, find_wait_s, costly_input)
        self._unanswered = 0
        self._is_sending = False
        self._is_refused = False
        self._last_response_bytes = 0
        self._unparsed_bytes = 0
        """Bytes behind the last request that are accounted for."""
        self.read_ahead = ReadAhead(budget)
        """Limit of what is read behind requests without a response."""
        self.sends_ahead = False
        """Whether a request arrived before the response to an earlier one."""
        self.idle_since = trio.current_time()
        """Time since which the next request is awaited, in seconds."""
        self.is_reusable = True
        """Whether the connection may receive another request."""
        self.must_close = False
        """Whether the response to the last request that has arrived is the last one."""

    @property
    def is_receiving(self) -> bool:
        """Whether a request has been received in part."""
        return self._reader.is_receiving

    @property
    def is_refused(self) -> bool:
        """Whether a request was refused before it was received completely."""
        return self._is_refused

    @property
    def unanswered(self) -> int:
        """Requests that were received and have no response yet."""
        return self._unanswered

    @property
    def is_busy_before_partial(self) -> bool:
        """Whether a response to a request that was received completely is not fully sent."""
        return self._unanswered > 0 or self._is_sending

    @property
    def awaits_response(self) -> bool:
        """Whether a request has arrived, at least in part, and has no response yet."""
        return self._reader.is_receiving or self._unanswered > 0

    @property
    def is_busy(self) -> bool:
        """Whether a request has arrived, at least in part, and its response is not fully sent."""
        return self.awaits_response or self._is_sending

    @property
    def is_idle(self) -> bool:
        """Whether no part of the next request has arrived and all responses are sent."""
        return not self.is_busy

    @property
    def has_unparsed(self) -> bool:
        """Whether bytes behind the last request have been received."""
        return bool(self._reader.unparsed)

    @property
    def has_unread(self) -> bool:
        """Whether more has arrived than was read or parsed, perhaps the end of the connection."""
        return self.has_unparsed or not (
            self._stream.is_closed or self._stream.is_open_without_input
        )

    @property
    def has_ended(self) -> bool:
        """Whether the caller has closed or reset the connection."""
        return self._stream.has_hung_up

    def fileno(self) -> int:
        """Returns the file descriptor, negative if closed."""
        return self._stream.fileno()

    def try_hold_unparsed(self) -> bool:
        """Reserves memory for the bytes behind the last request.

        Returns:
            Whether the memory was reserved.
        """
        self._release_unparsed()
        return self.read_ahead.try_hold(len(self._reader.unparsed))

    def _hold_unparsed(self, exchange: CallerExchange) -> CallerExchange:
        """Accounts for the bytes behind a request until they are read; refuses it without room."""
        size = len(self._reader.unparsed)
        if size <= _SMALL_INPUT_BYTES:
            return exchange
        if self._budget.try_reserve_for_caller(size):
            self._unparsed_bytes = size
            return exchange
        self._reader.unparsed = b""
        error = self._make_error(make_no_memory_error())
        return replace(exchange, request=None, keeps_alive=False, response=error)

    def _release_unparsed(self) -> None:
        self._budget.release_for_caller(self._unparsed_bytes)
        self._unparsed_bytes = 0

    async def receive_request(self, is_ahead: bool = False) -> CallerExchange | None:
        """Receives the next request.

        Args:
            is_ahead: Whether earlier requests have no response yet.

        Returns:
            The request, with its response if it is malformed, too large or arrived too slowly, or
            None if the connection was closed between requests.

        Raises:
            CallerDisconnectedError: If the caller disconnected within a request.
        """
        reader = self._reader
        if self._unparsed_bytes:
            self._release_unparsed()
        try:
            exchange = await reader.receive(self.read_ahead if is_ahead else None)
        except MalformedRequestError as error:
            reader.is_receiving = False
            exchange = CallerExchange(
                reader.method, None, False, reader.take_held_bytes(), self._make_error(error)
            )
            exchange.large = reader.take_large()
        if exchange is not None:
            self._unanswered += 1
            if reader.unparsed and not is_ahead:
                return self._hold_unparsed(exchange)
        return exchange

    async def send(
        self, exchange: CallerExchange, response: CallerResponse, has_next: bool
    ) -> None:
        """Sends a complete response.

        Args:
            exchange: Request that is answered, the first one without a response.
            response: The response.
            has_next: Whether another request behind it was read, or may still be.

        Raises:
            CallerDisconnectedError: If the caller disconnected.
        """
        self.is_reusable = exchange.keeps_alive and (has_next or not self.must_close)
        head, body = self._encode(exchange.method, response)
        self._unanswered -= 1
        self._last_response_bytes = len(head) + len(body)
        self._is_sending = True
        try:
            if len(body) <= _MAX_JOINED_BYTES:
                await self._send(head + body)
            else:
                await self._send(head)
                await self._send(body)
        except OSError as error:
            raise CallerDisconnectedError from error
        finally:
            self._is_sending = False
        self.idle_since = trio.current_time()

    def refuse(self, response: CallerResponse) -> None:
        """Responds to an incomplete request at once, before any more of it can arrive.

        Args:
            response: The response, small enough to fit the send buffer.

        Raises:
            CallerDisconnectedError: If the caller disconnected or does not read.
        """
        self.is_reusable = False
        self._is_refused = True
        data = b"".join(self._encode(self._reader.method, response))
        self._reader.is_receiving = False
        try:
            sent = self._stream.send_nowait(data)
        except OSError as error:
            raise CallerDisconnectedError from error
        if sent < len(data):
            raise CallerDisconnectedError
        self.idle_since = trio.current_time()

    def drop(self, exchange: CallerExchange) -> None:
        """Forgets a request that is not answered, because its connection closes."""
        self._unanswered -= 1
        self.release(exchange)

    def forget_partial(self) -> None:
        """Forgets a request that was received in part, because its connection closes."""
        self._reader.is_receiving = False

    def release(self, exchange: CallerExchange) -> None:
        """Returns the memory of a request, and of its response that waited, to the budget."""
        self._budget.release_for_caller(exchange.held_bytes)
        exchange.held_bytes = 0
        if exchange.large is not None:
            self._budget.release(exchange.large)
            exchange.large = None
        if exchange.allocation is not None:
            self._budget.release(exchange.allocation)
            exchange.allocation = None

    def hold_response(self, exchange: CallerExchange, response: CallerResponse) -> None:
        """Keeps a response until the turn of its request, accounted to the memory limit."""
        exchange.response = response
        exchange.allocation = self._budget.open()
        exchange.allocation.grow(len(response.body))

    def release_unread(self) -> None:
        """Returns the memory of what was read but isn't part of a complete request."""
        self._reader.release_partial()
        self._release_unparsed()
        self.read_ahead.release_all()

    async def close(self) -> None:
        """Closes the connection after the caller has closed it or had time to.

        Closing it with unread input would reset it, which could discard a response in transit. A
        caller that sends requests before the responses to earlier ones may have more on the way.
        """
        has_more = self.sends_ahead or self.has_unparsed or self._reader.is_incomplete
        is_large = self._last_response_bytes > _MIN_LINGER_BYTES
        if not (has_more or is_large) and self._stream.is_open_without_input:
            self._stream.close()
            return
        await self._stream.close_after_peer()

    def try_close_idle(self) -> bool:
        """Closes the connection if it is idle and nothing has arrived that was not read.

        A request that waits unread while the event loop is late would be reset.

        Returns:
            Whether the connection was closed.
        """
        if not self.is_idle or self.has_unread:
            return False
        self._stream.close()
        return True

    def close_now(self) -> None:
        """Closes the connection at once.

        Unless it is idle, it is reset, so that the caller recognizes a truncated response.
        """
        if self.is_idle:
            self._stream.close()
        else:
            self._stream.abort()

    def _encode(self, method: bytes, response: CallerResponse) -> tuple[bytes, bytes]:
        """Returns the head and the body to send."""
        headers = [header for header in response.headers if header[0] != b"content-length"]
        has_body = response.status not in _NO_BODY_STATUSES
        if has_body:
            headers.append((b"content-length", b"%d" % len(response.body)))
        if not self.is_reusable:
            headers.append((b"connection", b"close"))
        head = encode_response(response.status, headers)
        return head, response.body if has_body and method != b"HEAD" else b""

    async def _send(self, data: bytes) -> None:
        """Sends a part of a response, which gives way to others while its caller doesn't read."""
        sent = self._stream.send_nowait(data)
        if sent == len(data):
            return
        unsent = memoryview(data)[sent:]
        with self._budget.allocate() as allocation:
            allocation.grow(len(data))
            transfer = Transfer(lambda: allocation.size, partial(self._drop_unread, allocation))
            with self._budget.transfers.track(transfer):
                for start in range(0, len(unsent), READ_SIZE):
                    piece = unsent[start : start + READ_SIZE]
                    await self._stream.send_all(piece)
                    transfer.on_moved(len(piece))

    def _drop_unread(self, allocation: Allocation) -> None:
        """Breaks the connection of a caller that doesn't read, and returns its memory."""
        allocation.shrink(allocation.size)
        self._stream.abort()
