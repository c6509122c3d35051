"""Messages on their way from or to clients, and which of them gives way to others."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

_STALL_S: Final = 1.0
"""Time without progress from which a message gives way to others, in seconds."""
_PROGRESS_BYTES: Final = 16 * 1024
"""Bytes that count as progress, so that a trickle does not."""

READY_FACTOR: Final = 2
"""Multiple of a limit from which data that must be sent makes any waiting message give way."""


class Transfer:
    """A message that waits for its client to send or to read more of it.

    Args:
        held_bytes: Returns the memory that is reserved for it, in bytes.
        drop: Drops it, and returns its memory at once.
    """

    __slots__ = ("_drop", "_held_bytes", "_moved_bytes", "moved_at")

    def __init__(self, held_bytes: Callable[[], int], drop: Callable[[], None]) -> None:
        self._held_bytes = held_bytes
        self._drop = drop
        self._moved_bytes = 0
        self.moved_at = trio.current_time()
        """Time of the last progress, in seconds."""

    @property
    def held_bytes(self) -> int:
        """Memory that is reserved for it, in bytes."""
        return self._held_bytes()

    def on_moved(self, size: int) -> None:
        """Records progress.

        Args:
            size: Bytes received or sent.
        """
        self._moved_bytes += size
        if self._moved_bytes >= _PROGRESS_BYTES:
            self._moved_bytes = 0
            self.moved_at = trio.current_time()

    def is_stalled(self, now: float) -> bool:
        """Checks whether it has made no progress for long, at a time in seconds."""
        return now - self.moved_at >= _STALL_S

    def drop(self) -> None:
        """Drops it, and returns its memory at once."""
        self._drop()


class Transfers:
    """Messages that wait for their clients, on all connections."""

    def __init__(self) -> None:
        self._waiting: dict[Transfer, None] = {}

    @contextmanager
    def track(self, transfer: Transfer) -> Iterator[None]:
        """Lets a message give way to others while the context is open."""
        self._waiting[transfer] = None
        try:
            yield
        finally:
            self._waiting.pop(transfer, None)

    def drop_stalled(self) -> bool:
        """Drops the message that holds most memory of those without progress.

        Returns:
            Whether there was one.
        """
        stalled = [each for each in self._find_stalled() if each.held_bytes]
        if not stalled:
            return False
        self._drop(max(stalled, key=lambda transfer: transfer.held_bytes))
        return True

    def drop_longest_stalled(self) -> bool:
        """Drops the message that has made no progress for the longest time.

        Returns:
            Whether there was one.
        """
        return self._drop_slowest_of(self._find_stalled())

    def drop_slowest(self) -> bool:
        """Drops the message whose last progress is longest ago, however short that is.

        Returns:
            Whether there was one.
        """
        return self._drop_slowest_of([each for each in self._waiting if each.held_bytes])

    def _drop_slowest_of(self, transfers: list[Transfer]) -> bool:
        if not transfers:
            return False
        self._drop(min(transfers, key=lambda transfer: transfer.moved_at))
        return True

    def _find_stalled(self) -> list[Transfer]:
        if not self._waiting:
            return []
        now = trio.current_time()
        return [each for each in self._waiting if each.is_stalled(now)]

    def _drop(self, transfer: Transfer) -> None:
        del self._waiting[transfer]
        transfer.drop()
