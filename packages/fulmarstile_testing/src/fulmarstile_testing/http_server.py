"""Minimal HTTP/1.1 server for the stand-ins."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from typing import Final

import h11
import trio

RECEIVE_BYTES: Final = 65_536
"""Bytes read from a connection at a time."""


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """A whole request."""

    method: str
    target: str
    """Path and query."""
    body: bytes


@dataclass(frozen=True, slots=True)
class ServerResponse:
    """Answer to a request."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


Handler = Callable[[ServerRequest], Awaitable[ServerResponse | None]]
"""Answers a request; None closes the connection without an answer."""


async def serve_http(handler: Handler, listeners: list[trio.SocketListener]) -> None:
    """Serves requests until cancelled.

    Args:
        handler: Answers the requests.
        listeners: Bound listeners.
    """
    await trio.serve_listeners(partial(_serve_connection, handler), listeners)


async def _serve_connection(handler: Handler, stream: trio.SocketStream) -> None:
    connection = h11.Connection(h11.SERVER)
    async with stream:
        try:
            while await _serve_request(handler, stream, connection):
                connection.start_next_cycle()
        except (h11.ProtocolError, trio.BrokenResourceError, trio.ClosedResourceError):
            return


async def _serve_request(
    handler: Handler, stream: trio.SocketStream, connection: h11.Connection
) -> bool:
    request = await _read_request(stream, connection)
    if request is None:
        return False
    response = await handler(request)
    if response is None:
        return False
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
    ]
    data = connection.send(h11.Response(status_code=response.status, headers=headers))
    data += connection.send(h11.Data(data=response.body))
    data += connection.send(h11.EndOfMessage())
    await stream.send_all(data)
    return connection.our_state is h11.DONE and connection.their_state is h11.DONE


async def _read_request(
    stream: trio.SocketStream, connection: h11.Connection
) -> ServerRequest | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(RECEIVE_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return ServerRequest(head.method.decode(), head.target.decode(), bytes(body))
        else:
            return None
