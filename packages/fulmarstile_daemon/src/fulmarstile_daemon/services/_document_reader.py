"""Reads the operator's topic from the store, if this daemon should."""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._document_copies import DocumentCopies
from fulmarstile_daemon.services._outage_tracker import OutageTracker
from fulmarstile_daemon.services._read_pacer import ReadPacer
from fulmarstile_daemon.services.document_events import (
    DocumentComplete,
    DocumentMissed,
    DocumentRead,
    DocumentUnread,
)
from fulmarstile_platform.keyed_log import MAX_READ_BYTES, RecordsExpiredError
from fulmarstile_platform.log import LogError
from fulmarstile_services.known_records import KnownRecords
from fulmarstile_services.topic_progress import TopicProgress

if TYPE_CHECKING:
    from fulmarstile_daemon.services.documents import ActiveDocument
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_platform.keyed_log import KeyedLog, KeyedPage, KeyedRecord
    from fulmarstile_services.document_sources import DocumentSources

_LOGGER: Final = logging.getLogger(__name__)

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
_CHECK_SHARE: Final = 0.05
"""Largest fraction of the link that reads may use that only check what is known."""
_ENCODED_RATIO: Final = 4 / 3
"""Size of a record in an answer with the newest ones, relative to its own."""
_READ_SIZE_FACTOR: Final = 1.5
"""Size of a read relative to the largest record of the last one."""
_MIN_READ_BYTES: Final = 16 * 1024
_KBIT: Final = 125
"""Bytes."""
_PURPOSE_POLL: Final = "follow"
_PURPOSE_NEWEST: Final = "newest"
_PURPOSE_SKIPPED: Final = "skipped"
_TELL_S: Final = 0.5
"""Time in which another daemon may tell what skipped records hold, in seconds. They are large, and
only the few daemons that all others rely on read them, unless these don't."""
_LATE_TELL_S: Final = 1.2
"""The same for all other daemons."""
_START_TELL_S: Final = 1.7
"""The same at a start, where the few read more records, and a version is due after 3 s."""
_MAX_UNREAD_S: Final = 1.2
"""Time for which others rely on a daemon that has skipped records, in seconds."""
_RETRY_S: Final = 0.2
"""Pause after a read of skipped records that returned nothing, in seconds; doubled with each
more."""
_MAX_RETRY_S: Final = 0.8


@dataclass(frozen=True, slots=True)
class _Proof:
    """What a read proves; times are in seconds of the clock of the active document."""

    sent_at: float
    """Time at which there was nothing newer than the read returned."""
    heard_at: float
    """Time at which the store answered."""


