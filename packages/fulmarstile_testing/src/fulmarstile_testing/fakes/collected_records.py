"""Stand-in for the active document that passes on what was read."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fulmarstile_services.document_contact import DocumentContact
from fulmarstile_services.document_position import DocumentPosition
from fulmarstile_services.freshness import Freshness

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarstile_platform.keyed_log import KeyedRecord


class CollectedRecords:
    """Stands in for the active document, and passes on what was read.

    Args:
        collect: Called with the records of each read.
    """

    def __init__(self, collect: Callable[[Iterable[KeyedRecord]], None]) -> None:
        self._collect = collect
        self.next_offset: int | None = None
        """Offset up to which the topic is known; None if nothing is."""
        self.size = 0
        """Size of the largest record, in bytes."""
        self.position = DocumentPosition()
        """Knows no record, so that every one counts as usable."""
        self.freshness = Freshness()
        """Updated with what reads of the store prove."""
        self.contact = DocumentContact()
        """Updated with when the store answers."""
        self.clock = trio.current_time
        """Returns the time in seconds."""
        self.version = -1
        """No version is applied."""
        self.on_hidden: Callable[[], None] = lambda: None
        """Never called."""

    def apply_records(self, records: Iterable[KeyedRecord]) -> None:
        """See `ActiveDocument.apply_records`."""
        records = tuple(records)
        self.size = max(self.size, *(len(record.value) for record in records), 0)
        self._collect(records)

    def expect(self, end_offset: int) -> None:
        """See `ActiveDocument.expect`."""

    def learn(self, next_offset: int) -> None:
        """See `ActiveDocument.learn`."""
        self.next_offset = max(self.next_offset or 0, next_offset)
