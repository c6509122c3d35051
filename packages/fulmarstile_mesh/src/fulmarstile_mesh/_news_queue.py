"""Membership updates that wait for delivery to each active peer."""

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
    """Order of delivery; a lower value goes first."""

    URGENT = 0
    NORMAL = 1
    LOW = 2


@dataclass(frozen=True, slots=True)
class _Item:
    record: NewsRecord
    size: int


@dataclass(frozen=True, slots=True)
class Delivery:
    """News taken for one message."""

    news: News
    size: int
    """Encoded size of the records, in bytes."""


class NewsQueue:
    """Queues every update once per active peer, except the peer that sent it.

    On an overlay of bounded degree this floods each update over every link about once, so a
    daemon sends it a bounded number of times whatever the size of the fleet.
    """

    def __init__(self) -> None:
        self._pending: dict[str, tuple[dict[_Key, _Item], ...]] = {}

    def set_peers(self, daemon_ids: Iterable[str]) -> None:
        """Replaces the peers; queues of remaining peers are kept."""
        self._pending = {
            daemon_id: self._pending.get(daemon_id) or tuple({} for _ in NewsPriority)
            for daemon_id in daemon_ids
        }

    def add(self, record: NewsRecord, priority: NewsPriority, source: str = "") -> None:
        """Queues a record for all peers.

        Args:
            record: Record, newer than any earlier one of the same key.
            priority: Order of delivery.
            source: Peer that sent the record; empty for a local one.
        """
        key = make_key(record)
        item = _Item(record, len(_encoder.encode(record)))
        for daemon_id, queues in self._pending.items():
            for queue in queues:
                queue.pop(key, None)
            if daemon_id != source:
                queues[priority][key] = item

    def add_for(self, peer: str, record: NewsRecord, priority: NewsPriority) -> None:
        """Queues a record for one peer."""
        item = _Item(record, len(_encoder.encode(record)))
        self._pending[peer][priority][make_key(record)] = item

    def drop(self, record: NewsRecord, peer: str) -> None:
        """Drops a record that a peer turned out to know."""
        for queue in self._pending.get(peer, ()):
            item = queue.get(make_key(record))
            if item is not None and item.record == record:
                del queue[make_key(record)]

    def has_news(self, peer: str, priority: NewsPriority) -> bool:
        """Returns whether news of a priority, or a higher one, waits for a peer."""
        return any(queue for queue in self._pending.get(peer, ())[: priority + 1])

    def take(self, peer: str, max_bytes: float, priority: NewsPriority) -> Delivery:
        """Takes the news for one message.

        Args:
            peer: Receiving peer.
            max_bytes: Most encoded bytes; urgent news is not held back by it.
            priority: Lowest priority to take.

        Returns:
            The news, possibly empty.
        """
        taken: list[NewsRecord] = []
        size = 0
        for level, queue in enumerate(self._pending.get(peer, ())[: priority + 1]):
            for key in list(queue):
                if level > NewsPriority.URGENT and size + queue[key].size > max_bytes:
                    break
                item = queue.pop(key)
                taken.append(item.record)
                size += item.size
        return Delivery(build_news(taken), size)

    def count(self) -> int:
        """Returns how many deliveries are waiting."""
        return sum(len(queue) for queues in self._pending.values() for queue in queues)


def make_key(record: NewsRecord) -> _Key:
    """Returns the identity of what a record describes."""
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
    """Sorts records by kind."""
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
    """Splits records into parts of at most `max_bytes` encoded bytes each."""
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
