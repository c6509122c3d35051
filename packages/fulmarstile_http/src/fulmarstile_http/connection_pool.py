"""Pool of connections to one address."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Protocol

import trio

from fulmarstile_http.client_connection import ClientConnection, ExchangeError, open_connection


class ConnectionSettings(Protocol):
    """Limits of the connections of a pool."""

    @property
    def head_limit(self) -> int:
        """Largest response head, in bytes."""
        ...

    @property
    def connect_timeout_s(self) -> float:
        """Longest time to open a connection, in seconds."""
        ...

    @property
    def fresh_connection_s(self) -> float:
        """Age of the last answer beyond which a connection counts as unproven, in seconds."""
        ...


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits of the connections of one pool."""

    head_limit: int = 64 * 1024
    connect_timeout_s: float = 0.5
    fresh_connection_s: float = 4.0


class PoolExhaustedError(ExchangeError):
    """All connections that may be open to an address are in use."""


class ConnectionPool:
    """Connections to one address, taken in turn so that all of them stay proven.

    Args:
        address: `host:port` of the other side.
        limit: Most connections open at once.
        settings: Limits of the connections.
    """

    def __init__(self, address: str, limit: int, settings: ConnectionSettings) -> None:
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

    async def acquire(self, fresh_s: float = math.inf) -> ClientConnection:
        """Takes a connection that has answered lately, or opens one.

        Args:
            fresh_s: Age of the last answer beyond which a connection is not taken, in seconds,
                where this is shorter than the pool's own limit.

        Returns:
            A connection for one exchange; hand it back with `release`.

        Raises:
            ExchangeError: If no connection can be had.
        """
        now = trio.current_time()
        fresh_s = min(fresh_s, self._settings.fresh_connection_s)
        while self._idle:
            connection = self._idle.popleft()
            age_s = now - connection.last_answer_at
            if age_s <= min(fresh_s, connection.idle_limit_s) and connection.is_open_without_input:
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

    def discard(self, connection: ClientConnection) -> None:
        """Takes a connection back and closes it.

        Args:
            connection: A connection from `acquire`.
        """
        self._close(connection)

    def report_timeout(self, connection: ClientConnection) -> None:
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
