"""Framed messages over a connection between two daemons."""

from __future__ import annotations

import fcntl
import struct
import termios
from collections import deque
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_http.late_readers import CHECK_INTERVAL_S, STALLED_CHECK_INTERVAL_S
from fulmarstile_http.transfers import Transfer
from fulmarstile_wire.errors import FulmarstileError, WireError
from fulmarstile_wire.services import FrameDecoder, HopCall, encode_frame, encode_large_call

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarstile_daemon.services._byte_budget import ByteBudget
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_wire.services import LinkMessage, ReceivedMessage

_C_INT: Final = struct.Struct("i")
_MIN_COUNTED_BYTES: Final = 1024
"""Size from which an incomplete message is counted, and dropped if there is no memory for it."""
_MAX_COPIED_BYTES: Final = 64 * 1024
"""Largest body that is copied into its frame, in bytes."""
_MIN_REFUSED_BYTES: Final = 1024
"""Size from which a message is refused if it doesn't fit the queue.

Smaller ones are mostly about other messages: cancellations, refusals, grants.
"""
_RESERVED_BYTES: Final = 256 * 1024
"""Queue beyond the limit that is left to messages too small to be refused."""


class LinkBrokenError(FulmarstileError):
    """The connection to another daemon was closed or failed."""


class QueueFullError(LinkBrokenError):
    """Too much waits to be sent for one more message; the connection goes on without it."""


