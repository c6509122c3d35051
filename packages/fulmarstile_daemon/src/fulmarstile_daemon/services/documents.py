"""The operator's document: puts versions in force and follows the store for newer ones."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._topic_follower import follow_topic
from fulmarstile_daemon.services.events import DocumentApplied, DocumentRejected
from fulmarstile_services.document import DocumentError
from fulmarstile_services.routing_table import RoutingTable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.ports import Platform
    from fulmarstile_platform.keyed_log import KeyedLog, KeyedRecord

_SOURCE_STORE: Final = "store"
_DEFAULT_CONNECTIONS: Final = 64
"""Connections to an upstream while its service's document is not known."""
_SETTLE_BYTES_PER_S: Final = 150_000
"""Bytes for each of which a document is in force here before daemons that lack it get it."""
_MAX_SETTLE_S: Final = 1.0


class ActiveRoutes:
    """The routing table in force; None before the first document is known."""

    def __init__(self) -> None:
        self.table: RoutingTable | None = None
        """Table in force."""


class ActiveDocument:
    """Puts whole versions in force, never an older one than before.

    Args:
        platform: Decodes documents.
        routes: Table in force, replaced as a whole.
        log: Log of the daemon.
    """

    def __init__(self, platform: Platform, routes: ActiveRoutes, log: EventLog) -> None:
        self._platform = platform
        self._routes = routes
        self._log = log
        self._raw = b""
        self._applied: deque[tuple[float, int]] = deque()
        self.on_change: Callable[[], None] = lambda: None
        """Called when another version is in force."""

    @property
    def version(self) -> int:
        """Version in force; -1 before the first."""
        table = self._routes.table
        return -1 if table is None else table.version

    @property
    def raw(self) -> bytes:
        """Document in force as the store holds it."""
        return self._raw

    def should_send(self, version: int) -> bool:
        """Tells whether to send the active document to another daemon.

        One that reads the store gets it there at about the same time. A large document goes
        only to one that still lacks what has been in force here for a while.

        Args:
            version: Version that the daemon has in force.
        """
        settle_s = min(_MAX_SETTLE_S, len(self._raw) / _SETTLE_BYTES_PER_S)
        settled_at = trio.current_time() - settle_s
        applied = self._applied
        while len(applied) > 1 and applied[1][0] <= settled_at:
            applied.popleft()
        return bool(applied) and applied[0][0] <= settled_at and applied[0][1] > version

    def connection_limit(self, service: str) -> int:
        """Returns how many connections an upstream of a service accepts."""
        table = self._routes.table
        definition = table.document.services.get(service) if table else None
        return definition.connection_limit if definition else _DEFAULT_CONNECTIONS

    def apply_if_newer(self, raw: bytes, source: str) -> bool:
        """Puts a document in force if it is newer than the one that is.

        Args:
            raw: Document as the store holds it.
            source: Where it comes from.

        Returns:
            Whether it was put in force.
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
        await follow_topic(store, topic, self._take, self._log, latest_only=True)

    def _take(self, records: Iterable[KeyedRecord]) -> None:
        newest = b""
        for record in records:
            if record.key == self._platform.document_key:
                newest = record.value
        self.apply_if_newer(newest, _SOURCE_STORE)
