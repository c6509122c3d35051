"""Follows a topic of the store."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._boot_clock import read_boot_clock
from fulmarstile_daemon.services.events import DependencyLost, DependencyRegained
from fulmarstile_platform.keyed_log import MAX_READ_BYTES, PageTransfer, RecordsExpiredError
from fulmarstile_platform.log import LogError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Sequence

    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_platform.keyed_log import KeyedLog, KeyedPage, KeyedRecord

PURPOSE_POLL: Final = "follow"
PURPOSE_NEWEST: Final = "newest"
_POLL_TIMEOUT_S: Final = 25.0
"""Long-poll timeout of one read, in seconds."""
_FIRST_PAUSE_S: Final = 0.08
"""First pause after a read returned records, in seconds; doubled while more arrive, so that a burst
of writes takes few reads."""
_MAX_PAUSE_S: Final = 1.0
_READ_BYTES_PER_S: Final = 200_000
"""Maximum read rate during a burst, in bytes per second, unless the longest pause is reached."""
_BURST_END_S: Final = 1.0
"""Duration of a read after which a burst counts as over and pauses start anew, in seconds."""
_READ_SIZE_FACTOR: Final = 1.5
"""Size of a read relative to the largest record of the last one, if only the latest is needed."""
_MIN_READ_BYTES: Final = 16 * 1024
_FIRST_BACKOFF_S: Final = 0.15
_MAX_BACKOFF_S: Final = 0.8


@dataclass(frozen=True, slots=True)
class TopicRead:
    """A successful read whose records have been delivered."""

    sent_at: float
    """Time at which it was sent, in seconds."""
    next_offset: int
    is_complete: bool
    """Whether the topic had no later records when the store answered."""
    purpose: str
    """Kind of the read, for the log."""
    records: int = 0
    """Number of records that it returned."""
    elapsed_s: float = 0.0
    """Time from the request to the end of the answer, in seconds."""
    transfer: PageTransfer = PageTransfer()


def describe_read(page: KeyedPage, purpose: str, sent_at: float, ended_at: float) -> TopicRead:
    """Describes a successful read.

    Args:
        page: The page that it returned.
        purpose: Kind of the read, for the log.
        sent_at: Time at which it was sent, in seconds.
        ended_at: Time at which its answer had arrived, in seconds.

    Returns:
        The description.
    """
    return TopicRead(
        sent_at,
        page.next_offset,
        not page.has_more,
        purpose,
        len(page.records),
        ended_at - sent_at,
        page.transfer,
    )


async def follow_topic(
    store: KeyedLog,
    topic: str,
    on_records: Callable[[Iterable[KeyedRecord]], None],
    log: EventLog,
    on_caught_up: Callable[[], None] | None = None,
    *,
    on_read: Callable[[TopicRead], None] | None = None,
    before_read: Callable[[], Awaitable[None]] | None = None,
    latest_only: bool = False,
    clock: Callable[[], float] = read_boot_clock,
) -> None:
    """Delivers the newest record of each key, then all later records, until cancelled.

    Args:
        store: The platform's store.
        topic: Name of the topic.
        on_records: Called with the records in order.
        log: Log of the daemon.
        on_caught_up: Called whenever all existing records have been delivered.
        on_read: Called after each successful read.
        before_read: Awaited before each read except the first.
        latest_only: Whether superseded records of a key may be skipped. If so, about one record is
            read at a time, and if more follow, only the newest of each key are read.
        clock: Returns the time that `TopicRead` is measured by, in seconds.
    """
    offset = 0
    max_bytes = MAX_READ_BYTES
    reads_newest = True
    outage = _OutageTracker(topic, log)
    pacer = _ReadPacer()
    while True:
        started_at = trio.current_time()
        sent_at = clock()
        try:
            if reads_newest:
                page = await store.read_newest(topic)
            else:
                page = await store.read_keyed(topic, offset, _POLL_TIMEOUT_S, max_bytes)
        except RecordsExpiredError:
            reads_newest = True
            continue
        except LogError as error:
            await outage.wait(error)
            continue
        outage.end()
        purpose = PURPOSE_NEWEST if reads_newest else PURPOSE_POLL
        is_burst = offset > 0 and page.next_offset - offset > 1
        reads_newest = latest_only and (is_burst or page.has_more)
        offset = page.next_offset
        if page.records:
            on_records(page.records)
            if latest_only:
                max_bytes = _room_for_one(page.records)
        if on_read is not None:
            on_read(describe_read(page, purpose, sent_at, clock()))
        if latest_only and page.has_more:
            continue
        if on_caught_up is not None:
            on_caught_up()
        await pacer.wait(page.records, trio.current_time() - started_at)
        if before_read is not None:
            await before_read()


def _room_for_one(records: Sequence[KeyedRecord]) -> int:
    """Returns the read size that fits one record as large as the largest of these."""
    largest = max(len(record.value) for record in records)
    return min(MAX_READ_BYTES, max(_MIN_READ_BYTES, int(largest * _READ_SIZE_FACTOR)))


class _OutageTracker:
    """Logs the start and end of an outage of a topic, and backs off between retries."""

    def __init__(self, topic: str, log: EventLog) -> None:
        self._dependency = f"store {topic}"
        self._log = log
        self._began_at: float | None = None
        self._backoff_s = _FIRST_BACKOFF_S

    async def wait(self, error: LogError) -> None:
        """Backs off after a failed read."""
        if self._began_at is None:
            self._began_at = trio.current_time()
            self._log.write(DependencyLost(dependency=self._dependency, reason=str(error)))
        await trio.sleep(self._backoff_s * random.uniform(0.5, 1.0))
        self._backoff_s = min(_MAX_BACKOFF_S, self._backoff_s * 2)

    def end(self) -> None:
        """Resets the backoff after a successful read, and logs the end of an outage."""
        self._backoff_s = _FIRST_BACKOFF_S
        if self._began_at is None:
            return
        after_s = round(trio.current_time() - self._began_at, 2)
        self._log.write(DependencyRegained(dependency=self._dependency, after_s=after_s))
        self._began_at = None


class _ReadPacer:
    """Paces reads with pauses that grow while more records arrive."""

    def __init__(self) -> None:
        self._pause_s = _FIRST_PAUSE_S

    async def wait(self, records: Sequence[KeyedRecord], read_s: float) -> None:
        """Pauses after a read.

        Args:
            records: Records that it returned.
            read_s: Duration of the read, in seconds.
        """
        if read_s > _BURST_END_S:
            self._pause_s = _FIRST_PAUSE_S
        if not records:
            return
        size = sum(len(record.value) for record in records)
        await trio.sleep(min(_MAX_PAUSE_S, max(self._pause_s, size / _READ_BYTES_PER_S)))
        self._pause_s = min(_MAX_PAUSE_S, self._pause_s * 2)
