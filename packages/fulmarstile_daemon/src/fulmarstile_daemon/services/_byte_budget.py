"""Bound of the memory that messages take which a daemon holds for others."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

_MESSAGE_SHARE: Final = 0.5
"""Part of the budget that one message may take, and that callers' requests may take together."""


class Holding:
    """Bytes of one message.

    Args:
        budget: Budget that they are taken from.
        cut: Ends the message at once, so that its memory is free; None if it must not be cut.
    """

    __slots__ = ("_budget", "cut", "is_cut", "size")

    def __init__(self, budget: ByteBudget, cut: Callable[[], None] | None) -> None:
        self._budget = budget
        self.cut = cut
        self.is_cut = False
        """Whether the message was ended for the sake of others."""
        self.size = 0
        """Bytes taken."""

    def take(self, size: int) -> bool:
        """Takes room for more of the message.

        Args:
            size: Bytes of which there will be more.

        Returns:
            Whether there is room; the message must end otherwise.
        """
        return self._budget.take(self, size)

    def take_ready(self, size: int) -> None:
        """Takes room for what is there already and will be delivered in any case."""
        self._budget.add(self, size)

    def give_back(self, size: int) -> None:
        """Gives back room of what has left; none is left once the message was released."""
        self._budget.add(self, -min(size, self.size))


class ByteBudget:
    """Counts the bytes that are held, over all connections.

    When there is no room, the largest message that may be cut gives way, so that one that grows
    without end does not take the room of the others.

    Args:
        limit: Most bytes held at a time.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held = 0
        self._held_by_callers = 0
        self._holdings: dict[Holding, None] = {}
        self.cut_messages = 0
        """Messages that were ended because they were too large or the largest."""

    @property
    def held(self) -> int:
        """Bytes held."""
        return self._held

    @property
    def message_limit(self) -> int:
        """Most bytes of one message."""
        return int(self._limit * _MESSAGE_SHARE)

    @contextmanager
    def hold(self, cut: Callable[[], None] | None = None) -> Iterator[Holding]:
        """Counts the bytes of a message until it is released.

        Args:
            cut: Ends the message when its room is needed; None if it must not be cut.

        Yields:
            The bytes of the message, none at first.
        """
        holding = self.open(cut)
        try:
            yield holding
        finally:
            self.release(holding)

    def open(self, cut: Callable[[], None] | None = None) -> Holding:
        """Begins to count the bytes of a message, or of one after the other.

        Args:
            cut: See `hold`.

        Returns:
            The bytes; hand them to `release`.
        """
        holding = Holding(self, cut)
        self._holdings[holding] = None
        return holding

    def release(self, holding: Holding) -> None:
        """Gives back all bytes of a message; a second call changes nothing."""
        self.add(holding, -holding.size)
        self._holdings.pop(holding, None)

    def take_for_caller(self, size: int) -> bool:
        """Takes room for a part of a caller's request.

        Args:
            size: Its size in bytes.

        Returns:
            Whether there was room; all requests of callers together have a part of the budget.
        """
        if self._held_by_callers + size > self.message_limit or self._held + size > self._limit:
            return False
        self._held += size
        self._held_by_callers += size
        return True

    def give_back_for_caller(self, size: int) -> None:
        """Gives back room that `take_for_caller` took."""
        self._held -= size
        self._held_by_callers -= size

    def take(self, holding: Holding, size: int) -> bool:
        """See `Holding.take`."""
        if holding.is_cut:
            return False
        wanted = holding.size + size
        if wanted > self.message_limit or not self._make_room(size, wanted):
            self.cut_messages += 1
            return False
        self.add(holding, size)
        return True

    def add(self, holding: Holding, size: int) -> None:
        """Changes the bytes of a message, whether there is room or not."""
        holding.size += size
        self._held += size

    def _make_room(self, size: int, wanted: int) -> bool:
        """Cuts messages that are larger than one wants to be, until it has room."""
        while self._held + size > self._limit:
            largest = max(
                (each for each in self._holdings if each.cut is not None and not each.is_cut),
                key=lambda each: each.size,
                default=None,
            )
            if largest is None or largest.cut is None or largest.size <= wanted:
                return False
            largest.is_cut = True
            self.cut_messages += 1
            largest.cut()
            self.add(largest, -largest.size)
        return True
