"""Limit of the input around the body of a message."""

from __future__ import annotations

from typing import Final

_MAX_FRAMING_RATIO: Final = 16
"""Framing bytes allowed for each byte of a body, so that chunks of one byte are accepted."""


class FramingLimit:
    """Limits the input that is not part of a body: heads, trailers and chunk extensions.

    Without a limit, a peer could send it endlessly and a parser would hold all of it.

    Args:
        limit: Largest input without progress of the body, in bytes.
    """

    __slots__ = ("_limit", "stalled_bytes")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.stalled_bytes = 0
        """Bytes received beyond what the framing of the body accounts for."""

    @property
    def is_exceeded(self) -> bool:
        """Whether more has arrived than the limit allows."""
        return self.stalled_bytes > self._limit

    def count(self, received_bytes: int, body_bytes: int) -> None:
        """Counts received input.

        Args:
            received_bytes: Size of the input.
            body_bytes: Bytes of the body in it.
        """
        stalled_bytes = self.stalled_bytes + received_bytes - body_bytes * _MAX_FRAMING_RATIO
        self.stalled_bytes = max(0, stalled_bytes)

    def reset(self) -> None:
        """Starts counting anew, for example behind a complete head."""
        self.stalled_bytes = 0
