"""The operator's document: applies newer versions, whether from the store or other daemons."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._boot_clock import read_boot_clock
from fulmarstile_daemon.services.document_events import (
    DocumentApplied,
    DocumentConflict,
    DocumentOutdated,
    DocumentRejected,
)
from fulmarstile_services.document import DocumentError
from fulmarstile_services.document_delta import digest_document
from fulmarstile_services.document_history import DocumentHistory
from fulmarstile_services.document_position import UNKNOWN_OFFSET, DocumentPosition
from fulmarstile_services.freshness import Freshness
from fulmarstile_services.routing_table import RoutingTable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarstile_daemon.services.active_routes import ActiveRoutes
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.ports import Platform
    from fulmarstile_platform.keyed_log import KeyedLog, KeyedRecord
    from fulmarstile_wire.documents import DocumentReply

SOURCE_STORE: Final = "store"
_SOURCE_ACTIVE: Final = "active document"
_DEFAULT_CONNECTIONS: Final = 64
"""Connection limit of an upstream whose service is not in the active document."""


class ActiveDocument:
    """Applies complete versions of the document, and never an older one.

    Args:
        platform: Decodes documents.
        routes: Active routing table, replaced as a whole.
        log: Log of the daemon.
        freshness: Updated with what reads of the store prove.
        clock: Returns the time that freshness is measured by, in seconds.
    """

    def __init__(
        self,
        platform: Platform,
        routes: ActiveRoutes,
        log: EventLog,
        freshness: Freshness | None = None,
        clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._platform = platform
        self._routes = routes
        self._log = log
        self._raw = b""
        self._others: dict[str, KeyedRecord] = {}
        self._next_offset: int | None = None
        self._told_offset: int | None = None
        self._end_offset = 0
        self.position = DocumentPosition()
        """Where the operator's topic holds the active version."""
        self.freshness = freshness or Freshness()
        """Age of the knowledge that the active version is the newest."""
        self.clock = clock
        """Returns the time that freshness is measured by, in seconds."""
        self.contact = routes.contact
        """When the store last told what it has, directly or through other daemons."""
        self.history = DocumentHistory()
        """Recent versions without customers' keys, as other daemons receive them."""
        self.changed = trio.Event()
        """Set, and replaced by another event, when more of the operator's topic is known."""
        self.was_read = False
        """Whether the operator's topic was read since the start, here or by another daemon."""
        self.on_change: list[Callable[[], None]] = []
        """Functions that are called when another version becomes active."""
        self.on_hidden: Callable[[], None] = lambda: None
        """Called when the topic has another record of the document behind that of the active
        version."""
        self.on_other_records: Callable[[list[KeyedRecord]], None] = lambda _: None
        """Called with the records of the operator's topic that hold no document."""

    @property
    def version(self) -> int:
        """Active version; -1 if there is none."""
        table = self._routes.table
        return -1 if table is None else table.version

    @property
    def size(self) -> int:
        """Size of the active document in bytes; 0 if there is none."""
        return len(self._raw)

    @property
    def topic(self) -> str:
        """Topic that holds the document in the store."""
        return self._platform.document_topic

    @property
    def next_offset(self) -> int | None:
        """Offset up to which its topic is known; None if nothing is."""
        return self._next_offset

    @property
    def told_offset(self) -> int | None:
        """The same, or a greater one by daemons of an earlier release, which may skip records."""
        return self._told_offset

    @property
    def has_unread(self) -> bool:
        """Whether the topic has records that are known to be unread."""
        return self._end_offset > (self._next_offset or 0)

    @property
    def silent_s(self) -> float | None:
        """Time since the last contact with the store, rounded; None if there was none."""
        silent_s = self.contact.silent_s(self.clock())
        return round(silent_s, 2) if math.isfinite(silent_s) else None

    def hear_version(self, version: int) -> bool:
        """Notes which version another daemon has.

        Args:
            version: Active version there.

        Returns:
            Whether it is newer than the active one here.
        """
        self._routes.hear_version(version)
        return version > self.version

    def list_others(self, next_offset: int) -> list[KeyedRecord]:
        """Lists the newest record of each key that holds no document.

        Args:
            next_offset: Offset of the first record that is of interest.

        Returns:
            The records in their order in the topic, up to where all of it is known.
        """
        known = range(next_offset, self._next_offset or 0)
        records = [each for each in self._others.values() if each.offset in known]
        return sorted(records, key=lambda record: record.offset)

    def connection_limit(self, service: str) -> int:
        """Returns the maximum number of connections of a service's upstream."""
        table = self._routes.table
        definition = table.document.services.get(service) if table else None
        return definition.connection_limit if definition else _DEFAULT_CONNECTIONS

    def apply_if_newer(
        self, raw: bytes, source: str, received_bytes: int = 0, offset: int | None = None
    ) -> bool:
        """Applies a document if it is newer than the active one.

        Args:
            raw: Document as encoded in the store, or as another daemon sent it.
            source: Source of the document, for the log.
            received_bytes: Size in which it was received, for the log.
            offset: Position of its record in the operator's topic, if it was read there.

        Returns:
            Whether it was applied.
        """
        if not raw:
            self._note_unusable(offset)
            return False
        if raw == self._raw:
            self._note_known(self.version, offset)
            return False
        digest = digest_document(raw).hex()
        try:
            document = self._platform.decode_document(raw)
            if document.version == self.version:
                self._report_conflict(raw, offset)
            if document.version <= self.version:
                self._note_known(document.version, offset, digest)
                return False
            table = RoutingTable(document)
        except DocumentError as error:
            self._log.write(
                DocumentRejected(reason=str(error), source=source, offset=offset, digest=digest)
            )
            self._note_unusable(offset)
            return False
        replaced = self.version
        self._routes.table = table
        self._raw = raw
        self.position.on_active(UNKNOWN_OFFSET if offset is None else offset, is_new=True)
        self._note_completeness()
        self.history.add(self._redact(raw))
        self._log.write(
            DocumentApplied(
                version=document.version,
                replaced=replaced,
                routes=len(document.routes),
                source=source,
                offset=offset,
                digest=digest,
                bytes=received_bytes or len(raw),
                silent_s=self.silent_s,
            )
        )
        for on_change in self.on_change:
            on_change()
        self._notify()
        return True

    def apply_records(self, records: Iterable[KeyedRecord]) -> None:
        """Applies records of the operator's topic from the store.

        Args:
            records: The records in their order, or the newest one of each key.
        """
        documents: list[KeyedRecord] = []
        others: list[KeyedRecord] = []
        for record in records:
            is_document = record.key == self._platform.document_key
            (documents if is_document else others).append(record)
        if len(documents) > 1:
            # Of two contents of one version the first stays, as if they were read one by one.
            documents.sort(key=lambda record: self._read_version(record.value), reverse=True)
        for record in documents:
            self.apply_if_newer(record.value, SOURCE_STORE, offset=record.offset)
        self._report_hidden()
        self.apply_others(others)

    def expect(self, end_offset: int) -> None:
        """Notes that the operator's topic was read up to an offset, but for what was skipped.

        Args:
            end_offset: Offset up to which it was read.
        """
        self._end_offset = max(self._end_offset, end_offset)
        self._note_completeness()

    def learn(self, next_offset: int) -> None:
        """Notes that the operator's topic is known up to an offset.

        Args:
            next_offset: Offset of the first record that is unknown.
        """
        is_news = self._next_offset is None or self._next_offset < next_offset
        self._next_offset = max(self._next_offset or 0, next_offset)
        self._told_offset = max(self._told_offset or 0, next_offset)
        self.was_read = True
        self._note_completeness()
        if is_news:
            self._notify()

    def learn_from(self, reply: DocumentReply) -> None:
        """Notes what another daemon knows of the operator's topic.

        Args:
            reply: Its reply, whose version is in force here, or a newer one.
        """
        if reply.active_offset is None:
            if reply.next_offset >= 0:
                self._told_offset = max(self._told_offset or 0, reply.next_offset)
                self.was_read = True
                self._note_completeness()
            return
        if reply.version == self.version:
            self.position.on_active(reply.active_offset, is_new=False)
        self.position.on_older(reply.last_offset)
        self.position.on_unusable(reply.unusable_offset)
        self._note_completeness()
        self._report_hidden()
        if reply.next_offset >= (self._next_offset or 0):
            self.learn(reply.next_offset)

    def apply_others(self, records: list[KeyedRecord]) -> None:
        """Applies records of the operator's topic that hold no document.

        Args:
            records: The records in their order, or the newest one of each key.
        """
        if not records:
            return
        for record in records:
            known = self._others.get(record.key)
            if known is None or known.offset <= record.offset:
                self._others[record.key] = record
        self.on_other_records(records)
        self._notify()

    async def confirm(self, store: KeyedLog) -> bool:
        """Asks the store whether its topic has records beyond what was read.

        Only the end of the topic is read: a read that returned records would bring the document
        once more while it is on its way already.

        Args:
            store: The platform's store.

        Returns:
            Whether the store has nothing that was not read; what reads have skipped is of no
            concern, but keeps the version from being confirmed as the newest one.

        Raises:
            LogError: If the store cannot be read.
        """
        sent_at = self.clock()
        known_offset = self._next_offset or 0
        end_offset = await store.read_end(self.topic)
        if end_offset < known_offset:
            # The topic has lost records, and others may have their offsets now.
            return False
        is_told = self._told_offset is not None and end_offset <= self._told_offset
        if is_told and not self.has_unread:
            self.freshness.confirm(sent_at)
            self.contact.hear(self.clock())
            return True
        return end_offset <= self._end_offset

    def _read_version(self, raw: bytes) -> int:
        """Returns the version of a document; -1 if it cannot be decoded."""
        try:
            return self._platform.decode_document(raw).version if raw else -1
        except DocumentError:
            return -1

    def _report_hidden(self) -> None:
        if self.position.is_hidden:
            self.on_hidden()

    def _note_unusable(self, offset: int | None) -> None:
        """Notes a record that is a deletion or cannot be decoded."""
        if offset is not None:
            self.position.on_unusable(offset)
            self._note_completeness()

    def _note_known(self, version: int, offset: int | None, digest: str = "") -> None:
        """Notes a record that holds the active version or an older one."""
        if offset is None:
            return
        if version == self.version:
            self.position.on_active(offset, is_new=False)
            self._note_completeness()
            return
        self.position.on_older(offset)
        if UNKNOWN_OFFSET < self.position.active_offset < offset:
            self._log.write(
                DocumentOutdated(version=version, active=self.version, offset=offset, digest=digest)
            )

    def _report_conflict(self, raw: bytes, offset: int | None) -> None:
        """Reports a record with the active version if its content is another one."""
        # Other daemons pass a document on without keys, so what they sent differs in that alone.
        digest = digest_document(self._redact(raw))
        if offset is None or digest == self.history.digest:
            return
        self._log.write(
            DocumentConflict(
                version=self.version,
                offset=offset,
                active_offset=self.position.active_offset,
                digest=digest.hex(),
                active_digest=self.history.digest.hex(),
            )
        )

    def _note_completeness(self) -> None:
        self._routes.known_offset = self._next_offset
        self._routes.has_unread = self._told_offset is None or self.has_unread
        self._routes.has_unusable = self.position.may_be_superseded

    def _redact(self, raw: bytes) -> bytes:
        try:
            return self._platform.redact_document(raw)
        except DocumentError as error:
            # Other daemons read it from the store; it must not leave this one with keys.
            self._log.write(DocumentRejected(reason=str(error), source=_SOURCE_ACTIVE))
            return b""

    def _notify(self) -> None:
        event, self.changed = self.changed, trio.Event()
        event.set()
