"""Digests of a fold's recent states."""

from __future__ import annotations

from collections import deque
from typing import Final

MAX_DIGESTS: Final = 64
"""Maximum number of digests kept, one for each change of the state."""


class DigestHistory:
    """Digest of the state at each recent offset, to compare snapshots on the stream with.

    Args:
        offset: Offset of the first record that the state does not cover.
        digest: Digest of the state.
    """

    def __init__(self, offset: int, digest: bytes) -> None:
        self._changes = deque([(offset, digest)], maxlen=MAX_DIGESTS)
        self._end_offset = offset

    def advance(self, offset: int, digest: bytes) -> None:
        """Adds the digest of the state that covers all records before an offset."""
        self._end_offset = offset
        if digest != self._changes[-1][1]:
            self._changes.append((offset, digest))

    def matches(self, offset: int, digest: bytes) -> bool | None:
        """Returns whether the state at an offset had a digest; None if that state is not known."""
        if offset > self._end_offset:
            return None
        for changed_at, known in reversed(self._changes):
            if changed_at <= offset:
                return known == digest
        return None
