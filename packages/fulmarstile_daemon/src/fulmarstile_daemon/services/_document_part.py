"""Assembles what keeps the operator's document of a daemon up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from fulmarstile_daemon.services._boot_clock import read_boot_clock
from fulmarstile_daemon.services._document_reader import DocumentReader
from fulmarstile_daemon.services._document_relay import DocumentRelay
from fulmarstile_daemon.services._document_watch import DocumentWatch
from fulmarstile_daemon.services._freshness_keeper import FreshnessKeeper
from fulmarstile_services.document_sources import DocumentSources
from fulmarstile_wire.documents import DocumentRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._links import DaemonLinks
    from fulmarstile_daemon.services.documents import ActiveDocument
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.gossip import Gossip
    from fulmarstile_daemon.services.metrics import ServiceMetrics
    from fulmarstile_platform.keyed_log import KeyedLog
    from fulmarstile_services.directory import Directory


class DocumentPart:
    """Reads the document, passes it on, and keeps the knowledge recent that it is the newest one.

    Args:
        documents: The active document.
        topic: Topic that holds the document in the store.
        directory: Directory of the known daemons.
        is_reachable: Returns whether a daemon answered the last attempt to reach it.
        links: Connections to other daemons.
        gossip: Exchanges state with other daemons; told how to fetch newer versions.
        log: Log of the daemon.
    """

    def __init__(
        self,
        documents: ActiveDocument,
        topic: str,
        directory: Directory,
        is_reachable: Callable[[str], bool],
        links: DaemonLinks,
        gossip: Gossip,
        log: EventLog,
    ) -> None:
        local_member = directory.local_member
        sources = DocumentSources(directory, is_reachable)
        self._documents = documents
        self._reader = DocumentReader(documents, topic, sources, local_member.link_kbps, log)
        self._relay = DocumentRelay(
            local_member.name, documents, sources, links, lambda: self._reader.is_current
        )
        self._relay.on_silence.append(self._reader.renew)
        self._watch = DocumentWatch(
            documents,
            lambda: self._relay.asked,
            lambda: sources.is_reader,
            self._reader.renew,
            log,
        )
        gossip.on_newer_document = self._relay.hint
        gossip.fetch_document = self._relay.fetch
        self._keeper = FreshnessKeeper(documents, gossip, log, lambda: sources.is_reader)

    @property
    def relay(self) -> DocumentRelay:
        """Asks other daemons for newer versions, and answers them."""
        return self._relay

    @property
    def waiting_handlers(self) -> dict[type[Any], Callable[[Any], Awaitable[Any]]]:
        """Handlers of other daemons' requests that may wait, by the type of the request."""
        return {DocumentRequest: self._relay.answer}

    async def run(self, store: KeyedLog) -> None:
        """Keeps the document up to date, until cancelled.

        Args:
            store: The platform's store.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._reader.run, store)
            nursery.start_soon(self._relay.run)
            nursery.start_soon(self._keeper.run, store)
            nursery.start_soon(self._watch.run)

    def add_gauges(self, metrics: ServiceMetrics) -> None:
        """Adds the gauges of the document.

        Args:
            metrics: Metrics of the daemon.
        """
        add = metrics.add_gauge
        freshness = self._documents.freshness
        add("document_version", lambda: self._documents.version)
        add("document_age_seconds", lambda: freshness.age_s(read_boot_clock()))
        add("document_silent_seconds", lambda: self._documents.contact.silent_s(read_boot_clock()))
        add("document_silences", lambda: self._watch.silences)
        add("document_reads", lambda: self._reader.reads)
        add("document_bytes_read", lambda: self._reader.bytes_read)
        add("document_bytes_relayed", lambda: self._relay.bytes_sent)
        add("document_bytes_received", lambda: self._relay.bytes_received)
