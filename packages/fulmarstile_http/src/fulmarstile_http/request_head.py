"""Receives request heads that arrive in several reads."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_http.request_checks import MalformedRequestError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HEAD_END: Final = b"\r\n\r\n"
"""Bytes that end a head."""


async def receive_rest_of_head(
    received: bytes, receive: Callable[[], Awaitable[bytes]], limit: int, timeout_s: float
) -> bytes:
    """Receives until a request head is complete.

    Args:
        received: Bytes of the head that have arrived.
        receive: Receives more bytes; returns none at the end of the stream.
        limit: Largest head, in bytes.
        timeout_s: Longest time for the rest, in seconds.

    Returns:
        All bytes that have arrived; the head is incomplete if the other side closed the stream.

    Raises:
        MalformedRequestError: If the head is too large, malformed or too slow.
    """
    with trio.move_on_after(timeout_s):
        while received.find(HEAD_END) < 0:
            # All but the last byte of the end of the head may have arrived, and is not part of it.
            if len(received) - len(HEAD_END) >= limit:
                raise MalformedRequestError("the request head is too large", 431)
            if received[0] <= 0x20 or b"\n\n" in received:
                raise MalformedRequestError("the request head is malformed")
            data = await receive()
            if not data:
                break
            received += data
        return received
    raise MalformedRequestError("the request head arrived too slowly", 408)
