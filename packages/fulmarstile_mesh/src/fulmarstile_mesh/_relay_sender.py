"""Messages that the relay sends to peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

from fulmarstile_mesh._rate import TokenBucket
from fulmarstile_mesh.effects import Effect, Send
from fulmarstile_wire.messages import (
    Heads,
    RecordBatch,
    RecordRequest,
    SnapshotOffer,
    SnapshotRequest,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from fulmarstile_mesh.relay_state import RelayCounters
    from fulmarstile_mesh.replica import StreamReplica
    from fulmarstile_mesh.settings import RelaySettings
    from fulmarstile_wire.records import StreamHead, StreamRecord

_MAX_BATCHES_PER_ANSWER: Final = 4
_BURST_SNAPSHOT_OFFERS: Final = 8.0


class RelaySender:
    """Builds the messages, splits large record batches and limits the rate of snapshots."""

    def __init__(
        self, settings: RelaySettings, daemon_id: str, reply_to: str, counters: RelayCounters
    ) -> None:
        self._settings = settings
        self._daemon_id = daemon_id
        self._reply_to = reply_to
        self._counters = counters
        self._offer_budget = TokenBucket(settings.snapshot_offers_per_s, _BURST_SNAPSHOT_OFFERS)

    def send_heads(self, address: str, heads: Iterable[StreamHead]) -> Send:
        """Announces heads to a peer."""
        return Send(address, Heads(self._daemon_id, self._reply_to, tuple(heads)))

    def send_batches(
        self, address: str, replica: StreamReplica, records: Sequence[StreamRecord]
    ) -> list[Effect]:
        """Sends records up to the head of a replica.

        Args:
            address: Address of the receiver.
            replica: Local replica.
            records: All records from an offset up to the head of the replica.

        Returns:
            The batches, limited in size and number. If there is more than one, the head is sent
            first, so that the receiver requests the records that were left out.
        """
        head = replica.head
        previous_digest = digest_before(replica, records[0].offset) if records else b""
        parts = _split_records(records, self._settings.max_batch_bytes)
        effects: list[Effect] = []
        if len(parts) > 1:
            effects.append(self.send_heads(address, [head]))
        for index, part in enumerate(parts[:_MAX_BATCHES_PER_ANSWER]):
            is_last = index == len(parts) - 1
            next_offset = head.next_offset if is_last else part[-1].offset + 1
            batch = RecordBatch(
                self._daemon_id,
                self._reply_to,
                head.customer,
                head.generation,
                part,
                next_offset,
                previous_digest,
            )
            previous_digest = _digest_record(part[-1])
            self._counters.batches_sent += 1
            effects.append(Send(address, batch))
        return effects

    def offer_snapshot(self, address: str, replica: StreamReplica, now: float) -> list[Effect]:
        """Sends a snapshot of the replica and its stream head, unless the rate limit is reached."""
        if not self._offer_budget.try_consume(1.0, now):
            self._counters.offers_withheld += 1
            return []
        self._counters.snapshots_offered += 1
        payload = replica.encode_snapshot()
        offer = SnapshotOffer(self._daemon_id, self._reply_to, replica.customer, payload)
        return [Send(address, offer), self.send_heads(address, [replica.head])]

    def request_records(self, address: str, replica: StreamReplica) -> Send:
        """Requests the records after the head of the replica."""
        head = replica.head
        request = RecordRequest(
            self._daemon_id, self._reply_to, head.customer, head.generation, head.next_offset
        )
        return Send(address, request)

    def request_snapshot(self, address: str, replica: StreamReplica) -> Send:
        """Requests a snapshot."""
        return Send(address, SnapshotRequest(self._daemon_id, self._reply_to, replica.customer))


def digest_before(replica: StreamReplica, offset: int) -> bytes:
    """Returns the hash of the record before an offset, or `b""` if it is not kept."""
    records = replica.records_from(offset - 1) if offset else None
    return _digest_record(records[0]) if records else b""


def _digest_record(record: StreamRecord) -> bytes:
    return xxhash.xxh64_digest(record.payload)


def _split_records(
    records: Sequence[StreamRecord], max_bytes: int
) -> list[tuple[StreamRecord, ...]]:
    parts: list[tuple[StreamRecord, ...]] = []
    part: list[StreamRecord] = []
    size = 0
    for record in records:
        if part and size + len(record.payload) > max_bytes:
            parts.append(tuple(part))
            part = []
            size = 0
        part.append(record)
        size += len(record.payload)
    if part:
        parts.append(tuple(part))
    return parts
