"""Tailing of one claim stream by long polls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_calls.claims._backoff import Backoff
from fulmarstile_mesh.effects import ReadLog

if TYPE_CHECKING:
    from fulmarstile_calls.claims.claim_table import ClaimTable
    from fulmarstile_calls.claims.settings import ClaimSettings
    from fulmarstile_platform.log import LogPage


class StreamTail:
    """Keeps a claim table up to date with its stream.

    Records are folded only from the page of a check: an immediate read that begins with the
    last folded record, so that a stream which the log has lost and refilled is never mistaken
    for the old one. A long poll only signals that there are new records.

    Args:
        settings: Settings.
        stream: Name of the stream.
        table: Claim table that the records are folded into.
    """

    def __init__(self, settings: ClaimSettings, stream: str, table: ClaimTable) -> None:
        self._stream = stream
        self._table = table
        self._wait_s = settings.tail_wait_s
        self._backoff = Backoff(settings.min_backoff_s, settings.max_backoff_s)
        self._is_reading = False
        self._is_caught_up = False
        self._is_checking = False
        self._must_check = True
        self._resets = 0

    @property
    def is_caught_up(self) -> bool:
        """Whether the table has been folded to the end of the stream at least once."""
        return self._is_caught_up

    @property
    def reset_count(self) -> int:
        """Number of times the log has lost the stream."""
        return self._resets

    def request_check(self) -> None:
        """Makes the next read an immediate check instead of a long poll."""
        self._must_check = True

    def read(self, now: float, may_wait: bool) -> list[ReadLog]:
        """Returns the next read, if none is in flight and the backoff after a failure is over.

        Args:
            now: Monotonic time in seconds.
            may_wait: Whether a long poll may be started.
        """
        if self._is_reading or self._backoff.is_blocked(now):
            return []
        if not (self._must_check or may_wait):
            return []
        self._is_reading = True
        self._is_checking = self._must_check
        next_offset = self._table.next_offset
        if self._is_checking:
            return [ReadLog(self._stream, max(0, next_offset - 1), 0.0)]
        return [ReadLog(self._stream, next_offset, self._wait_s)]

    def on_page(self, page: LogPage) -> list[str]:
        """Folds a page.

        Returns:
            Identifiers of the claims in the folded records.
        """
        self._is_reading = False
        self._backoff.on_success()
        if self._has_lost_stream(page):
            self._resets += 1
            self._is_caught_up = False
            self._must_check = True
            self._table.restart()
            return []
        if not self._is_checking:
            self._must_check = self._must_check or bool(page.records)
            return []
        claim_ids = self._fold(page)
        self._is_caught_up = self._table.next_offset >= page.end_offset
        self._must_check = not self._is_caught_up
        return claim_ids

    def on_failure(self, now: float) -> None:
        """Records that a read failed; the next one checks that the stream is still the same."""
        self._is_reading = False
        self._must_check = True
        self._backoff.on_failure(now)

    def _fold(self, page: LogPage) -> list[str]:
        table = self._table
        table.skip_to(page.first_offset)
        claim_ids: list[str] = []
        for record in page.records:
            if record.offset == table.next_offset:
                claim_ids.extend(table.fold(record))
        return claim_ids

    def _has_lost_stream(self, page: LogPage) -> bool:
        next_offset = self._table.next_offset
        if page.end_offset < next_offset:
            return True
        if not self._is_checking or page.first_offset >= next_offset:
            return False
        return not page.records or page.records[0] != self._table.last_record
