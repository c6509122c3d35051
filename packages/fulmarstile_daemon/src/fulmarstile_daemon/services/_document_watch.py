"""Watches whether the daemon still hears what the store has of the operator's document."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services.events import DocumentHeard, DocumentSilent

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services.documents import ActiveDocument
    from fulmarstile_daemon.services.event_log import EventLog

_CHECK_INTERVAL_S: Final = 0.1


class DocumentWatch:
    """Compares the time since the last contact with the bound, whatever the path of the contact.

    Args:
        documents: The active document.
        list_asked: Returns the names of the daemons that were asked and have not replied.
        is_reader: Returns whether this daemon reads the store for others.
        log: Log of the daemon.
    """

    def __init__(
        self,
        documents: ActiveDocument,
        list_asked: Callable[[], tuple[str, ...]],
        is_reader: Callable[[], bool],
        log: EventLog,
    ) -> None:
        self._documents = documents
        self._list_asked = list_asked
        self._is_reader = is_reader
        self._log = log
        self._silent_since: float | None = None
        self.silences = 0
        """Number of times that the contact was missing for too long."""

    async def run(self) -> None:
        """Watches the contact, until cancelled."""
        while True:
            self._check(self._documents.clock())
            await trio.sleep(_CHECK_INTERVAL_S)

    def _check(self, now: float) -> None:
        documents = self._documents
        if documents.version < 0:
            return
        contact = documents.contact
        is_silent = contact.is_silent(now)
        if is_silent and self._silent_since is None:
            silent_s = contact.silent_s(now)
            self._silent_since = now - (silent_s if math.isfinite(silent_s) else 0.0)
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
