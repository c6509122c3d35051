"""Network link of a VM in virtual time, which carries a limited number of bytes per second."""

from __future__ import annotations

from typing import Final

import trio

_SEGMENT_BYTES: Final = 4_096
"""Bytes after which another transfer has its turn, so that transfers share the link evenly."""


class VirtualLink:
    """One direction of a VM's link.

    Args:
        bytes_per_s: Capacity in bytes per second.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._turn = trio.Lock()
        self.carried = 0
        """Bytes carried so far, also those of transfers that were given up."""

    async def carry(self, size: int) -> None:
        """Returns when a transfer of some bytes has ended, which shares the link with others."""
        left = size
        while left > 0:
            segment = min(left, _SEGMENT_BYTES)
            async with self._turn:
                self.carried += segment
                await trio.sleep(segment / self._bytes_per_s)
            left -= segment