class OutgoingFrame:
    """An encoded message that is being sent.

    Args:
        data: The frame, without the body that follows.
        body: Body of the request that the frame forwards; accounted to the request.
    """

    __slots__ = ("_body", "is_body_shared", "size", "unsent")

    def __init__(self, data: bytes, body: bytes = b"") -> None:
        self.size = len(data) + len(body)
        """Size of the frame in bytes."""
        self.unsent = memoryview(data)
        """Next bytes to be passed to the kernel; empty if there are none."""
        self._body = body
        self.is_body_shared = bool(body)
        """Whether the body is accounted to its request."""

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes not yet passed to the kernel."""
        return len(self.unsent) + len(self._body)

    @property
    def own_bytes(self) -> int:
        """Number of these that are accounted to the frame."""
        if not self.is_body_shared:
            return self.unsent_bytes
        return len(self.unsent) if self._body else 0

    @property
    def is_untouched(self) -> bool:
        """Whether none of it was passed to the kernel."""
        return self.unsent_bytes == self.size

    @property
    def is_sent(self) -> bool:
        """Whether all of it was passed to the kernel, so that the peer may receive it."""
        return not self.unsent

    def advance(self, size: int) -> None:
        """Removes bytes that were passed to the kernel."""
        self.unsent = self.unsent[size:]
        if not self.unsent:
            # An empty part of the body would keep it in memory.
            self.unsent, self._body = memoryview(self._body), b""


class FrameStream:
    """Sends and receives messages.

    Sending never blocks: what does not fit the socket buffer is sent later by `send_forever`.

    Args:
        stream: Connected stream, owned by this object from now on.
        budget: Memory limit for messages that are being received or wait to be sent.
    """

    def __init__(self, stream: ByteStream, budget: ByteBudget) -> None:
        self._stream = stream
        self._budget = budget
        self._decoder = FrameDecoder()
        self._incoming = budget.open(self._drop_incoming)
        self._outgoing = budget.open()
        self._unsent: deque[OutgoingFrame] = deque()
        self._queued_bytes = 0
        self._transfer: Transfer | None = None
        self._has_unsent = trio.Event()

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed on this side."""
        return self._stream.is_closed

    @property
    def has_unsent(self) -> bool:
        """Whether messages are still to be passed to the kernel."""
        return bool(self._unsent)

    @property
    def has_unacknowledged(self) -> bool:
        """Whether the peer's kernel has not confirmed all messages, so that a reset loses some."""
        if self._stream.is_closed:
            return False
        queued = fcntl.ioctl(self._stream.fileno(), termios.TIOCOUTQ, bytes(_C_INT.size))
        return bool(self._unsent) or _C_INT.unpack(queued)[0] > 0

    @property
    def has_input(self) -> bool:
        """Whether input or the end of the connection waits to be received."""
        return not self._stream.is_open_without_input

    @property
    def arriving_answer(self) -> int | None:
        """Call whose answer has arrived in part; None if there is no such message."""
        return self._decoder.pending_answer

    def send(self, message: LinkMessage) -> OutgoingFrame:
        """Sends a message.

        Args:
            message: The message.

        Returns:
            The frame that is being sent.

        Raises:
            QueueFullError: If it doesn't fit behind what waits to be sent; none of it was sent.
            LinkBrokenError: If the connection is closed, fails or has too much unsent data.
        """
        if isinstance(message, HopCall) and len(message.body) > _MAX_COPIED_BYTES:
            frame = OutgoingFrame(*encode_large_call(message))
        else:
            frame = OutgoingFrame(encode_frame(message))
        if self._stream.is_closed:
            raise LinkBrokenError("the connection is closed")
        self._check_fits(frame)
        if not self._unsent:
            self._push(frame)
        if frame.unsent:
            self._unsent.append(frame)
            self._queued_bytes += frame.unsent_bytes
            self._outgoing.grow(frame.own_bytes)
            self._has_unsent.set()
        return frame

    def _check_fits(self, frame: OutgoingFrame) -> None:
        """Checks that a message may wait to be sent behind the others."""
        if not self._unsent:
            # Answers are held whatever the limit, and one that is larger has to wait for nothing.
            return
        size = self._queued_bytes + frame.size
        if size <= self._budget.message_limit:
            return
        if frame.size >= _MIN_REFUSED_BYTES:
            raise QueueFullError("the other daemon reads too slowly for another message")
        if size > self._budget.message_limit + _RESERVED_BYTES:
            self.close()
            raise LinkBrokenError("the other daemon reads too slowly")

    def drop(self, frame: OutgoingFrame) -> bool:
        """Drops a message of which nothing was sent.

        Args:
            frame: The message.

        Returns:
            Whether it was dropped; False if the peer may receive it.
        """
        if not frame.is_untouched or frame not in self._unsent:
            return False
        self._unsent.remove(frame)
        self._queued_bytes -= frame.unsent_bytes
        self._outgoing.shrink(frame.own_bytes)
        return True

    def keep(self, frame: OutgoingFrame) -> None:
        """Accounts for a message whose request has ended, until it is sent."""
        if not frame.is_body_shared or self.is_closed:
            return
        before = frame.own_bytes
        frame.is_body_shared = False
        if not frame.is_sent:
            self._outgoing.grow(frame.own_bytes - before)

    async def send_forever(self) -> None:
        """Sends the messages that did not fit the socket buffer, until the connection ends.

        Raises:
            LinkBrokenError: If the connection fails.
        """
        while True:
            await self._has_unsent.wait()
            try:
                await self._stream.wait_writable()
            except OSError as error:
                raise LinkBrokenError(f"sending failed: {error}") from error
            while self._unsent:
                frame = self._unsent[0]
                own_bytes, unsent_bytes = frame.own_bytes, frame.unsent_bytes
                self._push(frame)
                self._outgoing.shrink(own_bytes - frame.own_bytes)
                self._queued_bytes -= unsent_bytes - frame.unsent_bytes
                if frame.unsent:
                    break
                self._unsent.popleft()
            else:
                self._has_unsent = trio.Event()

    def _push(self, frame: OutgoingFrame) -> None:
        """Passes as much of a message to the kernel as it accepts."""
        while True:
            size = len(frame.unsent)
            try:
                sent = self._stream.send_nowait(frame.unsent)
            except OSError as error:
                raise LinkBrokenError(f"sending failed: {error}") from error
            frame.advance(sent)
            if sent < size or frame.is_sent:
                return

    async def receive(self) -> list[ReceivedMessage]:
        """Receives messages.

        Returns:
            One message or more. A message for which there is no memory is dropped while it
            arrives, and only what is known of it is returned.

        Raises:
            LinkBrokenError: If the connection is closed, fails or delivers an invalid message.
        """
        while True:
            try:
                receive = self._stream.receive if self._transfer is None else self._receive_large
                data = await receive()
                messages = self._decoder.feed(data)
            except (OSError, WireError) as error:
                raise LinkBrokenError(f"receiving failed: {error}") from error
            if not data:
                raise LinkBrokenError("the other daemon closed the connection")
            self._count_incoming()
            if messages:
                return messages

    async def _receive_large(self) -> bytes:
        """Waits for more of a large request, which gives way to others while nothing arrives."""
        transfer = self._transfer or self._make_transfer()
        with self._budget.transfers.track(transfer):
            data = await self._stream.receive()
        transfer.on_moved(len(data))
        return data

    def _make_transfer(self) -> Transfer:
        return Transfer(lambda: self._incoming.size, self._drop_incoming)

    def allow_late_reader(self, now: float) -> bool:
        """See `ByteStream.allow_late_reader`."""
        may_stall = not (self._unsent and self._budget.is_scarce)
        return self._stream.allow_late_reader(now, may_stall=may_stall)

    def send_eof(self) -> None:
        """Ends sending, so that the peer closes the connection after the last message."""
        self._stream.send_eof()

    def close(self) -> None:
        """Closes the connection."""
        self._stream.close()
        # It refers to this object: the cycle would keep what was received.
        self._transfer = None
        self._decoder.clear()
        self._budget.release(self._incoming)
        self._budget.release(self._outgoing)

    def _count_incoming(self) -> None:
        """Accounts for the received part of an incomplete message, or drops that message."""
        decoder = self._decoder
        if decoder.pending_length < _MIN_COUNTED_BYTES or not decoder.is_kind_known:
            self._transfer = None
            self._incoming.shrink(self._incoming.size)
            return
        # A message that will exceed the limit is dropped without receiving it up to the limit.
        is_oversize = decoder.pending_length > self._budget.message_limit
        size = decoder.pending_length if is_oversize else decoder.pending_bytes
        grown = size - self._incoming.size
        if grown <= 0:
            self._incoming.shrink(-grown)
        elif not self._try_grow_incoming(grown):
            self._drop_incoming()

    def _try_grow_incoming(self, size: int) -> bool:
        if not self._decoder.is_call_pending:
            return self._incoming.try_grow(size)
        is_granted = self._incoming.try_grow_call(size, self._decoder.pending_length)
        if self._transfer is None and self._incoming.is_large:
            self._transfer = self._make_transfer()
        return is_granted

    def _drop_incoming(self) -> None:
        """Drops the incomplete message; the connection and its other calls go on."""
        self._transfer = None
        self._decoder.drop_pending()
        self._budget.release(self._incoming)
        self._incoming = self._budget.open(self._drop_incoming)


async def allow_late_readers(list_streams: Callable[[], Iterable[FrameStream]]) -> None:
    """Keeps connections to daemons that are alive but don't read, until cancelled.

    Args:
        list_streams: Returns the open connections.
    """
    interval_s = CHECK_INTERVAL_S
    while True:
        await trio.sleep(interval_s)
        now = trio.current_time()
        late = [stream for stream in list_streams() if stream.allow_late_reader(now)]
        interval_s = STALLED_CHECK_INTERVAL_S if late else CHECK_INTERVAL_S
