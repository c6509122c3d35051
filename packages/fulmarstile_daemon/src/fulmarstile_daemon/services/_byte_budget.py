"""Memory limit for the messages that a daemon buffers."""

from __future__ import annotations

import logging
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

from fulmarstile_http.transfers import READY_FACTOR, Transfers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fulmarstile_daemon.services.metrics import ServiceMetrics

_LOGGER: Final = logging.getLogger(__name__)

_MESSAGE_SHARE: Final = 0.5
"""Maximum share of the budget for a single message, and for all callers' requests together."""

_SMALL_MESSAGE_BYTES: Final = 16 * 1024
"""Largest size of a message that finds room in the reserve."""
_RESERVE_SHARE: Final = 1 / 16
"""Share of the budget that large messages and callers' requests leave to small messages, such as
the answers of upstreams that have done their work."""

_COPIES: Final = 3
"""Times that a message exists at most for a moment, while it is joined and encoded."""
_MIN_LARGE_SHARE: Final = 0.5
"""Fraction of the limit of one message from which a request may be the large one."""
_LARGE_COPIES: Final = 2
"""Times that a large request exists at most: it is not joined."""

_SCARCE_SHARE: Final = 0.5
"""Share of the budget in use above which memory is scarce."""


class Allocation:
    """Memory accounted to one message.

    Args:
        budget: Budget that the memory is taken from.
        abort: Aborts the message at once, which frees its memory; None if it must not be aborted.
    """

    __slots__ = ("_budget", "abort", "is_aborted", "size")

    def __init__(self, budget: ByteBudget, abort: Callable[[], None] | None) -> None:
        self._budget = budget
        self.abort = abort
        self.is_aborted = False
        """Whether the message was aborted to free memory for others."""
        self.size = 0
        """Memory currently allocated to the message, in bytes."""

    def try_grow(self, size: int) -> bool:
        """Grows the allocation if the budget allows it.

        Args:
            size: Additional bytes.

        Returns:
            Whether the memory was granted; if not, the message must be dropped.
        """
        return self._budget.try_grow(self, size)

    def try_grow_large(self, size: int) -> bool:
        """Grows the allocation beyond the limit of one message if no other one exceeds it.

        Args:
            size: Additional bytes.

        Returns:
            Whether the memory was granted; if not, the message must be dropped.
        """
        return self._budget.try_grow_large(self, size)

    def try_grow_call(self, size: int, whole: int) -> bool:
        """Grows the allocation of a forwarded request, which may exceed the limit of one message.

        Args:
            size: Additional bytes.
            whole: Size of the whole request, in bytes.

        Returns:
            Whether the memory was granted; if not, the request must be dropped.
        """
        if self.is_large or whole > self._budget.message_limit:
            return self._budget.try_grow_large(self, size)
        return self._budget.try_grow(self, size)

    @property
    def is_large(self) -> bool:
        """Whether it is the one that may exceed the limit of one message."""
        return self._budget.is_large(self)

    def grow(self, size: int) -> None:
        """Grows the allocation regardless of the limit, for data that must be sent anyway."""
        self._budget.make_room_for_ready(size)
        self._budget.add(self, size)

    def shrink(self, size: int) -> None:
        """Returns memory to the budget; has no effect after the allocation was released."""
        self._budget.add(self, -min(size, self.size))


