"""Topics of the platform's store that keep the newest record of each key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Protocol

from fulmarstile_platform.log import LogError
from fulmarstile_wire.verdict import Verdict

MAX_READ_BYTES: Final = 1024 * 1024
"""Most bytes of records that one read returns."""


class RecordsExpiredError(LogError):
    """The records from an offset on are no longer kept; read the newest of each key instead."""

    def __init__(self, message: str) -> None:
        super().__init__(message, Verdict.NOT_RUN)


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record of a keyed topic."""

    key: str
    value: bytes
    """Content; empty if the key was dropped."""


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records of a topic and the offset at which to read on."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    has_more: bool = False
    """Whether later records were there already."""


class KeyedLog(Protocol):
    """Store whose topics keep the newest record of each key."""

    async def read_newest(self, topic: str) -> KeyedPage:
        """Reads the newest record of each key.

        Args:
            topic: Name of the topic; an unknown one reads as empty.

        Returns:
            The records, not in order, and the offset from which later ones follow.

        Raises:
            LogError: If the store cannot be read.
        """
        ...

    async def read_keyed(
        self, topic: str, offset: int, wait_s: float, max_bytes: int = MAX_READ_BYTES
    ) -> KeyedPage:
        """Reads records from an offset on.

        Args:
            topic: Name of the topic.
            offset: First offset wanted.
            wait_s: Longest time to wait for a first record, in seconds.
            max_bytes: Bytes of records wanted at most, but for a first larger one.

        Returns:
            The records in order, possibly none.

        Raises:
            RecordsExpiredError: If the records are no longer kept.
            LogError: If the store cannot be read.
        """
        ...

    async def append_keyed(self, topic: str, key: str, value: bytes) -> None:
        """Appends the newest record of a key.

        Args:
            topic: Name of the topic.
            key: The key.
            value: Its content.

        Raises:
            LogError: If the append failed; its verdict says whether it may have taken effect.
        """
        ...
