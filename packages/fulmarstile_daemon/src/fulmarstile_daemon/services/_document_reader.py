"""Reads the operator's topic from the store, if this daemon should."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._outage_tracker import OutageTracker
from fulmarstile_daemon.services._read_pacer import ReadPacer
from fulmarstile_daemon.services.events import DocumentRead
from fulmarstile_platform.keyed_log import MAX_READ_BYTES, RecordsExpiredError
from fulmarstile_platform.log import LogError

if TYPE_CHECKING:
    from fulmarstile_daemon.services.documents import ActiveDocument
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_platform.keyed_log import KeyedLog, KeyedPage, KeyedRecord
    from fulmarstile_services.document_sources import DocumentSources

_READER_POLL_TIMEOUT_S: Final = 5.0
"""Long-poll timeout of a daemon that reads for others, in seconds."""
_PROMPT_POLL_TIMEOUT_S: Final = 1.2
"""The same for the few that all others rely on if connections go silent, which is noticed only
after that time; where reads confirm the knowledge, these notice it."""
_POLL_TIMEOUT_S: Final = 1.0
"""The same for one that reads only until another daemon replies to it again."""
_TURN_INTERVAL_S: Final = 0.1
"""Interval of the check whether this daemon should read, in seconds."""
_MAX_PAUSE_S: Final = 0.4
"""Longest pause between reads during a burst, in seconds."""
_MAX_SIZE_PAUSE_S: Final = 0.6
"""Longest pause after a read that took a large part of what the link carries, in seconds."""
_RENEWAL_S: Final = 1.5
"""Time that a read has after a renewal before it may be ended by the next one, in seconds."""
_LINK_SHARE: Final = 0.25
"""Fraction of the link that reads may use during a burst, unless the longest pause is reached."""
_DEFAULT_LINK_BYTES_PER_S: Final = 800_000
"""Assumed capacity of a link whose capacity is unknown, in bytes per second."""
_READ_SIZE_FACTOR: Final = 1.5
"""Size of a read relative to the largest record of the last one."""
_MIN_READ_BYTES: Final = 16 * 1024
_KBIT: Final = 125
"""Bytes."""
_PURPOSE_POLL: Final = "follow"
_PURPOSE_NEWEST: Final = "newest"


class DocumentReader:
    """Follows the operator's topic; superseded versions are skipped.

    Args:
        documents: The active document.
        topic: Name of the topic.
        sources: Decides whether this daemon should read.
        link_kbps: Capacity of the VM's link, in kilobits per second; 0 if unknown.
        log: Log of the daemon.
    """

    def __init__(
        self,
        documents: ActiveDocument,
        topic: str,
        sources: DocumentSources,
        link_kbps: int,
        log: EventLog,
    ) -> None:
        self._documents = documents
        self._topic = topic
        self._sources = sources
        self._log = log
        self._outage = OutageTracker(topic, log)
        link_bytes_per_s = link_kbps * _KBIT or _DEFAULT_LINK_BYTES_PER_S
        self._pacer = ReadPacer(_MAX_PAUSE_S, link_bytes_per_s * _LINK_SHARE, _MAX_SIZE_PAUSE_S)
        self._is_following = False
        self._store: KeyedLog | None = None
        self._waits_from: int | None = None
        self._renewed_at = -math.inf
        self.is_reading = False
        """Whether it is this daemon's turn to read."""
        self.reads = 0
        """Successful reads."""
        self.bytes_read = 0
        """Bytes of the store's answers to them."""

    @property
    def is_current(self) -> bool:
        """Whether this daemon follows the store, without an error."""
        return self._is_following and not self._outage.is_ongoing

    @property
    def is_overtaken(self) -> bool:
        """Whether a poll waits for records that another daemon has passed on already."""
        return self._waits_from is not None and self._waits_from < (
            self._documents.next_offset or 0
        )

    async def run(self, store: KeyedLog) -> None:
        """Follows the topic, until cancelled.

        Args:
            store: The platform's store.
        """
        self._store = store
        documents = self._documents
        max_bytes = MAX_READ_BYTES
        reads_newest = True
        expired_offset = -1
        while True:
            await self._wait_for_turn()
            known_offset = documents.next_offset
            started_at = trio.current_time()
            sent_at = documents.clock()
            timeout_s = 0.0
            try:
                if reads_newest or known_offset is None:
                    purpose = _PURPOSE_NEWEST
                    page = await store.read_newest(self._topic)
                else:
                    purpose = _PURPOSE_POLL
                    timeout_s = self._poll_timeout_s()
                    self._waits_from = known_offset
                    page = await store.read_keyed(self._topic, known_offset, timeout_s, max_bytes)
            except RecordsExpiredError:
                reads_newest, expired_offset = True, known_offset or 0
                continue
            except LogError as error:
                await self._outage.wait(error)
                continue
            finally:
                self._waits_from = None
            self._outage.end()
            read_s = trio.current_time() - started_at
            heard_at = documents.clock() - page.transfer.seconds
            if not page.records:
                # It was made when the wait had passed, however late it arrived.
                heard_at = min(heard_at, sent_at + timeout_s)
            self._note(page, purpose, read_s, known_offset)
            next_offset = page.next_offset
            if purpose == _PURPOSE_NEWEST:
                next_offset = _find_proven_end(page, expired_offset)
            documents.apply_records(page.records, next_offset)
            if not page.has_more and next_offset >= page.next_offset:
                documents.freshness.confirm(sent_at)
                documents.contact.hear(heard_at)
                self._is_following = True
            is_burst = known_offset is not None and next_offset - known_offset > 1
            reads_newest = page.has_more or is_burst
            if page.records:
                max_bytes = _room_for_one(page.records)
            if not page.has_more:
                await self._pacer.wait(page.records, read_s)

    def renew(self) -> None:
        """Ends a read that waits in silence, so that another one follows over a new connection."""
        if self._store is None:
            return
        now = trio.current_time()
        # A read that was sent after the last renewal uses a new connection already.
        silent_s = now - self._renewed_at
        if silent_s >= _RENEWAL_S:
            silent_s = 0.0
            self._renewed_at = now
        self._store.end_silent_reads(self._topic, silent_s)

    async def _wait_for_turn(self) -> None:
        while not self._sources.should_read_store(trio.current_time()):
            self._is_following = self.is_reading = False
            await trio.sleep(_TURN_INTERVAL_S)
        if not self.is_reading:
            # Others have not replied, perhaps because open connections have gone silent.
            self.renew()
        self.is_reading = True

    def _poll_timeout_s(self) -> float:
        if self._outage.is_ongoing:
            # Shows at once whether the store answers again.
            return 0.0
        if not self._sources.is_reader:
            return _POLL_TIMEOUT_S
        confirms_soon = self._documents.freshness.confirm_interval_s <= _PROMPT_POLL_TIMEOUT_S
        if confirms_soon or not self._sources.is_prompt_reader:
            return _READER_POLL_TIMEOUT_S
        return _PROMPT_POLL_TIMEOUT_S

    def _note(self, page: KeyedPage, purpose: str, read_s: float, known_offset: int | None) -> None:
        self.reads += 1
        self.bytes_read += page.transfer.size
        if not page.records:
            return
        from_offset = min(record.offset for record in page.records)
        self._log.write(
            DocumentRead(
                purpose=purpose,
                records=len(page.records),
                from_offset=from_offset,
                skipped=max(0, from_offset - (known_offset or 0)),
                next_offset=page.next_offset,
                has_more=page.has_more,
                bytes=page.transfer.size,
                elapsed_s=round(read_s, 3),
                transfer_s=round(page.transfer.seconds, 3),
            )
        )


def _find_proven_end(page: KeyedPage, expired_offset: int) -> int:
    """Returns the offset up to which a read of the newest records shows all of them.

    What lies between the last record of the answer and its end may be a version that it lacks.

    Args:
        page: What was read.
        expired_offset: Offset from which records have expired before; there is no use in asking for
            them again.
    """
    end = 1 + max((record.offset for record in page.records), default=-1)
    return page.next_offset if end <= expired_offset else min(end, page.next_offset)


def _room_for_one(records: tuple[KeyedRecord, ...]) -> int:
    """Returns the read size that fits one record as large as the largest of these."""
    largest = max(len(record.value) for record in records)
    return min(MAX_READ_BYTES, max(_MIN_READ_BYTES, int(largest * _READ_SIZE_FACTOR)))
