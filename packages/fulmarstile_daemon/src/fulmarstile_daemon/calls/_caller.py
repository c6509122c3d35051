"""Server side of an HTTP connection from a caller or a daemon."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import h11
import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.calls._call import (
    CallerDisconnectedError,
    CallFailedError,
    make_refusal,
    refusal_body,
    refusal_headers,
)
from fulmarstile_daemon.calls._headers import MessageHeaders, make_h11_headers, read_headers
from fulmarstile_http.request_checks import MalformedRequestError, check_framing, check_line_ends
from fulmarstile_http.request_head import HEAD_END, receive_rest_of_head
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_calls.request import CallRefusal
    from fulmarstile_daemon.calls._call import Call
    from fulmarstile_daemon.calls._headers import Header
    from fulmarstile_daemon.calls.settings import CallSettings
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_platform.message_memory import HeldMessage, MessageMemory

_COSTLY_PARTS: Final = 128
"""Chunks or header lines whose parsing takes so long that others run in between."""
_SMALL_HEAD_BYTES: Final = 4 * 1024
"""Size up to which a head is parsed at once, in bytes."""

_FEW_HEADERS: Final = 32
"""Number of headers up to which a small head is not accounted for."""
_HEADER_BYTES: Final = 320
"""Memory that a parsed header takes beside its characters, in bytes."""
_PARTIAL_COPIES: Final = 2
"""Times that an incomplete head is held: here and by the parser."""
_SEND_BYTES: Final = 16 * 1024
"""Part of an answer after whose sending the caller is taken to read, in bytes."""


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Head of a request with its headers classified."""

    head: h11.Request
    headers: MessageHeaders


