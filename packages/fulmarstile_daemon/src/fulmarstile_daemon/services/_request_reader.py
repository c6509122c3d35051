"""Reads the requests of a caller's connection."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._caller_messages import (
    CallerDisconnectedError,
    CallerExchange,
    ReceivedRequest,
)
from fulmarstile_http.chunked_bodies import SLICE_PARTS, ChunkedBody
from fulmarstile_http.headers import read_headers
from fulmarstile_http.request_checks import (
    MalformedRequestError,
    check_framing,
    check_head,
    check_line_ends,
)
from fulmarstile_http.request_head import HEAD_END, receive_rest_of_head
from fulmarstile_http.request_parser import RequestParser
from fulmarstile_http.request_target import use_origin_form
from fulmarstile_http.transfers import Transfer

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._byte_budget import Allocation, ByteBudget
    from fulmarstile_daemon.services._read_ahead import ReadAhead
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_http.headers import MessageHeaders
    from fulmarstile_http.messages import RequestHead
    from fulmarstile_services.document import RequestLimits

_CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
_LINE_END: Final = b"\r\n"
_HEADER_BYTES: Final = 160
"""Memory that a parsed header takes beside its characters, in bytes."""
_MAX_COPIED_BYTES: Final = 64 * 1024
"""Largest body that is copied out of its buffer, in bytes."""
_SMALL_HEAD_BYTES: Final = 4 * 1024
"""Memory up to which a head is not accounted for, in bytes."""


def never(_: ReceivedRequest) -> float:
    """Sets no time limit for the body of a request."""
    return math.inf


class RequestReader:
    """Reads requests, one after the other.

    Args:
        stream: Stream of the connection.
        limits: Returns the current limits.
        budget: Memory limit for messages.
        find_wait_s: Returns how long the caller of a request, whose body is missing, waits for
            the answer, in seconds.
        costly_input: Held while a slice of a body in tiny chunks is parsed; shared by all
            connections.
    """

    def __init__(
        self,
        stream: ByteStream,
        limits: Callable[[], RequestLimits],
        budget: ByteBudget,
        find_wait_s: Callable[[ReceivedRequest], float] = never,
        costly_input: trio.Lock | None = None,
    ) -> None:
        self._stream = stream
        self._costly_input = costly_input or trio.Lock()
        self._is_costly = False
        self._limits = limits
        self._budget = budget
        self._find_wait_s = find_wait_s
        self._parser = RequestParser()
        self._read_ahead: ReadAhead | None = None
        self._waited_s = 0.0
        self._reserved_bytes = 0
        self._large: Allocation | None = None
        self._expected_bytes = 0
        self._framing_bytes = 0
        self._ahead_bytes = 0
        self._body = bytearray()
        self._chunked = ChunkedBody(self._parser)
        self._transfer: Transfer | None = None
        self._waiting = trio.CancelScope()
        self._has_given_way = False
        self.unparsed = b""
        """Bytes received behind the last request."""
        self.method = b""
        """Method of the request being read, once it is known."""
        self.is_receiving = False
        """Whether a request has been received in part."""

    @property
    def is_incomplete(self) -> bool:
        """Whether the last request was not received whole."""
        return not self._parser.is_complete

    async def receive(self, read_ahead: ReadAhead | None = None) -> CallerExchange | None:
        """Receives the next request.

        Args:
            read_ahead: Limit that applies because the responses to earlier requests are not sent;
                None if all are.

        Returns:
            The request, or None if the connection was closed between requests.

        Raises:
            MalformedRequestError: If the request is malformed, too large or arrives too slowly.
            CallerDisconnectedError: If the caller disconnected within a request.
        """
        self._read_ahead = read_ahead
        self._waited_s = 0.0
        self._framing_bytes = 0
        self._transfer = None
        self._has_given_way = False
        self._is_costly = False
        self.method = b""
        self._ahead_bytes = len(self.unparsed)
        while not self.unparsed:
            received = await self._receive()
            if not received:
                return None
            self._ahead_bytes += len(received)
            # Some callers send an empty line behind a body. It begins no request.
            self.unparsed = received.lstrip(_LINE_END)
        self.is_receiving = True
        self._parser = RequestParser(self._limits().head_bytes)
        try:
            return await self._receive_request()
        except MalformedRequestError:
            self.unparsed = b""
            self._body = bytearray()
            raise
        finally:
            self._parser.release()

    async def _receive_request(self) -> CallerExchange:
        """Receives the rest of a request of which some bytes have arrived."""
        parser = self._parser
        received = await self._receive_head()
        end = received.find(HEAD_END) + len(HEAD_END)
        check_line_ends(received[: end - 2])
        head = parser.parse_complete_head(received[:end])
        self.method = head.method
        check_head(head)
        head = use_origin_form(head)
        headers = read_headers(head.headers)
        check_framing(head, headers)
        self._reserve_head(end, len(head.headers))
        arrived_at = trio.current_time()
        self.unparsed = received[end:]
        # What has been parsed must not be held while the rest is awaited.
        del received
        if parser.is_complete:
            body = b""
        elif headers.content_length and len(self.unparsed) >= headers.content_length:
            body = self._take_whole_body(headers.content_length)
        else:
            body = await self._receive_body(head, headers, arrived_at)
        if self.unparsed:
            self.unparsed = self.unparsed.lstrip(_LINE_END)
        request = ReceivedRequest(head.method, head.target, headers, body, arrived_at)
        keeps_alive = parser.keeps_alive and not parser.has_pipelined_bytes
        self.is_receiving = False
        exchange = CallerExchange(head.method, request, keeps_alive, self.take_held_bytes())
        if self._large is not None:
            exchange.large = self.take_large()
        return exchange

    def take_held_bytes(self) -> int:
        """Returns the bytes reserved for the last request, for the caller to release."""
        held, self._reserved_bytes = self._reserved_bytes, 0
        if self._read_ahead is not None:
            held += self._ahead_bytes - len(self.unparsed)
            self._ahead_bytes = 0
        return held

    def _count_held(self) -> int:
        """Returns the memory that is reserved for a request that is being received, in bytes."""
        held = self._reserved_bytes if self._large is None else self._large.size
        return held + (self._ahead_bytes if self._read_ahead is not None else 0)

    def take_large(self) -> Allocation | None:
        """Returns the memory of the last request if it is large, for the caller to release."""
        large, self._large = self._large, None
        return large

    def release_partial(self) -> None:
        """Returns the memory of a request that was received in part to the budget."""
        self._release_reserved()
        if self._read_ahead is not None:
            self._read_ahead.release(self._ahead_bytes)
            self._ahead_bytes = 0
        # It refers to this reader: the cycle would keep the body.
        self._transfer = None
        self._body = bytearray()

    def _release_reserved(self) -> None:
        self._budget.release_for_caller(self._reserved_bytes)
        self._reserved_bytes = 0
        if self._large is not None:
            self._budget.release(self._large)
            self._large = None

    def _pop_unparsed(self) -> bytes:
        received, self.unparsed = self.unparsed, b""
        return received

    async def _receive_head(self) -> bytes:
        """Receives until a head is complete, and returns all that has arrived."""
        limits = self._limits()
        if self.unparsed.find(HEAD_END) >= 0:
            received = self._pop_unparsed()
        else:
            receive, timeout_s = self._receive_more_of_head, limits.head_timeout_s
            if self._read_ahead is not None:
                receive, timeout_s = self._receive_ahead_of_head, math.inf
            self._reserve_received(len(self.unparsed))
            received = await receive_rest_of_head(
                self._pop_unparsed(), receive, limits.head_bytes, timeout_s
            )
        end = received.find(HEAD_END)
        if end < 0:
            raise CallerDisconnectedError
        if end > limits.head_bytes:
            raise MalformedRequestError("the request head is too large", 431)
        return received

    def _take_whole_body(self, length: int) -> bytes:
        """Takes a body that has arrived whole with its head."""
        if length > self._limits().body_bytes:
            raise MalformedRequestError("the request body is too large", 413)
        self._parser.feed_body(self.unparsed[:length])
        self._reserve_received(length)
        self.unparsed = self.unparsed[length:]
        return b"".join(self._parser.pop_body_parts())

    async def _receive_body(
        self, head: RequestHead, headers: MessageHeaders, arrived_at: float
    ) -> bytes:
        limits = self._limits()
        received = self._pop_unparsed()
        length = headers.content_length
        if (length or 0) > limits.body_bytes:
            raise MalformedRequestError("the request body is too large", 413)
        parser = self._parser
        if not received and _wants_continue(head):
            await self._send_continue()
        limit_s = math.nan
        self._waited_s = 0.0
        self._expected_bytes = length or 0
        self._body = bytearray()
        self._chunked = ChunkedBody(parser)
        while not parser.is_complete:
            if not received:
                if math.isnan(limit_s):
                    partial = ReceivedRequest(head.method, head.target, headers, b"", arrived_at)
                    limit_s = self._find_wait_s(partial)
                left_s = max(0.0, limit_s - self._waited_s)
                received = await self._receive_more(min(left_s, limits.head_timeout_s))
            if length is None:
                received = await self._parse_chunks(received)
            else:
                end = length - len(self._body)
                self._parse_body(received[:end])
                received = received[end:]
        # Data after the body belongs to the next request.
        self.unparsed = received
        self._expected_bytes = 0
        body, self._body = self._body, bytearray()
        return bytes(body) if len(body) <= _MAX_COPIED_BYTES else body

    async def _parse_chunks(self, received: bytes) -> bytes:
        """Parses a part of a chunked body, and returns what follows the body."""
        start = 0
        while start < len(received) and not self._parser.is_complete:
            if self._is_costly:
                # One at a time, so that many callers with tiny chunks don't hold up the others.
                async with self._costly_input:
                    start = self._parse_slice(received, start)
            else:
                start = self._parse_slice(received, start)
        return received[start:]

    def _parse_slice(self, received: bytes, start: int) -> int:
        """Parses some of a chunked body.

        Args:
            received: Bytes of the body, perhaps followed by another request.
            start: Position of the first one to parse.

        Returns:
            Position of the first one that was not parsed.
        """
        end, pieces = self._chunked.feed_slice(received, start)
        self._is_costly = max(pieces, self._take_body()) >= SLICE_PARTS
        return end

    def _parse_body(self, data: bytes) -> None:
        """Parses a part of a body of known length."""
        self._parser.feed_body(data)
        self._take_body()

    def _take_body(self) -> int:
        """Takes over and accounts for what was parsed of the body, and returns its parts."""
        size = len(self._body)
        parts = self._parser.pop_body_parts()
        # An object for each of many small chunks would take far more memory than the body.
        for part in parts:
            self._body += part
        if len(self._body) > self._limits().body_bytes:
            raise MalformedRequestError("the request body is too large", 413)
        framing_bytes = max(self._framing_bytes, self._parser.framing_bytes)
        self._reserve_received(len(self._body) - size + framing_bytes - self._framing_bytes)
        self._framing_bytes = framing_bytes
        return len(parts)

    def _reserve_head(self, size: int, headers: int) -> None:
        """Reserves the memory of a parsed head, unless it is small.

        Args:
            size: Size of the head in bytes.
            headers: Number of its headers.
        """
        if self._reserved_bytes or self._large is not None:
            self._release_reserved()
        parsed_bytes = headers * _HEADER_BYTES
        if self._read_ahead is None:
            if size + parsed_bytes > _SMALL_HEAD_BYTES:
                self._reserve(size + parsed_bytes)
        elif parsed_bytes > _SMALL_HEAD_BYTES:
            # Its characters were reserved when they were read.
            self._read_ahead.hold(parsed_bytes)
            self._ahead_bytes += parsed_bytes

    def _reserve_received(self, size: int) -> None:
        """Reserves memory for received bytes, unless it was reserved when they were read."""
        if self._read_ahead is None and size:
            self._reserve(size)

    def _reserve(self, size: int) -> None:
        if self._large is not None:
            self._reserve_large(size)
        elif self._budget.try_reserve_for_caller(size):
            self._reserved_bytes += size
        else:
            size += self._reserved_bytes
            if not self._budget.may_be_large(max(size, self._expected_bytes)):
                raise make_no_memory_error()
            self._release_reserved()
            self._reserve_large(size)

    def _reserve_large(self, size: int) -> None:
        """Reserves memory for a request that doesn't fit what callers share."""
        if self._large is None:
            self._large = self._budget.open()
        if not self._large.try_grow_large(size):
            raise make_no_memory_error()

    def _give_way(self) -> None:
        """Refuses the request that is being received, because others need its memory."""
        self._has_given_way = True
        # The task that reads the request refers to the same buffer.
        self._body.clear()
        self.release_partial()
        self._waiting.cancel()

    async def _send_continue(self) -> None:
        """Asks for the body, after the responses to all earlier requests."""
        if self._read_ahead is not None:
            await self._read_ahead.wait_next()
        try:
            await self._stream.send_all(_CONTINUE)
        except OSError as error:
            raise CallerDisconnectedError from error

    async def _receive_more_of_head(self) -> bytes:
        data = await self._receive_part(math.inf)
        self._reserve_received(len(data))
        return data

    async def _receive_ahead_of_head(self) -> bytes:
        """Receives more of a head; pauses of reading don't count towards its time limit."""
        await self._wait_for_room()
        left_s = max(0.0, self._limits().head_timeout_s - self._waited_s)
        return await self._receive_part(left_s)

    async def _receive_more(self, timeout_s: float) -> bytes:
        await self._wait_for_room()
        data = await self._receive_part(timeout_s)
        if not data:
            raise CallerDisconnectedError
        return data

    async def _receive_part(self, timeout_s: float) -> bytes:
        """Waits for more of a request, which may have to give way meanwhile.

        Args:
            timeout_s: Longest time, in seconds.

        Returns:
            The bytes received; empty at the end of the stream.

        Raises:
            MalformedRequestError: If nothing arrives in time, or if others need the memory.
        """
        transfer = self._transfer
        if transfer is None:
            transfer = self._transfer = Transfer(self._count_held, self._give_way)
        started_at = trio.current_time()
        with (
            self._budget.transfers.track(transfer),
            trio.move_on_after(timeout_s) as self._waiting,
        ):
            data = await self._receive()
        self._waited_s += trio.current_time() - started_at
        if self._has_given_way:
            raise make_no_memory_error()
        if self._waiting.cancelled_caught:
            if self._stream.is_open_without_input:
                raise MalformedRequestError("the request arrived too slowly", 408)
            # It has arrived in time: this side didn't read it, or its event loop is late.
            data = await self._receive()
        self._ahead_bytes += len(data)
        transfer.on_moved(len(data))
        return data

    async def _wait_for_room(self) -> None:
        """Waits until reading may go on."""
        if self._read_ahead is not None:
            await self._read_ahead.wait_for_room()

    async def _receive(self) -> bytes:
        try:
            if self._read_ahead is None:
                return await self._stream.receive()
            data = await self._stream.receive(await self._read_ahead.wait_for_room())
        except OSError:
            return b""
        self._read_ahead.hold(len(data))
        return data


def make_no_memory_error() -> MalformedRequestError:
    """Creates the error of a request for which there is no memory."""
    return MalformedRequestError("too many large requests are held", 503)


def _wants_continue(head: RequestHead) -> bool:
    """Checks whether the caller waits for `100 Continue` before it sends the body."""
    return any(
        name.lower() == b"expect" and value.lower() == b"100-continue"
        for name, value in head.headers
    )
