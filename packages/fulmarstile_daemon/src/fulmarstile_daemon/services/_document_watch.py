"""Watches whether the daemon still hears what the store has of the operator's document."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services.document_events import DocumentHeard, DocumentSilent
from fulmarstile_services.document_contact import MAX_READER_SILENT_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._document_reader import DocumentReader
    from fulmarstile_daemon.services.documents import ActiveDocument
    from fulmarstile_daemon.services.event_log import EventLog

_CHECK_INTERVAL_S: Final = 0.1
_OVERDUE_S: Final = 0.6
"""Time after which a poll should have begun to deliver what another daemon has passed on."""
_RENEW_INTERVAL_S: Final = 1.5
"""Interval at which the read of the store is sent again without contact, in seconds."""


class DocumentWatch:
    """Compares the time since the last contact with the bound, whatever the path of the contact.

    Each wait on each path is bounded by itself. This is where their sum is, and where something is
    done if it exceeds the bound.

    Args:
        documents: The active document.
        list_asked: Returns the names of the daemons that were asked and have not replied.
        reader: Reads the store, if this daemon should.
        is_reader: Returns whether it reads the store for others.
        log: Log of the daemon.
    """

    def __init__(
        self,
        documents: ActiveDocument,
        list_asked: Callable[[], tuple[str, ...]],
        reader: DocumentReader,
        is_reader: Callable[[], bool],
        log: EventLog,
    ) -> None:
        self._documents = documents
        self._list_asked = list_asked
        self._reader = reader
        self._is_reader = is_reader
        self._log = log
        self._renewed_at = self._overtaken_at = -math.inf
        self._silent_since: float | None = None
        self.silences = 0
        """Number of times that the contact was missing for too long."""

    async def run(self) -> None:
        """Watches the contact, until cancelled."""
        while True:
            now = self._documents.clock()
            self._note_changes(now)
            if self._should_renew(now) or self._is_overdue(now):
                self._renewed_at = self._overtaken_at = now
                self._reader.renew()
            await trio.sleep(_CHECK_INTERVAL_S)

    def _should_renew(self, now: float) -> bool:
        if now - self._renewed_at < _RENEW_INTERVAL_S:
            return False
        silent_s = self._documents.contact.silent_s(now)
        return MAX_READER_SILENT_S < silent_s < math.inf and self._reads_store()

    def _is_overdue(self, now: float) -> bool:
        """Returns whether the poll of the store should have returned what others have passed on."""
        if not self._reader.is_overtaken:
            self._overtaken_at = now
        return now - self._overtaken_at >= _OVERDUE_S

    def _reads_store(self) -> bool:
        return self._reader.is_reading or self._is_reader()

    def _note_changes(self, now: float) -> None:
        """Logs when contact has been missing for too long, and when there is contact again."""
        documents = self._documents
        is_silent = documents.contact.is_silent(now)
        if is_silent and self._silent_since is None:
            self._silent_since = documents.contact.heard_at
            self.silences += 1
            self._log.write(
                DocumentSilent(
                    version=documents.version,
                    silent_s=documents.silent_s,
                    asked=self._list_asked(),
                    reads_store=self._reads_store(),
                )
            )
        elif not is_silent and self._silent_since is not None:
            after_s = round(now - self._silent_since, 2)
            self._silent_since = None
            self._log.write(DocumentHeard(version=documents.version, after_s=after_s))