class CallerConnection:
    """Reads requests and writes answers, one after the other.

    Args:
        stream: Accepted stream; the connection takes ownership.
        settings: Settings of the call proxy.
        costly_input: Held while input of which much carries little is parsed; shared by all
            connections.
        memory: Bounds what callers make the daemon hold; shared by all connections.
    """

    def __init__(
        self,
        stream: ByteStream,
        settings: CallSettings,
        costly_input: trio.Lock,
        memory: MessageMemory,
    ) -> None:
        self._memory = memory
        self._held: HeldMessage | None = None
        self._costly_input = costly_input
        self._parsed_parts = 0
        self._stream = stream
        self._settings = settings
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=settings.head_limit)
        self._has_unsent = False
        self.is_idle = True
        """Whether the head of the next request has not fully arrived."""
        self.has_partial_head = False
        """Whether the head of the next request has arrived in part."""
        self.idle_since = 0.0
        """Time since which the connection waits for the next request, in seconds."""
        self.valid_hop = b""
        """Last valid `Fulmarstile-Hop` header on this connection; spares checking it again."""
        self.must_close = False
        """Whether to close the connection after the next answer."""
        self.is_draining = False
        """Whether to close the connection after the answer to the last request that arrived."""
        self.scope = trio.CancelScope()
        """Cancel scope of the task that serves the connection."""
        self.call: Call | None = None
        """Call of the last request, if it was accepted; None while the next one is received."""
        self.is_terminated = False
        """Whether the current request was terminated and still has to be refused."""

    @property
    def wants_continue(self) -> bool:
        """Whether the caller waits for `100 Continue` before it sends the body."""
        return self._http.they_are_waiting_for_100_continue

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow on the connection."""
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    @property
    def is_in_use(self) -> bool:
        """Whether a request head has arrived in part, or an accepted call is not finished."""
        return self.has_partial_head or self.call is not None

    @property
    def has_unread(self) -> bool:
        """Whether more has arrived than was handled, perhaps the end of the connection.

        The part of a head whose rest is awaited doesn't count.
        """
        if self._http.trailing_data[0] and not self.has_partial_head:
            return True
        return not (self._stream.is_closed or self._stream.is_open_without_input)

    @property
    def is_answered(self) -> bool:
        """Whether the answer to the last request was fully written."""
        return not self._has_unsent and self._http.our_state in (h11.DONE, h11.MUST_CLOSE)

    @property
    def is_body_received(self) -> bool:
        """Whether the request has fully arrived."""
        return self._http.their_state is not h11.SEND_BODY

    def fileno(self) -> int:
        """Returns the file descriptor; negative if closed."""
        return self._stream.fileno()

    async def receive_request(self) -> ReceivedRequest | None:
        """Receives the head of the next request.

        Returns:
            The request, or None if the caller closed the connection.

        Raises:
            CallFailedError: If the head is malformed, too large or arrives too slowly.
        """
        self.call = None
        self._release()
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        received = self._http.trailing_data[0]
        if received:
            await trio.lowlevel.checkpoint()
        else:
            self.idle_since = trio.current_time()
            received = await self._receive()
            if not received:
                return None
            self._http.receive_data(received)
        if received.find(HEAD_END) < 0:
            self.has_partial_head = True
            self._reserve(_PARTIAL_COPIES * len(received))
            received = await self._receive_rest_of_head(received)
        end = received.find(HEAD_END)
        if end > self._settings.head_limit:
            raise _make_bad_request_error("the request head is too large", status=431)
        self.is_idle = False
        if end > _SMALL_HEAD_BYTES and received.count(b"\n", 0, end) > _COSTLY_PARTS:
            # In use from now on, so that a drain waits for the request.
            self.has_partial_head = True
            await self._wait_turn()
        self.has_partial_head = False
        self._parsed_parts = 0
        try:
            check_line_ends(received[: end + 2])
            event = self._parse()
            if type(event) is not h11.Request:
                raise _make_bad_request_error("the message is not a request")
            headers = read_headers(event.headers.raw_items())
            check_framing(event, headers)
        except MalformedRequestError as error:
            raise _make_bad_request_error(str(error), status=error.status) from error
        self._reserve_head(end, len(event.headers))
        if event.http_version != b"1.1":
            _add_missing_host(headers)
        return ReceivedRequest(event, headers)

    async def receive_body(self) -> bytes | None:
        """Receives a part of the request body.

        Returns:
            The part, or None once the body is complete.

        Raises:
            CallerDisconnectedError: If the caller disconnected.
            CallFailedError: If the body is malformed.
        """
        while True:
            event = self._parse()
            if type(event) is h11.Data:
                self._parsed_parts += 1
                if self._parsed_parts % _COSTLY_PARTS == 0:
                    await self._wait_turn()
                return bytes(event.data)
            if type(event) is h11.EndOfMessage:
                return None
            if event is not h11.NEED_DATA:
                raise CallerDisconnectedError
            data = await self._receive()
            if not data:
                raise CallerDisconnectedError
            self._http.receive_data(data)

    async def receive_small_body(self, limit: int) -> tuple[bytes, bool]:
        """Receives the whole request body, or its beginning if it is larger than a limit.

        Args:
            limit: Size beyond which receiving stops, in bytes.

        Returns:
            The received bytes, and whether the body is complete.

        Raises:
            CallerDisconnectedError: If the caller disconnected.
            CallFailedError: If the body is malformed, or others need its memory.
        """
        body = bytearray()
        while len(body) <= limit:
            part = await self.receive_body()
            if part is None:
                return bytes(body), True
            self._reserve(len(part))
            body += part
        return bytes(body), False

    async def send_continue(self) -> None:
        """Sends `100 Continue`, which asks the caller for the body.

        Raises:
            CallerDisconnectedError: If the caller disconnected.
        """
        await self._send(self._http.send(h11.InformationalResponse(status_code=100, headers=[])))

    async def send_head(
        self, status: int, headers: list[Header], body: bytes, complete: bool
    ) -> None:
        """Sends the head of an answer with the first part of its body.

        Args:
            status: HTTP status.
            headers: Headers, without connection headers.
            body: Body, or its first part.
            complete: Whether `body` is the whole body.

        Raises:
            CallerDisconnectedError: If the caller disconnected.
        """
        http = self._http
        closes = self.must_close
        if self.is_draining:
            closes |= not self.has_unread
        if closes or http.their_state is h11.SEND_BODY:
            headers = [*headers, (b"connection", b"close")]
        data = http.send(h11.Response(status_code=status, headers=make_h11_headers(headers)))
        if body:
            data += http.send(h11.Data(data=body))
        if complete:
            data += http.send(h11.EndOfMessage())
        await self._send(data)

    async def send_body(self, data: bytes | None) -> None:
        """Sends another part of an answer's body.

        Args:
            data: The part; None ends the body.

        Raises:
            CallerDisconnectedError: If the caller disconnected.
        """
        event = h11.EndOfMessage() if data is None else h11.Data(data=data)
        await self._send(self._http.send(event) or b"")

    async def send_refusal(self, refusal: CallRefusal, *, close: bool) -> None:
        """Sends a refusal as a complete answer.

        Args:
            refusal: The refusal.
            close: Whether to close the connection afterwards.

        Raises:
            CallerDisconnectedError: If the caller disconnected.
        """
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            raise CallerDisconnectedError
        self._discard_received_body()
        body = refusal_body(refusal)
        headers = refusal_headers(refusal)
        headers.append((b"content-type", b"application/json"))
        headers.append((b"content-length", b"%d" % len(body)))
        self.must_close |= close
        await self.send_head(refusal.status, headers, body, True)

    def terminate_request(self) -> None:
        """Cancels the request that is being received or served, unless its answer has begun."""
        self.must_close = True
        if self.is_in_use and self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.is_terminated = True
            self.scope.cancel()

    async def close(self) -> None:
        """Closes the connection after the caller has closed its side, or after a time limit.

        Closing it with unread input would reset the connection and lose an answer in transit.
        """
        await self._stream.close_after_peer()

    def close_now(self) -> None:
        """Closes the connection at once; resets it if an answer is unfinished."""
        self._release()
        if self.is_idle or self.is_answered:
            self._stream.close()
        else:
            self._stream.abort()

    def _discard_received_body(self) -> None:
        """Discards the received part of a body; if it is the whole, the connection is reusable.

        The connection is not reusable if parsing that part would take long.
        """
        try:
            for _ in range(_COSTLY_PARTS):
                if type(self._http.next_event()) is not h11.Data:
                    return
        except h11.RemoteProtocolError:
            return

    async def _wait_turn(self) -> None:
        """Lets others run before costly input is parsed, of one connection at a time."""
        async with self._costly_input:
            await trio.lowlevel.checkpoint()

    async def _receive_rest_of_head(self, received: bytes) -> bytes:
        settings = self._settings
        try:
            received = await receive_rest_of_head(
                received, self._receive_and_feed, settings.head_limit, settings.head_timeout_s
            )
        except MalformedRequestError as error:
            raise _make_bad_request_error(str(error), status=error.status) from error
        if received.find(HEAD_END) < 0:
            raise CallerDisconnectedError
        return received

    async def _receive_and_feed(self) -> bytes:
        data = await self._receive()
        if data:
            self._reserve(_PARTIAL_COPIES * len(data))
            self._http.receive_data(data)
        return data

    async def _receive(self) -> bytes:
        held = self._held
        try:
            if held is None:
                return await self._stream.receive()
            data = b""
            with held.wait_for_client():
                data = await self._stream.receive()
        except OSError:
            return b""
        if held.has_given_way:
            raise _make_no_memory_error()
        held.on_moved(len(data))
        return data

    async def _send(self, data: bytes) -> None:
        self._has_unsent = True
        try:
            sent = self._stream.send_nowait(data)
            if sent < len(data):
                await self._send_slowly(memoryview(data)[sent:])
        except OSError as error:
            raise CallerDisconnectedError from error
        self._has_unsent = False

    async def _send_slowly(self, data: memoryview) -> None:
        """Sends what the kernel doesn't take at once, unless others need the memory."""
        with self._memory.hold() as held:
            held.grow(len(data))
            with held.wait_for_client():
                for start in range(0, len(data), _SEND_BYTES):
                    piece = data[start : start + _SEND_BYTES]
                    await self._stream.send_all(piece)
                    held.on_moved(len(piece))
            if held.has_given_way:
                raise CallerDisconnectedError

    def _reserve_head(self, size: int, headers: int) -> None:
        """Reserves the memory of a parsed head, unless it is small.

        Args:
            size: Size of the head in bytes.
            headers: Number of its headers.
        """
        self._release()
        if size > _SMALL_HEAD_BYTES or headers > _FEW_HEADERS:
            self._reserve(size + headers * _HEADER_BYTES)

    def _reserve(self, size: int) -> None:
        """Reserves memory for a part of a request.

        Raises:
            CallFailedError: If there is none.
        """
        if self._held is None:
            self._held = self._memory.open()
        if not self._held.try_grow(size):
            raise _make_no_memory_error()

    def _release(self) -> None:
        """Returns the memory of the last request."""
        if self._held is not None:
            self._held.release()
            self._held = None

    def _parse(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise _make_bad_request_error(str(error), status=error.error_status_hint) from error


def _make_bad_request_error(detail: str, status: int = 400) -> CallFailedError:
    return CallFailedError(
        make_refusal(RefusalReason.BAD_REQUEST, Verdict.NOT_RUN, detail, status=status)
    )


def _make_no_memory_error() -> CallFailedError:
    detail = "too many large requests are held"
    return CallFailedError(
        make_refusal(RefusalReason.OVERLOADED, Verdict.NOT_RUN, detail, retry_after_s=1.0)
    )


def _add_missing_host(headers: MessageHeaders) -> None:
    """Adds the `Host` header, which HTTP/1.1 requires and an HTTP/1.0 request may lack."""
    if all(name != b"host" for name, _ in headers.end_to_end):
        headers.end_to_end.append((b"host", b""))
