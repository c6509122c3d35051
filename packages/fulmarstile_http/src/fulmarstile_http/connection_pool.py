"""Pool of connections to one address."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Protocol

import trio

from fulmarstile_http.client_connection import (
    ClientConnection,
    ExchangeError,
    LocalLimitError,
    open_connection,
)


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
        """Time since its last response after which a connection is not reused, in seconds."""
        ...


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits of the connections of one pool."""

    head_limit: int = 64 * 1024
    connect_timeout_s: float = 0.5
    fresh_connection_s: float = 4.0


class PoolExhaustedError(LocalLimitError):
    """The maximum number of connections to an address is open already."""


class ConnectionPool:
    """Connections to one address, reused in rotation so that each one is used regularly.

    Args:
        address: `host:port` of the other side.
        limit: Maximum number of open connections.
        settings: Limits of the connections.
        peer_may_read_late: Whether the other side may leave a request unread for long.
    """

    def __init__(
        self,
        address: str,
        limit: int,
        settings: ConnectionSettings,
        *,
        peer_may_read_late: bool = False,
    ) -> None:
        self._settings = settings
        self._peer_may_read_late = peer_may_read_late
        self._idle: deque[ClientConnection] = deque()
        self._in_use: dict[ClientConnection, None] = {}
        self._open = 0
        self.address = address
        """`host:port` of the other side."""
        self.limit = limit
        """Maximum number of open connections."""

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return self._open

    @property
    def idle_count(self) -> int:
        """Number of open connections without an exchange."""
        return len(self._idle)

    async def acquire(self, fresh_s: float = math.inf) -> ClientConnection:
        """Returns an idle connection that has answered recently, or opens one.

        Args:
            fresh_s: Time since its last response after which a connection is not reused, in
                seconds; applies if it is shorter than the pool's `fresh_connection_s`.

        Returns:
            A connection for one exchange, to be returned with `release` or `discard`.

        Raises:
            ExchangeError: If no connection is available.
        """
        now = trio.current_time()
        fresh_s = min(fresh_s, self._settings.fresh_connection_s)
        while self._idle:
            connection = self._idle.popleft()
            age_s = now - connection.last_answer_at
            if age_s <= min(fresh_s, connection.idle_limit_s) and connection.is_open_without_input:
                self._in_use[connection] = None
                return connection
            self._close(connection)
        return await self.open()

    def release(self, connection: ClientConnection) -> None:
        """Returns a connection to the pool; closes it unless its exchange is complete.

        Args:
            connection: A connection from `acquire`.
        """
        if not connection.is_reusable or self._open > self.limit:
            self._close(connection)
            return
        connection.start_next_exchange(trio.current_time())
        self._in_use.pop(connection, None)
        self._idle.append(connection)

    def discard(self, connection: ClientConnection) -> None:
        """Closes a connection instead of returning it to the pool.

        Args:
            connection: A connection from `acquire`.
        """
        self._close(connection)

    def report_timeout(self, connection: ClientConnection) -> None:
        """Reports that an exchange timed out.

        Args:
            connection: Connection of the exchange; if it has answered before, the idle
                connections may be dead as well and are closed.
        """
        if connection.exchanges:
            self.close_idle()

    def close_idle(self) -> None:
        """Closes the idle connections, for example when they may be dead."""
        while self._idle:
            self._close(self._idle.pop())

    def resize(self, limit: int) -> None:
        """Changes the maximum number of connections, and closes idle ones beyond it.

        Args:
            limit: The number; connections in use stay open until their exchange ends.
        """
        self.limit = limit
        while self._idle and self._open > limit:
            self._close(self._idle.popleft())

    def retire(self) -> None:
        """Closes the idle connections now and the others when their exchanges end."""
        self.resize(0)

    async def open(self) -> ClientConnection:
        """Opens a connection.

        Returns:
            The connection, to be returned with `release` or `discard`.

        Raises:
            PoolExhaustedError: If the maximum number of connections is open.
            ExchangeError: If the connection cannot be opened.
        """
        if self._open >= self.limit:
            raise PoolExhaustedError(f"{self._open} connections to {self.address} are in use")
        self._open += 1
        connection = None
        try:
            with trio.move_on_after(self._settings.connect_timeout_s):
                connection = await open_connection(
                    self.address,
                    self._settings.head_limit,
                    peer_may_read_late=self._peer_may_read_late,
                )
        finally:
            if connection is None:
                self._open -= 1
        if connection is None:
            raise ExchangeError(f"connecting to {self.address} timed out")
        self._in_use[connection] = None
        return connection

    async def refuses_connections(self) -> bool:
        """Checks whether the other side refuses new connections.

        Returns:
            False also if this process can open none.
        """
        try:
            connection = await self.open()
        except LocalLimitError:
            return False
        except ExchangeError:
            return True
        self.release(connection)
        return False

    def allow_late_readers(self, now: float) -> None:
        """Keeps the connections in use whose other side is alive but reads late.

        To be called every `STALLED_CHECK_INTERVAL_S`.

        Args:
            now: The current time, in seconds.
        """
        for connection in self._in_use:
            connection.allow_late_reader(now)

    def _close(self, connection: ClientConnection) -> None:
        self._open -= 1
        self._in_use.pop(connection, None)
        connection.close()
