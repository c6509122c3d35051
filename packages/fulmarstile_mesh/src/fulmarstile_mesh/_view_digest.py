"""Incremental bucketed hash of the membership view for anti-entropy."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
import xxhash

from fulmarstile_mesh.view import is_running
from fulmarstile_wire.records import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarstile_mesh._member_table import MemberTable

BUCKET_COUNT: Final = 64

_encoder = msgspec.msgpack.Encoder()


def find_bucket(daemon_id: str) -> int:
    """Returns the index of the bucket that a daemon's records belong to."""
    return xxhash.xxh32_intdigest(daemon_id.encode()) % BUCKET_COUNT


class ViewDigest:
    """Incrementally updated hash of a member table.

    Dead and departed members are excluded because daemons remove them at different times.
    Suspicion is excluded because it is temporary: it ends in a refutation or a death.
    """

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._hashes: dict[str, int] = {}
        self._buckets = [0] * BUCKET_COUNT
        self._changed: set[str] = set()

    @property
    def buckets(self) -> tuple[int, ...]:
        """Hash of each bucket."""
        self._update()
        return tuple(self._buckets)

    @property
    def digest(self) -> bytes:
        """8-byte hash of the whole view."""
        return xxhash.xxh64_digest(_encoder.encode(self.buckets))

    def mark_changed(self, daemon_id: str) -> None:
        """Marks the records of a daemon as changed."""
        self._changed.add(daemon_id)

    def _update(self) -> None:
        for daemon_id in self._changed:
            new_hash = self._hash_daemon(daemon_id)
            old_hash = self._hashes.pop(daemon_id, 0)
            if new_hash:
                self._hashes[daemon_id] = new_hash
            self._buckets[find_bucket(daemon_id)] ^= old_hash ^ new_hash
        self._changed.clear()

    def _hash_daemon(self, daemon_id: str) -> int:
        record = self._table.members.get(daemon_id)
        if record is None or not is_running(record):
            return 0
        upstream = self._table.upstreams.get(daemon_id)
        content = (
            record.daemon_id,
            record.incarnation,
            record.status is MemberStatus.LEAVING,
            (upstream.incarnation, upstream.sequence) if upstream else None,
            [
                (applied.customer, applied.incarnation, applied.version)
                for applied in self._table.list_applied(daemon_id)
            ],
        )
        return xxhash.xxh32_intdigest(_encoder.encode(content))


def find_differing_buckets(
    local_buckets: Sequence[int], remote_buckets: Sequence[int]
) -> frozenset[int] | None:
    """Returns the differing buckets; None if the bucket counts differ, so that none compare."""
    if len(local_buckets) != len(remote_buckets):
        return None
    return frozenset(
        index
        for index, pair in enumerate(zip(local_buckets, remote_buckets, strict=True))
        if pair[0] != pair[1]
    )
