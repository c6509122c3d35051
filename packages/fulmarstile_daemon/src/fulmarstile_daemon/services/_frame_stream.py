"""Messages over one connection between two daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_wire.errors import FulmarstileError, WireError
from fulmarstile_wire.services import FrameDecoder, encode_frame

if TYPE_CHECKING:
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_wire.services import LinkMessage

_MAX_UNSENT_BYTES: Final = 48 * 1024 * 1024
"""Bytes that wait to be sent before a connection is given up."""


class LinkBrokenError(FulmarstileError):
    """The connection to another daemon ended or broke."""


class FrameStream:
    """Sends and receives messages.

    Sending never waits: what the kernel does not take at once is sent by `send_forever`.

    Args:
        stream: Connected stream, owned by this object from now on.
    """

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._decoder = FrameDecoder()
        self._unsent = bytearray()
        self._has_unsent = trio.Event()

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed on this side."""
        return self._stream.is_closed

    def send(self, message: LinkMessage) -> None:
        """Sends a message.

        Args:
            message: The message.

        Raises:
            LinkBrokenError: If the connection is broken or takes too little.
        """
        data = encode_frame(message)
        if self._stream.is_closed:
            raise LinkBrokenError("the connection is closed")
        if self._unsent:
            self._unsent += data
        else:
            try:
                sent = self._stream.send_now(data)
            except OSError as error:
                raise LinkBrokenError(f"sending failed: {error}") from error
            self._unsent += data[sent:]
        if len(self._unsent) > _MAX_UNSENT_BYTES:
            self.close()
            raise LinkBrokenError("the other daemon takes too little")
        if self._unsent:
            self._has_unsent.set()

    async def send_forever(self) -> None:
        """Sends what could not be sent at once, until the connection ends.

        Raises:
            LinkBrokenError: If the connection is broken.
        """
        while True:
            await self._has_unsent.wait()
            try:
                await self._stream.wait_writable()
                sent = self._stream.send_now(self._unsent)
            except (OSError, trio.ClosedResourceError) as error:
                raise LinkBrokenError(f"sending failed: {error}") from error
            del self._unsent[:sent]
            if not self._unsent:
                self._has_unsent = trio.Event()

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
            except (OSError, trio.ClosedResourceError, WireError) as error:
                raise LinkBrokenError(f"receiving failed: {error}") from error
            if not data:
                raise LinkBrokenError("the other daemon closed the connection")
            if messages:
                return messages

    def close(self) -> None:
        """Closes the connection."""
        self._stream.close()
