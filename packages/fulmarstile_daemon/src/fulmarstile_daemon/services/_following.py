"""Follows one topic of the store."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services.events import DependencyLost, DependencyRegained
from fulmarstile_platform.keyed_log import MAX_READ_BYTES, RecordsExpiredError
from fulmarstile_platform.log import LogError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Sequence

    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_platform.keyed_log import KeyedLog, KeyedRecord

_WAIT_S: Final = 25.0
"""Longest wait of one read, in seconds."""
_FIRST_PAUSE_S: Final = 0.08
"""Pause after records arrived; doubled while more arrive, so that a storm costs few reads."""
_MAX_PAUSE_S: Final = 1.0
_READ_BYTES_PER_S: Final = 200_000
"""Rate at which records that keep coming are read, in bytes a second, short of longest pauses."""
_QUIET_S: Final = 1.0
"""Wait of a read after which the next records are no longer part of a storm, in seconds."""
_ROOM: Final = 1.5
"""Size of a read, in records like the last one, where earlier records may be left out."""
_MIN_READ_BYTES: Final = 16 * 1024
_FIRST_BACKOFF_S: Final = 0.15
_MAX_BACKOFF_S: Final = 0.8


async def follow_topic(
    store: KeyedLog,
    topic: str,
    take: Callable[[Iterable[KeyedRecord]], None],
    log: EventLog,
    on_current: Callable[[], None] | None = None,
    *,
    wait_turn: Callable[[], Awaitable[None]] | None = None,
    skips_old: bool = False,
) -> None:
    """Hands over the newest records of a topic and then the later ones, until cancelled.

    Args:
        store: The platform's store.
        topic: Name of the topic.
        take: Takes records in order.
        log: Log of the daemon.
        on_current: Called whenever all records that were there have been taken.
        wait_turn: Awaited before each read but the first.
        skips_old: Whether earlier records of a key may be left out. Then about one record is read
            at a time, and where more follow, the newest of each key are read instead of them.
    """
    offset = 0
    max_bytes = MAX_READ_BYTES
    reads_newest = True
    outage = _Outage(topic, log)
    pace = _Pace()
    while True:
        asked_at = trio.current_time()
        try:
            if reads_newest:
                page = await store.read_newest(topic)
            else:
                page = await store.read_keyed(topic, offset, _WAIT_S, max_bytes)
        except RecordsExpiredError:
            reads_newest = True
            continue
        except LogError as error:
            await outage.wait(error)
            continue
        outage.end()
        came_several = offset > 0 and page.next_offset - offset > 1
        reads_newest = skips_old and (came_several or page.has_more)
        offset = page.next_offset
        if page.records:
            take(page.records)
            if skips_old:
                max_bytes = _room_for_one(page.records)
        if skips_old and page.has_more:
            continue
        if on_current is not None:
            on_current()
        await pace.wait(page.records, trio.current_time() - asked_at)
        if wait_turn is not None:
            await wait_turn()


def _room_for_one(records: Sequence[KeyedRecord]) -> int:
    """Returns the size of a read of one record like these."""
    largest = max(len(record.value) for record in records)
    return min(MAX_READ_BYTES, max(_MIN_READ_BYTES, int(largest * _ROOM)))


class _Outage:
    """Time in which a topic cannot be read: its two log lines and the pauses between trials."""

    def __init__(self, topic: str, log: EventLog) -> None:
        self._dependency = f"store {topic}"
        self._log = log
        self._began_at: float | None = None
        self._backoff_s = _FIRST_BACKOFF_S

    async def wait(self, error: LogError) -> None:
        """Waits after a failed read."""
        if self._began_at is None:
            self._began_at = trio.current_time()
            self._log.write(DependencyLost(dependency=self._dependency, reason=str(error)))
        await trio.sleep(self._backoff_s * random.uniform(0.5, 1.0))
        self._backoff_s = min(_MAX_BACKOFF_S, self._backoff_s * 2)

    def end(self) -> None:
        """Notes that a read succeeded."""
        self._backoff_s = _FIRST_BACKOFF_S
        if self._began_at is None:
            return
        after_s = round(trio.current_time() - self._began_at, 2)
        self._log.write(DependencyRegained(dependency=self._dependency, after_s=after_s))
        self._began_at = None


class _Pace:
    """Pauses after records, which grow while more arrive."""

    def __init__(self) -> None:
        self._pause_s = _FIRST_PAUSE_S

    async def wait(self, records: Sequence[KeyedRecord], read_s: float) -> None:
        """Waits after a read.

        Args:
            records: What it returned.
            read_s: Time that it took, in seconds.
        """
        if read_s > _QUIET_S:
            self._pause_s = _FIRST_PAUSE_S
        if not records:
            return
        size = sum(len(record.value) for record in records)
        await trio.sleep(min(_MAX_PAUSE_S, max(self._pause_s, size / _READ_BYTES_PER_S)))
        self._pause_s = min(_MAX_PAUSE_S, self._pause_s * 2)
