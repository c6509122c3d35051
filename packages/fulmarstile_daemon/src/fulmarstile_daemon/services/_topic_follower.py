"""Follows a topic of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._newest_records import find_proven_end
from fulmarstile_daemon.services._outage_tracker import OutageTracker
from fulmarstile_daemon.services._read_pacer import ReadPacer
from fulmarstile_platform.keyed_log import RecordsExpiredError
from fulmarstile_platform.log import LogError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_platform.keyed_log import KeyedLog, KeyedRecord

_POLL_TIMEOUT_S: Final = 25.0
"""Long-poll timeout of one read, in seconds."""
_MAX_PAUSE_S: Final = 1.0
_READ_BYTES_PER_S: Final = 200_000
"""Maximum read rate during a burst, in bytes per second, unless the longest pause is reached."""


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
        before_read: Awaited before each read that waits for records that don't exist yet.
    """
    offset = 0
    expired_offset = -1
    reads_newest = True
    is_caught_up = False
    outage = OutageTracker(topic, log)
    pacer = ReadPacer(_MAX_PAUSE_S, _READ_BYTES_PER_S, _MAX_PAUSE_S)
    while True:
        started_at = trio.current_time()
        try:
            if reads_newest:
                page = await store.read_newest(topic)
            else:
                timeout_s = _POLL_TIMEOUT_S if is_caught_up else 0.0
                page = await store.read_keyed(topic, offset, timeout_s)
        except RecordsExpiredError:
            reads_newest, expired_offset = True, offset
            continue
        except LogError as error:
            await outage.wait(error)
            continue
        outage.end()
        offset = find_proven_end(page, expired_offset) if reads_newest else page.next_offset
        is_caught_up = offset >= page.next_offset and not page.has_more
        if page.records:
            on_records(page.records)
        if is_caught_up and on_caught_up is not None:
            on_caught_up()
        if is_caught_up or not reads_newest:
            await pacer.wait(page.records, trio.current_time() - started_at)
        reads_newest = False
        if is_caught_up and before_read is not None:
            await before_read()
