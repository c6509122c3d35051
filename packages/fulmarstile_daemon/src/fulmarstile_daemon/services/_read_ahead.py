"""Limit of what is read from a connection behind a request without a response."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_http.byte_stream import READ_SIZE
from fulmarstile_http.request_checks import MalformedRequestError

if TYPE_CHECKING:
    from fulmarstile_daemon.services._byte_budget import ByteBudget

READ_AHEAD_REQUESTS: Final = 8
"""Maximum number of requests read behind the one whose response is next."""
READ_AHEAD_BYTES: Final = 64 * 1024
"""Maximum number of bytes read behind the request whose response is next."""


class ReadAhead:
    """Counts the bytes read ahead on one connection and reserves them in the memory limit.

    Args:
        budget: Memory limit for messages.
    """

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._changed = trio.Event()
        self.held_bytes = 0
        """Bytes reserved for requests read ahead, whole or in part."""
        self.is_next = False
        """Whether the response to the request being read is the next one."""

    @property
    def has_memory(self) -> bool:
        """Whether the memory limit has room for all that may be read ahead."""
        return self._budget.has_room_for_caller(READ_AHEAD_BYTES - self.held_bytes)

    def try_hold(self, size: int) -> bool:
        """Reserves memory for bytes read ahead.

        Args:
            size: Number of bytes.

        Returns:
            Whether the memory was reserved.
        """
        if not self._budget.try_reserve_for_caller(size):
            return False
        self.held_bytes += size
        return True

    def hold(self, size: int) -> None:
        """Reserves memory for bytes that were read.

        Args:
            size: Number of bytes.

        Raises:
            MalformedRequestError: If there is not enough memory.
        """
        if not self.try_hold(size):
            raise MalformedRequestError("too many large requests are held", 503)

    def pass_on(self, size: int) -> None:
        """Stops counting a request whose response is next; its memory stays reserved."""
        self.held_bytes -= size

    def release(self, size: int) -> None:
        """Returns memory to the budget.

        Args:
            size: Number of bytes that were held.
        """
        self._budget.release_for_caller(size)
        self.held_bytes -= size

    def release_all(self) -> None:
        """Returns all memory to the budget."""
        self.release(self.held_bytes)

    def notify(self) -> None:
        """Wakes the tasks that wait for a change."""
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def wait_changed(self) -> None:
        """Waits for the next call of `notify`."""
        await self._changed.wait()

    async def wait_for_room(self) -> int:
        """Waits until bytes may be read.

        Returns:
            Maximum number of bytes to read.
        """
        while not self.is_next and (self.held_bytes >= READ_AHEAD_BYTES or not self.has_memory):
            await self._changed.wait()
        return READ_SIZE if self.is_next else READ_AHEAD_BYTES - self.held_bytes

    async def wait_next(self) -> None:
        """Waits until the response to the request being read is the next one."""
        while not self.is_next:
            await self._changed.wait()
