"""Requests of callers over simulated connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import trio

if TYPE_CHECKING:
    from fulmarstile_testing.lost_search.environment import SimulatedLinks

_DEADLINE_MS: Final = 2_000
_GIVE_UP_S: Final = 3.0


async def send_call(links: SimulatedLinks, address: str, request_id: str) -> int:
    """Sends a request over a new connection.

    Args:
        links: The connections.
        address: Address of a daemon for callers.
        request_id: Id of the request.

    Returns:
        Status of the answer; 0 if there is none.
    """
    stream = await links.open_stream(address)
    head = (
        f"GET /a HTTP/1.1\r\nhost: shop.example\r\nrequest-id: {request_id}\r\n"
        f"time-left-ms: {_DEADLINE_MS}\r\n\r\n"
    )
    received = b""
    with trio.move_on_after(_GIVE_UP_S):
        await stream.send_all(head.encode())
        while b"\r\n\r\n" not in received:
            data = await stream.receive()
            if not data:
                break
            received += data
    stream.close()
    return int(received.split(b" ", 2)[1]) if received else 0
