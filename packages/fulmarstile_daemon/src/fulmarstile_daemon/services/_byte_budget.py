"""Bound of the memory that request bodies take."""

from __future__ import annotations


class BodyBudget:
    """Counts the bytes of the bodies that are held, over all connections.

    Args:
        limit: Most bytes held at a time.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held = 0

    @property
    def held(self) -> int:
        """Bytes held."""
        return self._held

    def take(self, size: int) -> bool:
        """Takes room for a part of a body.

        Args:
            size: Its size in bytes.

        Returns:
            Whether there was room; one body may always be held.
        """
        if self._held and self._held + size > self._limit:
            return False
        self._held += size
        return True

    def give_back(self, size: int) -> None:
        """Gives back room that was taken."""
        self._held -= size
