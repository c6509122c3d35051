"""Queues of membership updates, called news, for delivery to each active peer."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

import msgspec

from fulmarstile_wire.records import (
    AppliedRecord,
    MemberRecord,
    News,
    QuarantineRecord,
    UpstreamRecord,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

NewsRecord: TypeAlias = MemberRecord | UpstreamRecord | AppliedRecord | QuarantineRecord
_Key: TypeAlias = tuple[str, ...]

_encoder = msgspec.msgpack.Encoder()


class NewsPriority(enum.IntEnum):
    """Delivery priority; lower values are delivered first."""

    URGENT = 0
    NORMAL = 1
    LOW = 2


@dataclass(frozen=True, slots=True)
class _QueuedRecord:
    record: NewsRecord
    size: int


@dataclass(frozen=True, slots=True)
class Delivery:
    """News dequeued for one message."""

    news: News
    size: int
    """Encoded size of the records, in bytes."""


class NewsQueue:
    """Queues each update for every active peer except the one that sent it.

    This floods each update about once over every link of the overlay. Since the degree of the
    overlay is bounded, the number of times that a daemon sends an update does not depend on the
    size of the fleet.
    """

    def __init__(self) -> None:
        self._queues: dict[str, tuple[dict[_Key, _QueuedRecord], ...]] = {}

    def set_peers(self, daemon_ids: Iterable[str]) -> None:
        """Sets the peers; keeps the queues of peers that remain."""
        self._queues = {
            daemon_id: self._queues.get(daemon_id) or tuple({} for _ in NewsPriority)
            for daemon_id in daemon_ids
        }

    def add(self, record: NewsRecord, priority: NewsPriority, source: str = "") -> None:
        """Queues a record for all peers.

        Args:
            record: Record; must be newer than any queued record with the same key, which it
                replaces.
            priority: Delivery priority.
            source: Peer that sent the record; empty for a record of local origin.
        """
        key = make_key(record)
        item = _QueuedRecord(record, len(_encoder.encode(record)))
        for daemon_id, queues in self._queues.items():
            for queue in queues:
                queue.pop(key, None)
            if daemon_id != source:
                queues[priority][key] = item

    def add_for_peer(self, peer: str, record: NewsRecord, priority: NewsPriority) -> None:
        """Queues a record for one peer."""
        item = _QueuedRecord(record, len(_encoder.encode(record)))
        self._queues[peer][priority][make_key(record)] = item

    def drop(self, record: NewsRecord, peer: str) -> None:
        """Removes a record from the queues of a peer that already knows it."""
        for queue in self._queues.get(peer, ()):
            item = queue.get(make_key(record))
            if item is not None and item.record == record:
                del queue[make_key(record)]

    def has_news(self, peer: str, priority: NewsPriority) -> bool:
        """Returns whether news of this or a higher priority is queued for a peer."""
        return any(queue for queue in self._queues.get(peer, ())[: priority + 1])

    def dequeue(self, peer: str, max_bytes: float, priority: NewsPriority) -> Delivery:
        """Removes and returns the news for one message.

        Args:
            peer: Receiving peer.
            max_bytes: Maximum encoded size of the records, in bytes; urgent news may exceed it.
            priority: Lowest priority to include.

        Returns:
            The news, possibly empty.
        """
        records: list[NewsRecord] = []
        size = 0
        for level, queue in enumerate(self._queues.get(peer, ())[: priority + 1]):
            for key in list(queue):
                if level > NewsPriority.URGENT and size + queue[key].size > max_bytes:
                    break
                item = queue.pop(key)
                records.append(item.record)
                size += item.size
        return Delivery(build_news(records), size)

    def count_pending(self) -> int:
        """Returns the number of queued records, summed over all peers."""
        return sum(len(queue) for queues in self._queues.values() for queue in queues)


def make_key(record: NewsRecord) -> _Key:
    """Returns the key under which newer records replace a record."""
    match record:
        case MemberRecord():
            return ("member", record.daemon_id)
        case UpstreamRecord():
            return ("upstream", record.daemon_id)
        case AppliedRecord():
            return ("applied", record.daemon_id, record.customer)
        case QuarantineRecord():
            return ("crash", record.daemon_id, str(record.crash_id))


def build_news(records: Iterable[NewsRecord]) -> News:
    """Groups records by type."""
    members = []
    upstreams = []
    applied = []
    quarantine = []
    for record in records:
        match record:
            case MemberRecord():
                members.append(record)
            case UpstreamRecord():
                upstreams.append(record)
            case AppliedRecord():
                applied.append(record)
            case QuarantineRecord():
                quarantine.append(record)
    return News(tuple(members), tuple(upstreams), tuple(applied), tuple(quarantine))


def split_news(records: Iterable[NewsRecord], max_bytes: int) -> list[News]:
    """Splits records into parts of at most `max_bytes` each; a larger record gets its own part."""
    parts: list[News] = []
    part: list[NewsRecord] = []
    size = 0
    for record in records:
        record_size = len(_encoder.encode(record))
        if part and size + record_size > max_bytes:
            parts.append(build_news(part))
            part = []
            size = 0
        part.append(record)
        size += record_size
    if part:
        parts.append(build_news(part))
    return parts
