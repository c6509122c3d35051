"""Bound of the memory that the clients of HTTP servers make a process hold."""

from __future__ import annotations

import logging
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_http.transfers import READY_FACTOR, Transfer, Transfers

if TYPE_CHECKING:
    from collections.abc import Iterator

_LOGGER: Final = logging.getLogger(__name__)

SMALL_MESSAGE_BYTES: Final = 4 * 1024
"""Size up to which a message is not counted, so that it finds room beside large ones."""

_LOG_INTERVAL_S: Final = 10.0
"""Shortest time between two log lines about messages without room, in seconds."""


class HeldMessage:
    """A body or an answer that is held in memory.

    Args:
        memory: Memory that it is reserved in.
    """

    __slots__ = ("_memory", "_reserved_bytes", "_scope", "_size", "_transfer", "has_given_way")

    def __init__(self, memory: MessageMemory) -> None:
        self._memory = memory
        self._reserved_bytes = 0
        self._scope = trio.CancelScope()
        self._size = 0
        self._transfer = Transfer(lambda: self._reserved_bytes, self._give_way)
        self.has_given_way = False
        """Whether others needed its memory, so that it must not be held any longer."""

    def try_grow(self, size: int) -> bool:
        """Reserves room for more of it.

        Args:
            size: Additional bytes.

        Returns:
            Whether there is room.
        """
        self._size += size
        grown = self._size - self._reserved_bytes
        if self._size <= SMALL_MESSAGE_BYTES:
            return True
        if not self._memory.try_reserve(grown, self._reserved_bytes):
            return False
        self._reserved_bytes += grown
        return True

    def grow(self, size: int) -> None:
        """Reserves room for more of it regardless of the limit, for data that must be sent.

        Args:
            size: Additional bytes.
        """
        self._size += size
        if self._size > SMALL_MESSAGE_BYTES:
            self._memory.reserve_ready(self._size - self._reserved_bytes)
            self._reserved_bytes = self._size

    def on_moved(self, size: int) -> None:
        """Records progress.

        Args:
            size: Bytes received or sent.
        """
        self._transfer.on_moved(size)

    @contextmanager
    def wait_for_client(self) -> Iterator[None]:
        """Lets the message give way to others while the context is open, which it then ends."""
        self._scope = trio.CancelScope()
        with self._memory.transfers.track(self._transfer), self._scope:
            yield

    def release(self) -> None:
        """Returns its memory; idempotent."""
        self._memory.release(self._reserved_bytes)
        self._reserved_bytes = self._size = 0

    def _give_way(self) -> None:
        self.has_given_way = True
        self.release()
        self._scope.cancel()


class MessageMemory:
    """Bounds the bodies and answers that the servers of a process hold at the same time.

    A message that is alone always finds room. A message whose client neither sends nor reads gives
    way to others, the largest first.

    Args:
        limit: Maximum number of bytes of all messages together.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._used_bytes = 0
        self._logged_at = float("-inf")
        self._unlogged = 0
        self.transfers = Transfers()
        """Messages that wait for their clients."""
        self.cut_messages = 0
        """Messages refused or dropped because there was no room."""

    @property
    def used_bytes(self) -> int:
        """Bytes in use."""
        return self._used_bytes

    def open(self) -> HeldMessage:
        """Returns a message that is accounted for until it is released."""
        return HeldMessage(self)

    @contextmanager
    def hold(self) -> Iterator[HeldMessage]:
        """Accounts for a message while the context is open."""
        message = self.open()
        try:
            yield message
        finally:
            message.release()

    def try_reserve(self, size: int, reserved_bytes: int) -> bool:
        """Reserves memory for a part of a message.

        Args:
            size: Size of the part in bytes.
            reserved_bytes: Bytes reserved for the message before.

        Returns:
            Whether the memory was reserved.
        """
        while self._used_bytes + size > self._limit and self._used_bytes > reserved_bytes:
            if not self._drop_stalled():
                self._on_cut("refused a message: the others leave no room for it")
                return False
        self._used_bytes += size
        return True

    def reserve_ready(self, size: int) -> None:
        """Reserves memory for data that must be sent, in place of messages without progress.

        Args:
            size: Size of the data in bytes.
        """
        while self._used_bytes + size > self._limit and self._drop_stalled():
            pass
        # Many clients that begin to read slowly at the same time have not stalled yet.
        limit = READY_FACTOR * self._limit
        while self._used_bytes + size > limit and self.transfers.drop_slowest():
            self._on_cut("dropped the message that waits longest for its client")
        self._used_bytes += size

    def release(self, size: int) -> None:
        """Returns memory that `try_reserve` reserved."""
        self._used_bytes -= size

    def _drop_stalled(self) -> bool:
        """Drops the largest message without progress; returns whether there was one."""
        if not self.transfers.drop_stalled():
            return False
        self._on_cut("dropped a message whose client sends or reads too slowly")
        return True

    def _on_cut(self, event: str) -> None:
        """Counts a message without room, and logs it at most once in an interval."""
        self.cut_messages += 1
        self._unlogged += 1
        now = trio.current_time()
        if now - self._logged_at >= _LOG_INTERVAL_S:
            _LOGGER.warning("%s (%d such messages since the last line)", event, self._unlogged)
            self._logged_at, self._unlogged = now, 0
