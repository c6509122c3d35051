"""Passes chunked bodies to their parser in slices, and not the request behind them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_http.request_head import HEAD_END

if TYPE_CHECKING:
    from fulmarstile_http.request_parser import RequestParser

SLICE_PARTS: Final = 128
"""Maximum number of pieces in a slice."""
_SLICE_BYTES: Final = 16 * 1024
"""Maximum size of a slice, in bytes."""
_TAIL_BYTES: Final = len(HEAD_END) - 1
"""Input before a piece in which an empty line may have begun, in bytes."""


class ChunkedBody:
    """Body of a request that arrives in chunks.

    The parser doesn't tell where a body ended, so it gets input up to each place where it may end:
    behind an empty line.

    Args:
        parser: Parser of the request.
    """

    def __init__(self, parser: RequestParser) -> None:
        self._parser = parser
        self._tail = b""

    def feed_slice(self, received: bytes, start: int) -> tuple[int, int]:
        """Passes some input to the parser.

        Args:
            received: Bytes of the body, perhaps followed by another request.
            start: Position of the first one to parse.

        Returns:
            Position of the first byte that was not parsed, and the number of pieces that were.

        Raises:
            MalformedRequestError: If the input is malformed.
        """
        view = memoryview(received)
        limit = min(len(received), start + _SLICE_BYTES)
        pieces = 0
        while start < limit and pieces < SLICE_PARTS and not self._parser.is_complete:
            end = self._find_possible_end(received, start, limit)
            self._parser.feed_body(view[start:end])
            last = received[max(start, end - _TAIL_BYTES) : end]
            self._tail = (self._tail + last)[-_TAIL_BYTES:]
            start = end
            pieces += 1
        return start, pieces

    def _find_possible_end(self, received: bytes, start: int, limit: int) -> int:
        """Finds the first place where the body may end, between two positions."""
        tail = self._tail
        at = (tail + received[start : start + len(HEAD_END)]).find(HEAD_END)
        if 0 <= at < len(tail):
            return min(limit, start + at + len(HEAD_END) - len(tail))
        at = received.find(HEAD_END, start, limit)
        return limit if at < 0 else at + len(HEAD_END)
