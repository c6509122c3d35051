"""Reads of the newest records of a topic, whose answer may lack some of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_platform.keyed_log import KeyedPage


def find_proven_end(page: KeyedPage, expired_offset: int) -> int:
    """Returns the offset up to which a read of the newest records shows all of them.

    What lies between the last record of the answer and its end may be a record that it lacks.

    Args:
        page: What was read.
        expired_offset: Offset from which records have expired before; there is no use in asking for
            them again. -1 if none is known.

    Returns:
        The offset at which to continue reading.
    """
    end = 1 + max((record.offset for record in page.records), default=-1)
    return page.next_offset if end <= expired_offset else min(end, page.next_offset)
