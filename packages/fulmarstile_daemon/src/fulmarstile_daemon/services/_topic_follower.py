"""Follows a topic of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._outage_tracker import OutageTracker
from fulmarstile_platform.keyed_log import RecordsExpiredError
from fulmarstile_platform.log import LogError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Sequence

    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_platform.keyed_log import KeyedLog, KeyedRecord

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


async def follow_topic(
    store: KeyedLog,
    topic: str,
    on_records: Callable[[Iterable[KeyedRecord]], None],
    log: EventLog,
    on_caught_up: Callable[[], None] | None = None,
    *,
    before_read: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Delivers the newest record of each key, then all later records, until cancelled.

    Args:
        store: The platform's store.
        topic: Name of the topic.
        on_records: Called with the records in order.
        log: Log of the daemon.
        on_caught_up: Called whenever all existing records have been delivered.
        before_read: Awaited before each read except the first.
    """
    offset = 0
    reads_newest = True
    outage = OutageTracker(topic, log)
    pacer = _ReadPacer()
    while True:
        started_at = trio.current_time()
        try:
            if reads_newest:
                page = await store.read_newest(topic)
            else:
                page = await store.read_keyed(topic, offset, _POLL_TIMEOUT_S)
        except RecordsExpiredError:
            reads_newest = True
            continue
        except LogError as error:
            await outage.wait(error)
            continue
        outage.end()
        reads_newest = False
        offset = page.next_offset
        if page.records:
            on_records(page.records)
        if on_caught_up is not None:
            on_caught_up()
        await pacer.wait(page.records, trio.current_time() - started_at)
        if before_read is not None:
            await before_read()


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
