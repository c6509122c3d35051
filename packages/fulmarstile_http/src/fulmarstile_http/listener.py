"""Listening sockets."""

from __future__ import annotations

import socket
from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_http.byte_stream import OUT_OF_DESCRIPTORS, ByteStream, set_socket_options

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

_BACKLOG: Final = 1024
_ACCEPT_PAUSE_S: Final = 0.05
"""Pause before the next accept after `OutOfDescriptorsError`, in seconds."""
_SEND_TIMEOUT_S: Final = 30.0
"""Longest time for which a client may accept no part of its response, in seconds."""


class OutOfDescriptorsError(OSError):
    """The process has too many files open, or too little memory, for another connection."""


class ConnectionListener:
    """Accepts connections.

    Args:
        sock: Listening socket.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock

    @property
    def address(self) -> str:
        """`host:port` of the listening socket."""
        host, port = self._socket.getsockname()[:2]
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    async def accept(self) -> ByteStream:
        """Waits for the next connection.

        Returns:
            The accepted stream.

        Raises:
            OutOfDescriptorsError: If the process has too many files open or too little memory.
        """
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            try:
                accepted, _ = self._socket.accept()
            except OSError as error:
                if error.errno in OUT_OF_DESCRIPTORS:
                    raise OutOfDescriptorsError(error.errno, "cannot accept") from error
                continue
            accepted.setblocking(False)
            return ByteStream(accepted, _SEND_TIMEOUT_S)

    def accept_pending(self) -> list[ByteStream]:
        """Accepts the connections in the backlog, without waiting for more.

        No more than fit into it, because clients may connect faster than that.

        Returns:
            The accepted streams.
        """
        streams = []
        with suppress(OSError):
            # Linux holds one connection more than the length of the backlog.
            for _ in range(_BACKLOG + 1):
                accepted, _ = self._socket.accept()
                accepted.setblocking(False)
                streams.append(ByteStream(accepted, _SEND_TIMEOUT_S))
        return streams

    def close(self) -> None:
        """Stops listening; does nothing if the socket is already closed."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()


async def accept_forever(
    listener: ConnectionListener,
    nursery: trio.Nursery,
    serve: Callable[[ByteStream], Awaitable[None]],
    on_exhausted: Callable[[OutOfDescriptorsError], None],
    wait_for_room: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Serves each connection in its own task, until cancelled.

    Args:
        listener: Listener that accepts the connections.
        nursery: Runs the tasks.
        serve: Serves one connection.
        on_exhausted: Called when the process cannot open another connection.
        wait_for_room: Waits until another connection may be accepted; by default none waits.
    """
    while True:
        if wait_for_room is not None:
            await wait_for_room()
        try:
            stream = await listener.accept()
        except OutOfDescriptorsError as error:
            on_exhausted(error)
            await trio.sleep(_ACCEPT_PAUSE_S)
            continue
        nursery.start_soon(serve, stream)


@contextmanager
def listen(address: str, *, peer_may_read_late: bool = False) -> Iterator[ConnectionListener]:
    """Listens at an address until the context ends.

    Args:
        address: `host:port` with an IP address; port 0 takes any free port.
        peer_may_read_late: See `set_socket_options`; applies to the accepted connections.

    Yields:
        The listener.

    Raises:
        OSError: If listening at the address fails.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.create_server((host, int(port)), family=family, backlog=_BACKLOG)
    sock.setblocking(False)
    set_socket_options(sock, peer_may_read_late=peer_may_read_late)
    listener = ConnectionListener(sock)
    try:
        yield listener
    finally:
        listener.close()
