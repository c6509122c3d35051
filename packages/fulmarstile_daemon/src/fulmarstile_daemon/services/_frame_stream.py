"""Messages over one connection between two daemons."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

from fulmarstile_wire.errors import FulmarstileError, WireError
from fulmarstile_wire.services import FrameDecoder, encode_frame

if TYPE_CHECKING:
    from fulmarstile_daemon.services._byte_budget import ByteBudget
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_wire.services import LinkMessage


class LinkBrokenError(FulmarstileError):
    """The connection to another daemon ended or broke."""


class OutgoingFrame:
    """A message on its way out.

    Args:
        data: The whole message as it is sent.
    """

    __slots__ = ("_size", "unsent")

    def __init__(self, data: bytes) -> None:
        self._size = len(data)
        self.unsent = memoryview(data)
        """What the kernel has not taken yet."""

    @property
    def is_untouched(self) -> bool:
        """Whether the kernel has taken nothing of it."""
        return len(self.unsent) == self._size

    @property
    def is_sent(self) -> bool:
        """Whether the kernel has taken all of it, so that the other side may read it."""
        return not self.unsent


class FrameStream:
    """Sends and receives messages.

    Sending never waits: what the kernel does not take at once is sent by `send_forever`.

    Args:
        stream: Connected stream, owned by this object from now on.
        budget: Bound of the memory that messages take which arrive or wait to be sent.
    """

    def __init__(self, stream: ByteStream, budget: ByteBudget) -> None:
        self._stream = stream
        self._budget = budget
        self._decoder = FrameDecoder(budget.message_limit)
        self._incoming = budget.open(self.close)
        self._outgoing = budget.open()
        self._unsent: deque[OutgoingFrame] = deque()
        self._has_unsent = trio.Event()

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed on this side."""
        return self._stream.is_closed

    @property
    def has_unsent(self) -> bool:
        """Whether messages wait for the kernel to take them."""
        return bool(self._unsent)

    def send(self, message: LinkMessage) -> OutgoingFrame:
        """Sends a message.

        Args:
            message: The message.

        Returns:
            The message on its way.

        Raises:
            LinkBrokenError: If the connection is broken or takes too little.
        """
        frame = OutgoingFrame(encode_frame(message))
        if self._stream.is_closed:
            raise LinkBrokenError("the connection is closed")
        if not self._unsent:
            self._push(frame)
        if frame.unsent:
            self._unsent.append(frame)
            self._outgoing.take_ready(len(frame.unsent))
            self._has_unsent.set()
        if self._outgoing.size > self._budget.message_limit:
            self.close()
            raise LinkBrokenError("the other daemon takes too little")
        return frame

    def drop(self, frame: OutgoingFrame) -> bool:
        """Drops a message of which nothing was sent.

        Args:
            frame: The message.

        Returns:
            Whether it was dropped; False if the other side may get it.
        """
        if not frame.is_untouched or frame not in self._unsent:
            return False
        self._unsent.remove(frame)
        self._outgoing.give_back(len(frame.unsent))
        return True

    async def send_forever(self) -> None:
        """Sends what could not be sent at once, until the connection ends.

        Raises:
            LinkBrokenError: If the connection is broken.
        """
        while True:
            await self._has_unsent.wait()
            try:
                await self._stream.wait_writable()
            except OSError as error:
                raise LinkBrokenError(f"sending failed: {error}") from error
            while self._unsent:
                frame = self._unsent[0]
                self._outgoing.give_back(self._push(frame))
                if frame.unsent:
                    break
                self._unsent.popleft()
            else:
                self._has_unsent = trio.Event()

    def _push(self, frame: OutgoingFrame) -> int:
        """Hands the kernel as much of a message as it takes, and returns how much that was."""
        try:
            sent = self._stream.send_nowait(frame.unsent)
        except OSError as error:
            raise LinkBrokenError(f"sending failed: {error}") from error
        frame.unsent = frame.unsent[sent:]
        return sent

    async def receive(self) -> list[LinkMessage]:
        """Receives messages.

        Returns:
            One message or more.

        Raises:
            LinkBrokenError: If the connection ended or what arrives is no message.
        """
        while True:
            try:
                data = await self._stream.receive()
                messages = self._decoder.feed(data)
            except (OSError, WireError) as error:
                raise LinkBrokenError(f"receiving failed: {error}") from error
            if not data:
                raise LinkBrokenError("the other daemon closed the connection")
            self._count_incoming()
            if messages:
                return messages

    def close(self) -> None:
        """Closes the connection."""
        self._stream.close()
        self._budget.release(self._incoming)
        self._budget.release(self._outgoing)

    def _count_incoming(self) -> None:
        """Counts what has arrived of a message that is not whole."""
        grown = self._decoder.pending_bytes - self._incoming.size
        if grown <= 0:
            self._incoming.give_back(-grown)
        elif not self._incoming.take(grown):
            raise LinkBrokenError("receiving failed: there is no memory for a message")
