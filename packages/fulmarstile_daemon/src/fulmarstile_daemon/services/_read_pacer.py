"""Paces reads of a topic."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

import trio

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarstile_platform.keyed_log import KeyedRecord

_FIRST_PAUSE_S: Final = 0.08
"""First pause after a read returned records, in seconds; doubled while more arrive, so that a burst
of writes takes few reads."""
_BURST_END_S: Final = 1.0
"""Duration of a read after which a burst counts as over and pauses start anew, in seconds."""
_MIN_EMPTY_READ_S: Final = 0.1
"""Shortest interval of reads that return no record, in seconds. A store may answer a long poll
early."""
_MIN_PAUSE_RATIO: Final = 0.7
"""Shortest pause relative to the longest; daemons should not read at the same times."""


class ReadPacer:
    """Paces reads with pauses that grow while more records arrive.

    Args:
        max_pause_s: Longest pause because of the number of reads, in seconds.
        bytes_per_s: Rate that reads may reach during a burst, in bytes per second.
        max_size_pause_s: Longest pause because of that rate, in seconds.
    """

    def __init__(self, max_pause_s: float, bytes_per_s: float, max_size_pause_s: float) -> None:
        self._max_pause_s = max_pause_s
        self._bytes_per_s = bytes_per_s
        self._max_size_pause_s = max_size_pause_s
        self._pause_s = _FIRST_PAUSE_S

    async def wait(self, records: Sequence[KeyedRecord], read_s: float) -> None:
        """Pauses after a read.

        Args:
            records: Records that it returned.
            read_s: Duration of the read, in seconds.
        """
        if read_s > _BURST_END_S:
            self._pause_s = _FIRST_PAUSE_S
        if not records:
            await trio.sleep(max(0.0, _MIN_EMPTY_READ_S - read_s))
            return
        size = sum(len(record.value) for record in records)
        size_pause_s = min(self._max_size_pause_s, size / self._bytes_per_s)
        ratio = random.uniform(_MIN_PAUSE_RATIO, 1.0)
        await trio.sleep(max(self._pause_s, size_pause_s) * ratio)
        self._pause_s = min(self._max_pause_s, self._pause_s * 2)
