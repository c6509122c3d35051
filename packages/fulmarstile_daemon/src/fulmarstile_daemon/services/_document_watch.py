"""Watches whether the daemon still hears what the store has of the operator's document."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services.events import DocumentHeard, DocumentSilent
from fulmarstile_services.document_contact import MAX_READER_SILENT_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services.documents import ActiveDocument
    from fulmarstile_daemon.services.event_log import EventLog

_CHECK_INTERVAL_S: Final = 0.1
_RENEW_INTERVAL_S: Final = 1.5
"""Interval at which the read of the store is sent again without contact, in seconds."""


class DocumentWatch:
    """Compares the time since the last contact with the bound, whatever the path of the contact.

    Each wait on each path is bounded by itself. This is where their sum is, and where something is
    done if it exceeds the bound.

    Args:
        documents: The active document.
        list_asked: Returns the names of the daemons that were asked and have not replied.
        is_reader: Returns whether this daemon reads the store for others.
        renew: Sends the read of the store again, if one waits in silence.
        log: Log of the daemon.
    """

    def __init__(
        self,
        documents: ActiveDocument,
        list_asked: Callable[[], tuple[str, ...]],
        is_reader: Callable[[], bool],
        renew: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._documents = documents
        self._list_asked = list_asked
        self._is_reader = is_reader
        self._renew = renew
        self._log = log
        self._renewed_at = -math.inf
        self._silent_since: float | None = None
        self.silences = 0
        """Number of times that the contact was missing for too long."""

    async def run(self) -> None:
        """Watches the contact, until cancelled."""
        while True:
            now = self._documents.clock()
            self._note_changes(now)
            if self._should_renew(now):
                self._renewed_at = now
                self._renew()
            await trio.sleep(_CHECK_INTERVAL_S)

    def _should_renew(self, now: float) -> bool:
        if now - self._renewed_at < _RENEW_INTERVAL_S:
            return False
        silent_s = self._documents.contact.silent_s(now)
        return MAX_READER_SILENT_S < silent_s < math.inf and self._is_reader()

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
                    is_reader=self._is_reader(),
                )
            )
        elif not is_silent and self._silent_since is not None:
            after_s = round(now - self._silent_since, 2)
            self._silent_since = None
            self._log.write(DocumentHeard(version=documents.version, after_s=after_s))
