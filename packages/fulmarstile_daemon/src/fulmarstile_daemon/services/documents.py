"""The operator's document: follows the store and applies newer versions."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._boot_clock import read_boot_clock
from fulmarstile_daemon.services._topic_follower import TopicRead, describe_read, follow_topic
from fulmarstile_daemon.services.events import DocumentApplied, DocumentRead, DocumentRejected
from fulmarstile_services.document import DocumentError
from fulmarstile_services.freshness import Freshness
from fulmarstile_services.routing_table import RoutingTable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.ports import Platform
    from fulmarstile_platform.keyed_log import KeyedLog, KeyedRecord

_SOURCE_STORE: Final = "store"
_SOURCE_ACTIVE: Final = "active document"
_PURPOSE_CONFIRM: Final = "confirm"
_DEFAULT_CONNECTIONS: Final = 64
"""Connection limit of an upstream whose service is not in the active document."""
_SETTLE_BYTES_PER_S: Final = 150_000
"""Bytes of a document per second of delay before it is sent to daemons that lack it."""
_MAX_SETTLE_S: Final = 1.0


class ActiveRoutes:
    """The active routing table; None until the first document is known."""

    def __init__(self) -> None:
        self.table: RoutingTable | None = None
        """The active table."""

    @property
    def names_customers(self) -> bool:
        """Whether the active document names customers."""
        return self.table is not None and self.table.customers is not None


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
        self._redacted: bytes | None = None
        self._next_offset: int | None = None
        self.freshness = freshness or Freshness()
        """Age of the knowledge that the active version is the newest."""
        self.clock = clock
        """Returns the time that freshness is measured by, in seconds."""
        self._applied: deque[tuple[float, int]] = deque()
        self.on_change: Callable[[], None] = lambda: None
        """Called when another version becomes active."""
        self.on_other_records: Callable[[list[KeyedRecord]], None] = lambda _: None
        """Called with the records of the operator's topic that hold no document."""
        self.was_read = False
        """Whether the operator's topic was read since the start."""
        self.reads = 0
        """Successful reads of the operator's topic."""
        self.bytes_read = 0
        """Bytes of the store's answers to them."""

    @property
    def version(self) -> int:
        """Active version; -1 if there is none."""
        table = self._routes.table
        return -1 if table is None else table.version

    @property
    def redacted(self) -> bytes:
        """Active document without customers' keys, as other daemons receive it; empty if none."""
        if self._redacted is None:
            self._redacted = self._redact()
        return self._redacted

    @property
    def next_offset(self) -> int | None:
        """Offset up to which its topic has been read; None before the first read."""
        return self._next_offset

    def should_send(self, version: int) -> bool:
        """Decides whether to send the active document to another daemon.

        A daemon that reads the store receives it there at about the same time. A large document is
        therefore sent only to a daemon that still lacks a version which has been active here for a
        while.

        Args:
            version: Active version of the other daemon.
        """
        settle_s = min(_MAX_SETTLE_S, len(self._raw) / _SETTLE_BYTES_PER_S)
        settled_at = trio.current_time() - settle_s
        applied = self._applied
        while len(applied) > 1 and applied[1][0] <= settled_at:
            applied.popleft()
        return bool(applied) and applied[0][0] <= settled_at and applied[0][1] > version

    def _redact(self) -> bytes:
        if not self._raw:
            return b""
        try:
            return self._platform.redact_document(self._raw)
        except DocumentError as error:
            # Other daemons read it from the store; it must not leave this one with keys.
            self._log.write(DocumentRejected(reason=str(error), source=_SOURCE_ACTIVE))
            return b""

    def connection_limit(self, service: str) -> int:
        """Returns the maximum number of connections of a service's upstream."""
        table = self._routes.table
        definition = table.document.services.get(service) if table else None
        return definition.connection_limit if definition else _DEFAULT_CONNECTIONS

    def apply_if_newer(self, raw: bytes, source: str) -> bool:
        """Applies a document if it is newer than the active one.

        Args:
            raw: Document as encoded in the store, or as another daemon sent it.
            source: Source of the document, for the log.

        Returns:
            Whether it was applied.
        """
        if not raw or raw == self._raw:
            return False
        try:
            document = self._platform.decode_document(raw)
            if document.version <= self.version:
                return False
            table = RoutingTable(document)
        except DocumentError as error:
            self._log.write(DocumentRejected(reason=str(error), source=source))
            return False
        replaced = self.version
        self._routes.table = table
        self._raw = raw
        self._redacted = None
        self._applied.append((trio.current_time(), document.version))
        self._log.write(
            DocumentApplied(
                version=document.version,
                replaced=replaced,
                routes=len(document.routes),
                source=source,
            )
        )
        self.on_change()
        return True

    async def follow(self, store: KeyedLog) -> None:
        """Follows the store until cancelled.

        Args:
            store: The platform's store.
        """
        topic = self._platform.document_topic
        await follow_topic(
            store,
            topic,
            self._on_records,
            self._log,
            self._on_caught_up,
            on_read=self._on_read,
            latest_only=True,
            clock=self.clock,
        )

    async def confirm(self, store: KeyedLog) -> None:
        """Asks the store for newer versions, without waiting for one.

        Args:
            store: The platform's store.

        Raises:
            LogError: If the store cannot be read.
        """
        offset = self._next_offset
        if offset is None:
            return
        sent_at = self.clock()
        try:
            page = await store.read_keyed(self._platform.document_topic, offset, 0.0)
        except trio.Cancelled:
            elapsed_s = round(self.clock() - sent_at, 3)
            self._log.write(
                DocumentRead(purpose=_PURPOSE_CONFIRM, elapsed_s=elapsed_s, problem="timed out")
            )
            raise
        ended_at = self.clock()
        self._on_records(page.records)
        self._on_read(describe_read(page, _PURPOSE_CONFIRM, sent_at, ended_at))

    def _on_read(self, read: TopicRead) -> None:
        """Notes what a read of the topic proves, after its records were applied."""
        self._next_offset = max(self._next_offset or 0, read.next_offset)
        self.reads += 1
        self.bytes_read += read.transfer.size
        if read.records:
            self._log.write(_make_read_event(read))
        if read.is_complete:
            self.freshness.confirm(read.sent_at)

    def _on_caught_up(self) -> None:
        self.was_read = True

    def _on_records(self, records: Iterable[KeyedRecord]) -> None:
        newest = b""
        others: list[KeyedRecord] = []
        for record in records:
            if record.key == self._platform.document_key:
                newest = record.value
            else:
                others.append(record)
        self.apply_if_newer(newest, _SOURCE_STORE)
        if others:
            self.on_other_records(others)


def _make_read_event(read: TopicRead) -> DocumentRead:
    return DocumentRead(
        purpose=read.purpose,
        records=read.records,
        next_offset=read.next_offset,
        has_more=not read.is_complete,
        bytes=read.transfer.size,
        elapsed_s=round(read.elapsed_s, 3),
        transfer_s=round(read.transfer.seconds, 3),
    )
