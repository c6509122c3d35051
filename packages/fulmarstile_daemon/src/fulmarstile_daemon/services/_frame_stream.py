"""Framed messages over a connection between two daemons."""

from __future__ import annotations

import fcntl
import struct
import termios
from collections import deque
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_wire.errors import FulmarstileError, WireError
from fulmarstile_wire.services import DiscardedMessage, FrameDecoder, encode_frame

if TYPE_CHECKING:
    from fulmarstile_daemon.services._byte_budget import ByteBudget
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_wire.services import LinkMessage

_C_INT: Final = struct.Struct("i")
_MIN_DISCARDED_BYTES: Final = 1024
"""Received size from which an incomplete message may be discarded; what is smaller is kept even if
the memory is exhausted."""


class LinkBrokenError(FulmarstileError):
    """The connection to another daemon was closed or failed."""


class OutgoingFrame:
    """An encoded message that is being sent.

    Args:
        data: The complete frame.
    """

    __slots__ = ("_size", "unsent")

    def __init__(self, data: bytes) -> None:
        self._size = len(data)
        self.unsent = memoryview(data)
        """Bytes not yet passed to the kernel."""

    @property
    def is_untouched(self) -> bool:
        """Whether none of it was passed to the kernel."""
        return len(self.unsent) == self._size

    @property
    def is_sent(self) -> bool:
        """Whether all of it was passed to the kernel, so that the peer may receive it."""
        return not self.unsent


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
        self._decoder = FrameDecoder(budget.message_limit)
        self._incoming = budget.open(self._discard_incoming)
        self._discarded: list[DiscardedMessage] = []
        self._outgoing = budget.open()
        self._unsent: deque[OutgoingFrame] = deque()
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

    def send(self, message: LinkMessage) -> OutgoingFrame:
        """Sends a message.

        Args:
            message: The message.

        Returns:
            The frame that is being sent.

        Raises:
            LinkBrokenError: If the connection is closed, fails or has too much unsent data.
        """
        frame = OutgoingFrame(encode_frame(message))
        if self._stream.is_closed:
            raise LinkBrokenError("the connection is closed")
        if not self._unsent:
            self._push(frame)
        if frame.unsent:
            self._unsent.append(frame)
            self._outgoing.grow(len(frame.unsent))
            self._has_unsent.set()
        if self._outgoing.size > self._budget.message_limit:
            self.close()
            raise LinkBrokenError("the other daemon reads too slowly")
        return frame

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
        self._outgoing.shrink(len(frame.unsent))
        return True

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
                self._outgoing.shrink(self._push(frame))
                if frame.unsent:
                    break
                self._unsent.popleft()
            else:
                self._has_unsent = trio.Event()

    def _push(self, frame: OutgoingFrame) -> int:
        """Passes as much of a message to the kernel as it accepts, and returns that size."""
        try:
            sent = self._stream.send_nowait(frame.unsent)
        except OSError as error:
            raise LinkBrokenError(f"sending failed: {error}") from error
        frame.unsent = frame.unsent[sent:]
        return sent

    async def receive(self) -> list[LinkMessage | DiscardedMessage]:
        """Receives messages.

        A message that is discarded because the memory is exhausted ends no other one on the
        connection; the rest of it is read and dropped.

        Returns:
            One message or more.

        Raises:
            LinkBrokenError: If the connection is closed, fails or delivers an invalid message.
        """
        while True:
            try:
                data = await self._stream.receive()
                messages: list[LinkMessage | DiscardedMessage] = [*self._decoder.feed(data)]
                self._count_incoming()
            except (OSError, WireError) as error:
                raise LinkBrokenError(f"receiving failed: {error}") from error
            if not data:
                raise LinkBrokenError("the other daemon closed the connection")
            messages += self._discarded
            self._discarded.clear()
            if messages:
                return messages

    def send_eof(self) -> None:
        """Ends sending, so that the peer closes the connection after the last message."""
        self._stream.send_eof()

    def close(self) -> None:
        """Closes the connection."""
        self._stream.close()
        self._decoder.clear()
        self._budget.release(self._incoming)
        self._budget.release(self._outgoing)

    def _count_incoming(self) -> None:
        """Accounts for the received part of an incomplete message."""
        grown = self._decoder.pending_bytes - self._incoming.size
        if grown <= 0:
            self._incoming.shrink(-grown)
        elif self._decoder.pending_bytes < _MIN_DISCARDED_BYTES:
            self._incoming.grow(grown)
        elif not self._incoming.try_grow(grown):
            self._discard_incoming()

    def _discard_incoming(self) -> None:
        """Discards the incomplete message, which frees its memory."""
        self._budget.release(self._incoming)
        self._incoming = self._budget.open(self._discard_incoming)
        try:
            self._discarded.append(self._decoder.discard())
        except WireError:
            self.close()
