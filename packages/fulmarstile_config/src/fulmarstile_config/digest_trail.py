"""Digests of the states that a fold has passed through lately."""

from __future__ import annotations

from collections import deque
from typing import Final

RECENT_DIGESTS: Final = 64
"""Changes of the state that are remembered."""


class DigestTrail:
    """Digest of the state at each recent offset, to check snapshots on the stream against.

    Args:
        offset: Offset of the first record that the state does not cover.
        digest: Digest of the state.
    """

    def __init__(self, offset: int, digest: bytes) -> None:
        self._changes = deque([(offset, digest)], maxlen=RECENT_DIGESTS)
        self._end_offset = offset

    def advance(self, offset: int, digest: bytes) -> None:
        """Notes the state before the record at an offset."""
        self._end_offset = offset
        if digest != self._changes[-1][1]:
            self._changes.append((offset, digest))

    def matches(self, offset: int, digest: bytes) -> bool | None:
        """Returns whether the state at an offset had a digest, or None if it is not known."""
        if offset > self._end_offset:
            return None
        for changed_at, known in reversed(self._changes):
            if changed_at <= offset:
                return known == digest
        return None
