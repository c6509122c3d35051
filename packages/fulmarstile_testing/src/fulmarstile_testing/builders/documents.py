"""Builders of the parts of a daemon that keep the operator's document up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_daemon.services._document_reader import DocumentReader
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_services.directory import Directory
from fulmarstile_services.document_sources import DocumentSources
from fulmarstile_testing.builders.services import make_member
from fulmarstile_testing.fakes.service_platform import DOCUMENT_TOPIC

if TYPE_CHECKING:
    from fulmarstile_daemon.services.documents import ActiveDocument


def make_document_reader(
    documents: ActiveDocument, topic: str = DOCUMENT_TOPIC, *, faster_readers: int = 0
) -> DocumentReader:
    """Makes the reader of a daemon that knows some others with faster links, by default none."""
    directory = Directory(make_member("d-1"))
    directory.merge_members(
        make_member(f"faster-{number}", link_kbps=1_000) for number in range(faster_readers)
    )
    sources = DocumentSources(directory, lambda _: True)
    return DocumentReader(documents, topic, sources, 0, EventLog("d-1"))
