"""Which records of a topic a reader has read, told apart by more than their offsets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_platform.keyed_log import KeyedRecord

_MAX_RECORDS: Final = 64


class KnownRecords:
    """Remembers the last records that were read, by offset and content.

    The store gives an offset to another record if it has lost the one that had it before.
    """

    def __init__(self) -> None:
        self._digests: dict[int, bytes] = {}

    def add(self, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Notes records that were read.

        Args:
            records: The records.

        Returns:
            Those that were not read before at their offsets.
        """
        new = []
        for record in records:
            digest = xxhash.xxh3_128_digest(record.value)
            if self._digests.pop(record.offset, b"") != digest:
                new.append(record)
            self._digests[record.offset] = digest
        while len(self._digests) > _MAX_RECORDS:
            del self._digests[next(iter(self._digests))]
        return new
