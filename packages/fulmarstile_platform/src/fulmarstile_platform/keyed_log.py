"""Interface of the platform's store, whose topics keep the newest record of each key."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, Protocol

from fulmarstile_platform.log import LogError
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_READ_BYTES: Final = 1024 * 1024
"""Default limit on the size of the records that one read returns, in bytes."""


class RecordsExpiredError(LogError):
    """There are no records at an offset; read the newest record of each key instead.

    They have expired, or the topic is shorter than it was.

    Args:
        message: What has expired.
        first_offset: Offset of the oldest record that is left; None if unknown.
    """

    def __init__(self, message: str, first_offset: int | None = None) -> None:
        super().__init__(message, Verdict.NOT_RUN)
        self.first_offset = first_offset
        """Offset of the oldest record that is left; None if unknown."""


class LogConflictError(LogError):
    """A conditional append was refused, because the topic ends at another offset.

    Args:
        end_offset: Offset at which the topic ends.
    """

    def __init__(self, end_offset: int) -> None:
        super().__init__(f"the topic ends at offset {end_offset}", Verdict.NOT_RUN)
        self.end_offset = end_offset
        """Offset at which the topic ends."""


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record of a keyed topic."""

    key: str
    value: bytes
    """Content; empty if the key was removed."""
    offset: int = field(default=0, compare=False)
    """Position of the record in its topic."""


@dataclass(frozen=True, slots=True)
class PageTransfer:
    """Cost of reading a page."""

    size: int = 0
    """Bytes of the store's answer, as encoded."""
    seconds: float = 0.0
    """Time for which these bytes arrived, in seconds, without the wait for the first one."""


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records of a topic and the offset at which to continue reading."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    has_more: bool = False
    """Whether the topic already had later records."""
    transfer: PageTransfer = field(default=PageTransfer(), compare=False)
    """What reading it has cost."""


class KeyedLog(Protocol):
    """Store whose topics keep the newest record of each key."""

    async def read_newest(self, topic: str) -> KeyedPage:
        """Reads the newest record of each key.

        Args:
            topic: Name of the topic; an unknown one reads as empty.

        Returns:
            The records, in no particular order, and the offset at which later ones start.

        Raises:
            LogError: If the store cannot be read.
        """
        ...

    async def read_keyed(
        self, topic: str, offset: int, wait_s: float, max_bytes: int = MAX_READ_BYTES
    ) -> KeyedPage:
        """Reads records starting at an offset.

        Args:
            topic: Name of the topic.
            offset: First offset to read.
            wait_s: Longest time to wait for a first record, in seconds.
            max_bytes: Largest total size of the records, in bytes; the first one is returned even
                if it is larger.

        Returns:
            The records in order, possibly none.

        Raises:
            RecordsExpiredError: If the records have expired, or the topic ends before the offset.
            LogError: If the store cannot be read.
        """
        ...

    async def read_end(self, topic: str) -> int:
        """Reads where a topic ends, without any record.

        Args:
            topic: Name of the topic; an unknown one reads as empty.

        Returns:
            The offset that the next record will have.

        Raises:
            LogError: If the store cannot be read.
        """
        ...

    def end_silent_reads(self, topic: str, silent_s: float) -> None:
        """Lets the reads of a topic fail that wait, without any part of their answer so far.

        It is for a caller that knows that the topic has what they wait for, or that other
        connections have failed, so that theirs must have failed without a sign. Later calls use new
        connections.

        Args:
            topic: Name of the topic; empty for all topics.
            silent_s: Time for which they must have waited, in seconds.
        """
        ...

    def move(self, address: str) -> None:
        """Sends later calls to another address; those that wait fail if it is a different one.

        Args:
            address: `host:port` of the store.
        """
        ...

    async def append_together(self, topic: str, records: Sequence[KeyedRecord]) -> None:
        """Appends records of several keys, all or none of them.

        Args:
            topic: Name of the topic.
            records: The records, at least one; their offsets are ignored.

        Raises:
            LogError: If the append failed; its verdict says whether it may have taken effect.
        """
        ...

    async def append_keyed(self, topic: str, key: str, value: bytes, at: int | None = None) -> None:
        """Appends the newest record of a key.

        Args:
            topic: Name of the topic.
            key: The key.
            value: Its content.
            at: Offset at which the topic must end for the append to take effect; None for any.

        Raises:
            LogConflictError: If the topic ends at another offset.
            LogError: If the append failed; its verdict says whether it may have taken effect.
        """
        ...
