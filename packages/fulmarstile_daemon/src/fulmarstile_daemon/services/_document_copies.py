"""Keeps a version in the store that the operator's topic hides behind a later record."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services.document_events import DocumentCopied, DocumentNotCopied
from fulmarstile_daemon.services.events import RecordIgnored
from fulmarstile_platform.keyed_log import LogConflictError
from fulmarstile_platform.log import LogError, LogRefusedError
from fulmarstile_services.document_delta import DeltaError, compress_document, restore_document
from fulmarstile_wire.documents import DocumentCopy, decode_copy, encode_copy
from fulmarstile_wire.errors import WireError

if TYPE_CHECKING:
    from fulmarstile_daemon.services.documents import ActiveDocument
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_platform.keyed_log import KeyedLog, KeyedRecord
    from fulmarstile_services.document_sources import DocumentSources

_LOGGER: Final = logging.getLogger(__name__)

DOCUMENT_COPIES_TOPIC: Final = "keyed.fulmarstile.document"
"""Topic that holds the last version that was hidden."""
_KEY: Final = "newest"
SOURCE_COPY: Final = "copy"
_MAX_RECORD_BYTES: Final = 256 * 1024 - 64
"""Largest copy, in bytes; the store takes records of up to 256 KiB with their keys."""
_LATE_DELAY_S: Final = 2.0
"""Time after which a daemon that others don't rely on writes a copy, in seconds, as mostly it is
written then."""
_RETRY_S: Final = 0.5
"""Pause after a failure, in seconds; doubled with each more."""
_MAX_RETRY_S: Final = 8.0


class DocumentCopies:
    """Copies hidden versions to a topic of the daemons, and reads the copy.

    The store retains only the newest record of a key. If that holds an older version than the one
    in force, a fleet that starts as one would not find the latter any more.

    Args:
        documents: The active document.
        sources: Tells on which daemons all others rely.
        log: Log of the daemon.
    """

    def __init__(self, documents: ActiveDocument, sources: DocumentSources, log: EventLog) -> None:
        self._documents = documents
        self._sources = sources
        self._log = log
        self._is_hidden = trio.Event()
        self._copied_version = -1
        documents.on_hidden = lambda: self._is_hidden.set()

    async def run(self, store: KeyedLog) -> None:
        """Copies hidden versions, until cancelled.

        Args:
            store: The platform's store.
        """
        documents = self._documents
        while True:
            await self._is_hidden.wait()
            self._is_hidden = trio.Event()
            if not self._sources.is_prompt_reader:
                await trio.sleep(_LATE_DELAY_S)
            retry_s = _RETRY_S
            while documents.position.is_hidden and self._copied_version < documents.version:
                try:
                    await self._copy(store)
                except LogConflictError:
                    # Another daemon has written a copy.
                    continue
                except LogRefusedError as error:
                    self._give_up(documents.version, str(error))
                except LogError as error:
                    _LOGGER.debug("a hidden version was not copied: %s", error)
                    await trio.sleep(retry_s)
                    retry_s = min(_MAX_RETRY_S, retry_s * 2)

    async def read(self, store: KeyedLog) -> None:
        """Applies the version that was copied, if it is newer than the active one.

        Args:
            store: The platform's store.

        Raises:
            LogError: If the store cannot be read.
        """
        page = await store.read_newest(DOCUMENT_COPIES_TOPIC)
        copy = self._decode(page.records)
        if copy is None:
            return
        try:
            document = restore_document(copy.content)
        except DeltaError as error:
            self._log.write(RecordIgnored(source=DOCUMENT_COPIES_TOPIC, reason=str(error)))
            return
        self._documents.apply_if_newer(document, SOURCE_COPY, len(copy.content))

    async def _copy(self, store: KeyedLog) -> None:
        """Writes the active version, unless the copy is as new.

        The write takes effect only at the end that was read, so that a delayed one replaces no
        newer copy.
        """
        documents = self._documents
        version, document = documents.version, documents.history.current
        page = await store.read_newest(DOCUMENT_COPIES_TOPIC)
        copy = self._decode(page.records)
        if copy is None or copy.version < version:
            value = encode_copy(DocumentCopy(version, compress_document(document)))
            if not document or len(value) > _MAX_RECORD_BYTES:
                self._give_up(version, f"{len(document)} bytes, {len(value)} compressed")
                return
            await store.append_keyed(DOCUMENT_COPIES_TOPIC, _KEY, value, page.next_offset)
            self._log.write(DocumentCopied(version=version, bytes=len(value)))
        self._copied_version = max(self._copied_version, version)

    def _give_up(self, version: int, reason: str) -> None:
        self._log.write(DocumentNotCopied(version=version, reason=reason))
        self._copied_version = max(self._copied_version, version)

    def _decode(self, records: tuple[KeyedRecord, ...]) -> DocumentCopy | None:
        for record in records:
            if record.key != _KEY or not record.value:
                continue
            try:
                return decode_copy(record.value)
            except WireError as error:
                self._log.write(RecordIgnored(source=DOCUMENT_COPIES_TOPIC, reason=str(error)))
        return None
