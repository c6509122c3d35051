"""Interface of the platform's append-only log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Protocol

from fulmarstile_wire.errors import VerdictError
from fulmarstile_wire.verdict import Verdict

DEFAULT_READ_LIMIT: Final = 256
"""Default limit on the number of records that one read returns."""


class LogError(VerdictError):
    """An operation on the log failed; `verdict` says whether an append may have taken effect."""


class LogUnavailableError(LogError):
    """The log cannot be reached, is overloaded or answered too late."""


class LogRefusedError(LogError):
    """The log refused the request as such; a retry would fail as well."""

    def __init__(self, message: str) -> None:
        super().__init__(message, Verdict.NOT_RUN)


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream."""

    offset: int
    payload: bytes
    appended_at_ms: int
    """Time of the append by the log's clock, milliseconds since the epoch."""


@dataclass(frozen=True, slots=True)
class LogPage:
    """Consecutive records of a stream and the bounds of what the log still keeps."""

    records: tuple[LogRecord, ...]
    first_offset: int
    """Offset of the oldest record kept; equal to `end_offset` if none is kept."""
    end_offset: int
    """Offset that the next append will get."""


class Log(Protocol):
    """Append-only log with offsets, grouped in named streams."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record.

        Args:
            stream: Name of the stream.
            payload: Bytes of the record.

        Returns:
            Offset of the record.

        Raises:
            LogError: If the append failed; its verdict says whether it may have taken effect.
        """
        ...

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int = DEFAULT_READ_LIMIT,
        wait_s: float = 0.0,
    ) -> LogPage:
        """Reads records starting at an offset.

        If records before `offset` have expired, reading starts at the oldest record kept; if
        `offset` is beyond the end, no record is returned. Compare `first_offset` and
        `end_offset` of the page.

        Args:
            stream: Name of the stream; an unknown stream reads as empty.
            offset: First offset to read.
            limit: Maximum number of records to return.
            wait_s: Longest time to wait for a first record (long poll), in seconds.

        Returns:
            The page, possibly without records.

        Raises:
            LogError: If the log cannot be read.
        """
        ...
