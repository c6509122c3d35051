"""Reads of the newest records of a topic, whose answer may lack some of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_platform.keyed_log import KeyedPage, RecordsExpiredError
from fulmarstile_platform.log import LogUnavailableError
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_platform.keyed_log import KeyedLog, KeyedRecord


async def read_all_newest(store: KeyedLog, topic: str) -> KeyedPage:
    """Reads the newest record of each key, with those that a read of the newest may lack.

    An append on condition that the topic ends at the offset returned fails if there is any other
    record.

    Args:
        store: The platform's store.
        topic: Name of the topic.

    Returns:
        The records, in no particular order, and the offset at which later ones start.

    Raises:
        LogError: If the store cannot be read, or does not return all that it has.
    """
    expired_offset = -1
    while True:
        page = await store.read_newest(topic)
        proven_end = find_proven_end(page, expired_offset)
        try:
            later, end_offset = await _read_up_to(store, topic, proven_end, page.next_offset)
        except RecordsExpiredError:
            expired_offset = proven_end
            continue
        records = sorted((*page.records, *later), key=lambda record: record.offset)
        newest = {record.key: record for record in records}
        return KeyedPage(tuple(newest.values()), end_offset)


def find_proven_end(page: KeyedPage, expired_offset: int) -> int:
    """Returns the offset up to which a read of the newest records shows all of them.

    What lies between the last record of the answer and its end may be a record that it lacks.
    Records from the end on come from later pages and prove nothing about the first one.

    Args:
        page: What was read.
        expired_offset: Offset from which records have expired before; there is no use in asking for
            them again. -1 if none is known.

    Returns:
        The offset at which to continue reading.
    """
    offsets = (record.offset for record in page.records if record.offset < page.next_offset)
    end = 1 + max(offsets, default=-1)
    return page.next_offset if end <= expired_offset else end


async def _read_up_to(
    store: KeyedLog, topic: str, offset: int, end_offset: int
) -> tuple[list[KeyedRecord], int]:
    """Reads records that exist already; returns them and the offset at which later ones start."""
    records: list[KeyedRecord] = []
    while offset < end_offset:
        page = await store.read_keyed(topic, offset, 0.0)
        if page.next_offset <= offset:
            raise LogUnavailableError(
                f"{topic}: the store returns no record at {offset}, though the topic ends at "
                f"{end_offset}",
                Verdict.NOT_RUN,
            )
        records += page.records
        offset = page.next_offset
    return records, offset
