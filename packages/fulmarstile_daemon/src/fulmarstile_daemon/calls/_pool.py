"""Pool of connections to one address."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

from fulmarstile_daemon.calls._client import ClientConnection, ExchangeError, open_connection

if TYPE_CHECKING:
    from fulmarstile_daemon.calls.settings import CallSettings


class PoolExhaustedError(ExchangeError):
    """All connections that may be open to an address are in use."""


class ConnectionPool:
    """Connections to one address, taken in turn so that all of them stay proven.

    Args:
        address: `host:port` of the other side.
        limit: Most connections open at once.
        settings: Settings of the call proxy.
    """

    def __init__(self, address: str, limit: int, settings: CallSettings) -> None:
        self._settings = settings
        self._idle: deque[ClientConnection] = deque()
        self._open = 0
        self.address = address
        """`host:port` of the other side."""
        self.limit = limit
        """Most connections open at once."""

    @property
    def open_count(self) -> int:
        """Connections open or being opened."""
        return self._open

    @property
    def idle_count(self) -> int:
        """Connections open without an exchange."""
        return len(self._idle)

    async def acquire(self) -> ClientConnection:
        """Takes a connection that has answered lately, or opens one.

        Returns:
            A connection for one exchange; hand it back with `release`.

        Raises:
            ExchangeError: If no connection can be had.
        """
        oldest = trio.current_time() - self._settings.fresh_connection_s
        while self._idle:
            connection = self._idle.popleft()
            if connection.last_answer_at >= oldest and connection.is_quiet:
                return connection
            self._close(connection)
        return await self.open()

    def release(self, connection: ClientConnection) -> None:
        """Takes a connection back; it is closed unless its exchange ended whole.

        Args:
            connection: A connection from `acquire`.
        """
        if not connection.is_reusable or self._open > self.limit:
            self._close(connection)
            return
        connection.start_next_exchange(trio.current_time())
        self._idle.append(connection)

    def distrust(self, connection: ClientConnection) -> None:
        """Notes that an exchange got no answer in time.

        Args:
            connection: Its connection; if it had answered before, the others may have gone
                silent with it and are replaced.
        """
        if connection.exchanges:
            self.close_idle()

    def close_idle(self) -> None:
        """Closes the connections without an exchange, because they may have gone silent."""
        while self._idle:
            self._close(self._idle.pop())

    def retire(self) -> None:
        """Closes every connection as soon as its exchange has ended."""
        self.limit = 0
        self.close_idle()

    async def open(self) -> ClientConnection:
        """Opens a connection.

        Returns:
            The connection; hand it back with `release`.

        Raises:
            PoolExhaustedError: If as many as allowed are open.
            ExchangeError: If the connection cannot be opened.
        """
        if self._open >= self.limit:
            raise PoolExhaustedError(f"{self._open} connections to {self.address} are in use")
        self._open += 1
        connection = None
        try:
            with trio.move_on_after(self._settings.connect_timeout_s):
                connection = await open_connection(self.address, self._settings.head_limit)
        finally:
            if connection is None:
                self._open -= 1
        if connection is None:
            raise ExchangeError(f"connecting to {self.address} took too long")
        return connection

    def _close(self, connection: ClientConnection) -> None:
        self._open -= 1
        connection.close()
