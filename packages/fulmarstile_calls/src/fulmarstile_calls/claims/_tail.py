"""Reading of one claim stream to its end, by one long poll at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_calls.claims._backoff import Backoff
from fulmarstile_mesh.effects import ReadLog

if TYPE_CHECKING:
    from fulmarstile_calls.claims.book import ClaimBook
    from fulmarstile_calls.claims.settings import ClaimSettings
    from fulmarstile_platform.log import LogPage

CHECK_AFTER_S: Final = 5.0
"""Delay of a long poll beyond its duration after which the stream is checked, in seconds."""


class StreamTail:
    """Keeps a book up to date with its stream.

    Args:
        settings: Settings.
        stream: Name of the stream.
        book: Book that the records are folded into.
    """

    def __init__(self, settings: ClaimSettings, stream: str, book: ClaimBook) -> None:
        self._stream = stream
        self._book = book
        self._wait_s = settings.tail_wait_s
        self._backoff = Backoff(settings.min_backoff_s, settings.max_backoff_s)
        self._is_reading = False
        self._is_caught_up = False
        self._is_checking = False
        self._must_check = False
        self._asked_at = 0.0
        self._resets = 0

    @property
    def is_caught_up(self) -> bool:
        """Whether the book has been folded to the end of the stream at least once."""
        return self._is_caught_up

    @property
    def reset_count(self) -> int:
        """How often the log has lost the stream."""
        return self._resets

    def read(self, now: float) -> list[ReadLog]:
        """Returns the next read, if none is under way and none has just failed."""
        if self._is_reading or self._backoff.is_blocked(now):
            return []
        self._is_reading = True
        self._asked_at = now
        next_offset = self._book.next_offset
        self._is_checking = self._must_check and next_offset > 0
        if self._is_checking:
            return [ReadLog(self._stream, next_offset - 1, 0.0)]
        wait_s = self._wait_s if self._is_caught_up else 0.0
        return [ReadLog(self._stream, next_offset, wait_s)]

    def on_page(self, page: LogPage, now: float) -> list[str]:
        """Folds a page.

        Returns:
            Identifiers of the claims that the page says something about.
        """
        self._is_reading = False
        self._backoff.on_success()
        self._must_check = now - self._asked_at > self._wait_s + CHECK_AFTER_S
        book = self._book
        if self._has_lost_stream(page):
            self._resets += 1
            self._is_caught_up = False
            book.restart()
        book.skip_to(page.first_offset)
        claim_ids: list[str] = []
        for record in page.records:
            if record.offset == book.next_offset:
                claim_ids.extend(book.fold(record))
        if book.next_offset >= page.end_offset:
            self._is_caught_up = True
        return claim_ids

    def on_failure(self, now: float) -> None:
        """Notes that a read failed; the next one checks that the stream is still the same."""
        self._is_reading = False
        self._must_check = True
        self._backoff.on_failure(now)

    def _has_lost_stream(self, page: LogPage) -> bool:
        next_offset = self._book.next_offset
        if page.end_offset < next_offset:
            return True
        if not self._is_checking or page.first_offset >= next_offset:
            return False
        return not page.records or page.records[0] != self._book.last_record