class DocumentReader:
    """Follows the operator's topic.

    If more has come than the link carries at once, the newest record is read first, and what was
    skipped afterwards.

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
        read_bytes_per_s = link_bytes_per_s * _LINK_SHARE
        self._pacer = ReadPacer(_MAX_PAUSE_S, read_bytes_per_s, _MAX_SIZE_PAUSE_S)
        self._max_burst_bytes = min(MAX_READ_BYTES, int(read_bytes_per_s * _MAX_SIZE_PAUSE_S))
        self._read_back_bytes = self._max_burst_bytes
        self._progress = TopicProgress()
        self._known = KnownRecords()
        self._max_check_bytes = link_bytes_per_s * _PROMPT_POLL_TIMEOUT_S * _CHECK_SHARE
        self._copies = DocumentCopies(documents, sources, log)
        self._has_unread = trio.Event()
        self._retry_s = _RETRY_S
        self._unread_since: float | None = None
        self._proof: _Proof | None = None
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
        """Whether this daemon follows the store, without an error, and soon knows all of it."""
        if not self._is_following or self._outage.is_ongoing:
            return False
        unread_since = self._unread_since
        return unread_since is None or trio.current_time() - unread_since < _MAX_UNREAD_S

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
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_skipped, store)
            nursery.start_soon(self._copies.run, store)
            await self._follow(store)

    async def _follow(self, store: KeyedLog) -> None:
        documents, progress = self._documents, self._progress
        max_bytes = MAX_READ_BYTES
        reads_newest = True
        while True:
            await self._wait_for_turn()
            self._note_told()
            known_offset = progress.next_offset
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
                reads_newest = True
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
            if purpose == _PURPOSE_NEWEST:
                offsets = {record.offset for record in page.records}
                largest = max((len(record.value) for record in page.records), default=0)
                progress.on_newest(offsets, page.next_offset, largest)
            else:
                progress.on_read(page.next_offset)
            replaced = documents.version
            documents.apply_records(self._known.add(page.records))
            self._report_missed(replaced, known_offset or 0)
            if not page.has_more:
                self._proof = _Proof(sent_at, heard_at)
            self._settle()
            reads_newest = page.has_more or self._should_check(page, purpose)
            if page.records:
                max_bytes = max(self._max_burst_bytes, _room_for_one(page.records))
            if not page.has_more:
                await self._pacer.wait(page.records, read_s)

    async def _read_skipped(self, store: KeyedLog) -> None:
        """Reads back what reads of the newest records have skipped, until cancelled."""
        while True:
            await self._has_unread.wait()
            self._has_unread = trio.Event()
            await self._wait_for_others()
            self._note_told()
            while not self._progress.is_complete:
                if self._progress.unread:
                    await self._read_back(store)
                else:
                    await self._read_copy(store)
                self._note_told()

    async def _wait_for_others(self) -> None:
        """Waits while another daemon may tell what skipped records hold."""
        sources, documents = self._sources, self._documents
        has_started = math.isfinite(documents.contact.heard_at)
        if has_started and documents.position.may_be_superseded and sources.is_prompt_reader:
            # The newest record is of no use, so nothing of what was skipped is in force yet.
            return
        await trio.sleep(_TELL_S)
        # Known only now at a start, when other daemons have become known.
        if not sources.is_prompt_reader:
            late_tell_s = _LATE_TELL_S if has_started else _START_TELL_S
            await trio.sleep(late_tell_s - _TELL_S)

    async def _read_back(self, store: KeyedLog) -> None:
        """Reads some of the unread records, the last ones first."""
        progress = self._progress
        # Where no document is known, the size of a record isn't, either.
        count = self._max_burst_bytes // (self._documents.size or self._max_burst_bytes)
        offset = progress.choose_read_back(max(1, count))
        started_at = trio.current_time()
        try:
            page = await store.read_keyed(self._topic, offset, 0.0, self._read_back_bytes)
        except RecordsExpiredError as error:
            progress.on_expired(offset, error.first_offset)
            return
        except LogError as error:
            _LOGGER.debug("skipped records could not be read: %s", error)
            await self._defer_read_back()
            return
        read_s = trio.current_time() - started_at
        self._note(page, _PURPOSE_SKIPPED, read_s, offset)
        self._documents.apply_records(self._known.add(page.records))
        if page.next_offset <= offset:
            # A store may answer early, or return no record that is larger than the read.
            self._read_back_bytes = MAX_READ_BYTES
            await self._defer_read_back()
            return
        progress.on_read_back(page.next_offset, offset)
        self._retry_s = _RETRY_S
        if math.isfinite(self._documents.contact.heard_at):
            # Half of the link remains for requests.
            await trio.sleep(read_s)

    async def _defer_read_back(self) -> None:
        await trio.sleep(self._retry_s)
        self._retry_s = min(_MAX_RETRY_S, 2 * self._retry_s)

    async def _read_copy(self, store: KeyedLog) -> None:
        """Reads the copy of a version whose record may have expired."""
        try:
            await self._copies.read(store)
        except LogError as error:
            _LOGGER.debug("the copy of a hidden version could not be read: %s", error)
            await self._defer_read_back()
            return
        self._progress.on_copy()

    def _note_told(self) -> None:
        """Notes what other daemons know of the topic."""
        self._progress.on_told(self._documents.next_offset or 0)
        self._settle()

    def _settle(self) -> None:
        """Notes what the last read proves, unless there are records that may be unknown."""
        progress, documents = self._progress, self._documents
        if progress.next_offset is None:
            return
        if not progress.is_complete:
            documents.expect(progress.next_offset)
            self._note_unread()
            self._has_unread.set()
            return
        documents.learn(progress.next_offset)
        self._note_complete()
        if self._proof is not None:
            documents.freshness.confirm(self._proof.sent_at)
            documents.contact.hear(self._proof.heard_at)
            self._proof = None
            self._is_following = True

    def _note_unread(self) -> None:
        if self._unread_since is not None:
            return
        self._unread_since = trio.current_time()
        self._log.write(
            DocumentUnread(
                version=self._documents.version,
                from_offset=self._progress.unread.start,
                next_offset=self._progress.next_offset or 0,
            )
        )

    def _note_complete(self) -> None:
        if self._unread_since is None:
            return
        after_s = round(trio.current_time() - self._unread_since, 2)
        self._unread_since = None
        self._log.write(DocumentComplete(version=self._documents.version, after_s=after_s))

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

    def _should_check(self, page: KeyedPage, purpose: str) -> bool:
        """Returns whether the newest records are read next, although the poll returned none.

        A store may have lost records that others then go on from, and given out their offsets
        again. The few daemons that the others rely on find that out by the content.
        """
        if purpose != _PURPOSE_POLL or page.records or not self._sources.is_relied_on:
            return False
        return self._documents.size * _ENCODED_RATIO <= self._max_check_bytes

    def _report_missed(self, replaced: int, known_offset: int) -> None:
        """Reports a version that polls did not return, though it lies before the known offset."""
        documents = self._documents
        offset = documents.position.active_offset
        if documents.version > replaced and offset < known_offset:
            self._log.write(
                DocumentMissed(version=documents.version, offset=offset, known_offset=known_offset)
            )

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


def _room_for_one(records: tuple[KeyedRecord, ...]) -> int:
    """Returns the read size that fits one record as large as the largest of these."""
    largest = max(len(record.value) for record in records)
    return min(MAX_READ_BYTES, max(_MIN_READ_BYTES, int(largest * _READ_SIZE_FACTOR)))