class ByteBudget:
    """Limits the memory used by the messages of all connections.

    When the budget is exhausted, a message whose caller neither sends nor reads gives way first,
    then the largest abortable one, so that one that grows without end does not starve the others.
    One request at a time may exceed the limit of one message: the large one.

    Args:
        limit: Maximum number of bytes in use.
        spare_bytes: Memory of the process that remains if messages use the limit, for the large
            request; 0 if no request may be large.
    """

    def __init__(self, limit: int, spare_bytes: int = 0) -> None:
        self._limit = limit
        self._spare_bytes = spare_bytes
        self._large: Allocation | None = None
        self._used_bytes = 0
        self._caller_bytes = 0
        self._allocations: dict[Allocation, None] = {}
        self.transfers = Transfers()
        """Messages that wait for their callers, and give way if they make no progress."""
        self.aborted_messages = 0
        """Messages aborted or rejected because of their size."""

    @property
    def used_bytes(self) -> int:
        """Bytes in use; of a large request those that the spare memory has no room for."""
        return self._used_bytes

    @property
    def is_scarce(self) -> bool:
        """Whether so much memory is in use that messages should not wait long to be sent."""
        return self._used_bytes > self._limit * _SCARCE_SHARE

    @property
    def _limit_without_reserve(self) -> int:
        return int(self._limit * (1.0 - _RESERVE_SHARE))

    @property
    def message_limit(self) -> int:
        """Maximum size of one message in bytes."""
        return int(self._limit * _MESSAGE_SHARE)

    def may_be_large(self, size: int) -> bool:
        """Checks whether a request of `size` bytes is so large that it may exceed the limit."""
        return size > self.message_limit * _MIN_LARGE_SHARE

    def add_gauges(self, metrics: ServiceMetrics) -> None:
        """Adds the gauges of buffered messages.

        Args:
            metrics: Metrics of the daemon.
        """
        add = metrics.add_gauge
        add("message_bytes_held", lambda: self.used_bytes)
        add("messages_cut", lambda: self.aborted_messages)

    @contextmanager
    def allocate(self, abort: Callable[[], None] | None = None) -> Iterator[Allocation]:
        """Accounts for a message while the context is open.

        Args:
            abort: Aborts the message when its memory is needed; None if it must not be aborted.

        Yields:
            An empty allocation, released at the end.
        """
        allocation = self.open(abort)
        try:
            yield allocation
        finally:
            self.release(allocation)

    def open(self, abort: Callable[[], None] | None = None) -> Allocation:
        """Creates an empty allocation for one message, or for a sequence of messages.

        Args:
            abort: See `allocate`.

        Returns:
            The allocation, to be passed to `release`.
        """
        allocation = Allocation(self, abort)
        self._allocations[allocation] = None
        return allocation

    def release(self, allocation: Allocation) -> None:
        """Returns all memory of an allocation; idempotent."""
        self.add(allocation, -allocation.size)
        self._allocations.pop(allocation, None)
        # It usually belongs to the owner of the allocation: the cycle would keep the message.
        allocation.abort = None

    def try_reserve_for_caller(self, size: int) -> bool:
        """Reserves memory for a part of a caller's request.

        Args:
            size: Size of the part in bytes.

        Returns:
            Whether the memory was reserved; callers' requests share a part of the budget.
        """
        if size > self.message_limit:
            return False
        while not self.has_room_for_caller(size):
            if not self._drop_stalled():
                return False
        self._used_bytes += size
        self._caller_bytes += size
        return True

    def has_room_for_caller(self, size: int) -> bool:
        """Checks whether `try_reserve_for_caller` would reserve this number of bytes."""
        if self._caller_bytes + size > self.message_limit:
            return False
        return self._used_bytes + size <= self._limit_without_reserve

    def release_for_caller(self, size: int) -> None:
        """Returns memory that `try_reserve_for_caller` reserved."""
        self._used_bytes -= size
        self._caller_bytes -= size

    def try_grow(self, allocation: Allocation, size: int) -> bool:
        """See `Allocation.try_grow`."""
        if allocation.is_aborted:
            return False
        wanted = allocation.size + size
        if wanted > self.message_limit or not self._make_room(size, wanted):
            self.aborted_messages += 1
            return False
        self.add(allocation, size)
        return True

    def is_large(self, allocation: Allocation) -> bool:
        """See `Allocation.is_large`."""
        return allocation is self._large

    def try_grow_large(self, allocation: Allocation, size: int) -> bool:
        """See `Allocation.try_grow_large`."""
        if self._spare_bytes <= 0 or allocation.is_aborted:
            return False
        cost = self._find_large_cost(allocation.size + size)
        while not self._has_room_for_large(allocation, cost):
            if not self._drop_stalled():
                self.aborted_messages += 1
                return False
        self._used_bytes += cost - self._find_cost(allocation)
        self._large = allocation
        allocation.size += size
        return True

    def _has_room_for_large(self, allocation: Allocation, cost: int) -> bool:
        if self._large is not None and self._large is not allocation:
            return False
        others = self._used_bytes - self._find_cost(allocation)
        return others + cost <= self._limit_without_reserve

    def _find_cost(self, allocation: Allocation) -> int:
        """Returns how much of the limit an allocation takes, in bytes."""
        is_large = allocation is self._large
        return self._find_large_cost(allocation.size) if is_large else allocation.size

    def _find_large_cost(self, size: int) -> int:
        return max(0, size * _LARGE_COPIES - self._spare_bytes) // _COPIES

    def make_room_for_ready(self, size: int) -> None:
        """Drops messages without progress as far as ready data needs their memory.

        Args:
            size: Size of the data in bytes.
        """
        while self._used_bytes + size > self._limit and self._drop_stalled():
            pass
        # Many callers that begin to read slowly at the same time have not stalled yet.
        limit = READY_FACTOR * self._limit
        while self._used_bytes + size > limit and self.transfers.drop_slowest():
            self.aborted_messages += 1

    def add(self, allocation: Allocation, size: int) -> None:
        """Changes the size of an allocation regardless of the limit."""
        if allocation is self._large:
            before = self._find_cost(allocation)
            allocation.size += size
            self._used_bytes += self._find_cost(allocation) - before
            if not allocation.size:
                self._large = None
            return
        allocation.size += size
        self._used_bytes += size

    def _make_room(self, size: int, wanted: int) -> bool:
        """Aborts messages larger than `wanted`, largest first, until `size` more bytes fit."""
        is_small = wanted <= _SMALL_MESSAGE_BYTES
        limit = self._limit if is_small else self._limit_without_reserve
        while self._used_bytes + size > limit:
            if self._drop_stalled():
                continue
            largest = max(
                (
                    allocation
                    for allocation in self._allocations
                    if allocation.abort is not None and not allocation.is_aborted
                ),
                key=lambda allocation: allocation.size,
                default=None,
            )
            if largest is None or largest.abort is None or largest.size <= wanted:
                return False
            largest.is_aborted = True
            self.aborted_messages += 1
            largest.abort()
            self.add(largest, -largest.size)
        return True

    def _drop_stalled(self) -> bool:
        """Drops a message whose caller neither sends nor reads; returns whether there was one."""
        if not self.transfers.drop_stalled():
            return False
        _LOGGER.warning("a message without progress gave its memory to others")
        self.aborted_messages += 1
        return True
