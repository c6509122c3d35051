"""Relay of TCP connections that can make open ones go silent."""

from __future__ import annotations

import trio

_RECEIVE_BYTES = 65_536


class TcpRelay:
    """Forwards connections to one address.

    Connections that were open when `silence` was called stay open but carry nothing any more,
    as if something between the two ends had lost track of them; new ones work.

    Args:
        target: `host:port` to forward to.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._generation = 0
        self._accepted = 0

    @property
    def accepted(self) -> int:
        """Number of connections accepted since the start."""
        return self._accepted

    def silence(self) -> None:
        """Makes every open connection silent."""
        self._generation += 1

    async def serve(self, address: str) -> None:
        """Forwards connections until cancelled.

        Args:
            address: `host:port` to listen at.
        """
        host, _, port = address.rpartition(":")
        await trio.serve_tcp(self._forward, int(port), host=host)

    async def _forward(self, source: trio.SocketStream) -> None:
        self._accepted += 1
        host, _, port = self._target.rpartition(":")
        try:
            target = await trio.open_tcp_stream(host, int(port))
            async with source, target, trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, source, target, nursery.cancel_scope)
                nursery.start_soon(self._copy, target, source, nursery.cancel_scope)
        except OSError:
            return

    async def _copy(
        self, source: trio.SocketStream, target: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        generation = self._generation
        try:
            while data := await source.receive_some(_RECEIVE_BYTES):
                if generation == self._generation:
                    await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        if generation == self._generation:
            scope.cancel()
