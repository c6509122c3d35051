"""Relay core: distributes the records of configuration streams from the log to daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_mesh._log_follower import LogFollower
from fulmarstile_mesh._rate import Backoff
from fulmarstile_mesh._record_puller import RecordPuller
from fulmarstile_mesh._relay_sender import RelaySender, digest_before
from fulmarstile_mesh._stream import (
    CONFIG_STREAM_PREFIX,
    Stream,
    build_topology,
)
from fulmarstile_mesh.effects import Apply, Effect
from fulmarstile_mesh.relay_state import RelayCounters, RelayState, StreamState
from fulmarstile_mesh.settings import DisseminationMode
from fulmarstile_wire.records import StreamHead, StreamRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping
    from random import Random

    from fulmarstile_mesh.replica import StreamReplica
    from fulmarstile_mesh.settings import RelaySettings
    from fulmarstile_mesh.view import MeshView
    from fulmarstile_platform.log import LogPage
    from fulmarstile_wire.messages import (
        Heads,
        Message,
        RecordBatch,
        RecordRequest,
        SnapshotOffer,
        SnapshotRequest,
    )
    from fulmarstile_wire.records import MemberRecord

_MIN_TOPOLOGY_INTERVAL_S: Final = 0.5


class Relay:
    """Moves records between the log, the local replicas and the peers that need them.

    Args:
        settings: Settings.
        daemon_id: Id of the local daemon.
        reply_to: `host:port` at which the local daemon listens for messages.
        availability_zone: Availability zone of the local daemon.
        region: Region of the local daemon.
        replicas: Replicas by customer; customers may be added while the relay runs.
        view: Membership view.
        random: Random number generator for all random choices.
        is_snapshot: Returns whether the payload of a log record is a snapshot.
    """

    def __init__(
        self,
        settings: RelaySettings,
        daemon_id: str,
        reply_to: str,
        availability_zone: str,
        region: str,
        replicas: Mapping[str, StreamReplica],
        view: MeshView,
        random: Random,
        is_snapshot: Callable[[bytes], bool] = lambda payload: False,
    ) -> None:
        self._settings = settings
        self._daemon_id = daemon_id
        self._replicas = replicas
        self._view = view
        self._random = random
        self._counters = RelayCounters()
        self._log_follower = LogFollower(settings, random, self._counters, is_snapshot)
        self._streams: dict[str, Stream] = {}
        self._relay_sender = RelaySender(settings, daemon_id, reply_to, self._counters)
        self._puller = RecordPuller(
            settings, availability_zone, view, self._relay_sender, self._counters, random
        )
        self._next_anti_entropy_at: float | None = None

    @property
    def counters(self) -> RelayCounters:
        """Counters since the start."""
        return self._counters

    def reader_rank(self, customer: str) -> int:
        """Returns the rank of the local daemon among the candidates for reading the log."""
        return self._streams[customer].topology.reader_rank

    def writer_rank(self, customer: str) -> int:
        """Returns the rank of the local daemon among the candidates for writing snapshots."""
        return self._streams[customer].topology.writer_rank

    def dump(self) -> RelayState:
        """Returns the complete state for inspection."""
        return RelayState(
            mode=self._settings.mode.value,
            streams=tuple(
                StreamState.from_stream(self._streams[customer])
                for customer in sorted(self._streams)
            ),
            counters=self._counters,
        )

    def on_heads(self, message: Heads, now: float) -> list[Effect]:
        """Handles the heads that a peer has announced."""
        effects: list[Effect] = []
        for head in message.heads:
            stream = self._get_stream(head.customer)
            if stream is not None:
                effects += self._on_head(stream, head, message, now)
        return effects

    def on_record_request(self, message: RecordRequest, now: float) -> list[Effect]:
        """Sends the requested records, or a snapshot if they are not kept."""
        stream = self._get_stream(message.customer)
        if stream is None or not stream.can_serve_peers:
            return []
        head = stream.replica.head
        if message.generation > head.generation:
            return []
        if message.generation < head.generation:
            return self._relay_sender.offer_snapshot(message.reply_to, stream.replica, now)
        if message.from_offset >= head.next_offset:
            return [self._relay_sender.send_heads(message.reply_to, [head])]
        records = stream.replica.records_from(message.from_offset)
        if records is None:
            return self._relay_sender.offer_snapshot(message.reply_to, stream.replica, now)
        return self._relay_sender.send_batches(message.reply_to, stream.replica, records)

    def on_record_batch(self, message: RecordBatch, now: float) -> list[Effect]:
        """Folds records received from a peer in offset order."""
        stream = self._get_stream(message.customer)
        if stream is None:
            return []
        self._counters.batches_received += 1
        head = stream.replica.head
        self._record_peer_head(stream, message.sender, message.generation, message.next_offset)
        if message.generation != head.generation or stream.reset_detected_at is not None:
            return self._puller.pull(stream, now)
        if not _is_same_log(stream.replica, message):
            self._counters.divergences += 1
            stream.must_verify_log = True
            return []
        if message.next_offset <= head.next_offset:
            self._counters.duplicate_batches += 1
        is_answer = (
            stream.outstanding_request is not None
            and stream.outstanding_request.peer == message.sender
        )
        self._buffer_records(stream, message.records)
        effects = self._fold_buffered(stream, message.sender, now)
        if is_answer and message.records and stream.replica.head.next_offset == head.next_offset:
            effects += self._puller.request_snapshot(stream, message.sender, now)
        return effects

    def on_snapshot_request(self, message: SnapshotRequest, now: float) -> list[Effect]:
        """Sends a snapshot to a peer that requested it."""
        stream = self._get_stream(message.customer)
        if stream is None or not stream.can_serve_peers:
            return []
        return self._relay_sender.offer_snapshot(message.reply_to, stream.replica, now)

    def on_snapshot_offer(self, message: SnapshotOffer, now: float) -> list[Effect]:
        """Adopts a snapshot from a peer if it is newer than the replica."""
        stream = self._get_stream(message.customer)
        if stream is None:
            return []
        self._puller.on_answer(stream, message.sender)
        generation = stream.replica.head.generation
        if not stream.replica.restore_snapshot(message.payload):
            return []
        self._counters.snapshots_restored += 1
        if stream.replica.head.generation > generation:
            stream.buffered_records.clear()
            self._log_follower.end_reset(stream, now)
        return self._fold_buffered(stream, message.sender, now)

    def on_log_page(self, stream_name: str, page: LogPage, now: float) -> list[Effect]:
        """Folds a page read from the log."""
        stream = self._get_stream_by_name(stream_name)
        if stream is None:
            return []
        self._log_follower.on_page(stream, page, now)
        return self._after_fold(stream, "", now)

    def on_log_failure(self, stream_name: str, now: float) -> list[Effect]:
        """Backs off after a failed read."""
        stream = self._get_stream_by_name(stream_name)
        if stream is not None:
            self._log_follower.on_failure(stream, now)
        return []

    def on_append_done(self, stream_name: str, offset: int, now: float) -> list[Effect]:
        """Records that a snapshot was appended at an offset."""
        stream = self._get_stream_by_name(stream_name)
        if stream is not None:
            self._log_follower.on_append_done(stream, offset, now)
        return []

    def on_append_failure(self, stream_name: str, now: float) -> list[Effect]:
        """Delays the next snapshot after an append that may have failed."""
        stream = self._get_stream_by_name(stream_name)
        if stream is not None:
            self._log_follower.on_append_failure(stream, now)
        return []

    def on_tick(self, now: float) -> list[Effect]:
        """Advances all timers; must be called about every 100 ms."""
        effects: list[Effect] = []
        for customer in sorted(self._replicas):
            stream = self._get_stream(customer)
            if stream is not None:
                effects += self._tick_stream(stream, now)
        effects += self._send_heads_if_due(now)
        return effects

    def _tick_stream(self, stream: Stream, now: float) -> list[Effect]:
        effects = self._refresh_topology(stream, now)
        if not self._view.is_settled:
            return effects
        effects += self._puller.on_tick(stream, now)
        effects += self._log_follower.on_tick(stream, now)
        effects += self._apply_if_newer(stream)
        return effects

    def _on_head(
        self, stream: Stream, head: StreamHead, message: Message, now: float
    ) -> list[Effect]:
        self._puller.on_answer(stream, message.sender)
        stream.peer_heads[message.sender] = head
        local_head = stream.replica.head
        remote_position = (head.generation, head.next_offset)
        if stream.reset_detected_at is not None:
            return self._puller.pull(stream, now) if head.generation > local_head.generation else []
        if remote_position > stream.position:
            return self._puller.schedule(stream, message.sender, now)
        if remote_position == stream.position:
            return self._on_same_head(stream, head)
        if not stream.can_serve_peers:
            return []
        return self._update_lagging_peer(stream, head, message.reply_to)

    def _on_same_head(self, stream: Stream, head: StreamHead) -> list[Effect]:
        if head.digest != stream.replica.head.digest:
            self._counters.divergences += 1
        if stream.replica.needs_snapshot:
            return []
        stream.lagging_since = None
        stream.is_synced = True
        return self._apply_if_newer(stream)

    def _update_lagging_peer(self, stream: Stream, head: StreamHead, reply_to: str) -> list[Effect]:
        local_head = stream.replica.head
        if (
            self._settings.mode is DisseminationMode.PUSH
            and head.generation == local_head.generation
        ):
            records = stream.replica.records_from(head.next_offset)
            if records is not None:
                return self._relay_sender.send_batches(reply_to, stream.replica, records)
        return [self._relay_sender.send_heads(reply_to, [local_head])]

    def _record_peer_head(
        self, stream: Stream, sender: str, generation: int, next_offset: int
    ) -> None:
        known = stream.peer_heads.get(sender)
        if known is None or (known.generation, known.next_offset) < (generation, next_offset):
            stream.peer_heads[sender] = StreamHead(
                stream.customer, generation, next_offset, version=0, digest=b""
            )

    def _buffer_records(self, stream: Stream, records: Iterable[StreamRecord]) -> None:
        next_offset = stream.replica.head.next_offset
        for record in records:
            if record.offset < next_offset:
                continue
            if len(stream.buffered_records) >= self._settings.max_held_records:
                self._counters.records_dropped += 1
                return
            stream.buffered_records[record.offset] = record

    def _fold_buffered(self, stream: Stream, source: str, now: float) -> list[Effect]:
        replica = stream.replica
        while (record := stream.buffered_records.pop(replica.head.next_offset, None)) is not None:
            self._log_follower.fold(stream, record, now)
        next_offset = replica.head.next_offset
        for offset in [offset for offset in stream.buffered_records if offset < next_offset]:
            del stream.buffered_records[offset]
        self._puller.on_answer(stream, source)
        return self._after_fold(stream, source, now)

    def _after_fold(self, stream: Stream, source: str, now: float) -> list[Effect]:
        """Pulls, announces and applies what is due; `source` is a peer, or empty for the log."""
        effects: list[Effect] = []
        if not stream.list_peers_ahead():
            stream.lagging_since = None
            stream.next_pull_at = float("inf")
            stream.is_synced |= bool(source)
        elif source and stream.outstanding_request is None:
            effects += self._puller.pull(stream, now)
        if stream.can_serve_peers and stream.position > stream.announced_position:
            effects += self._announce_progress(stream, source)
        effects += self._apply_if_newer(stream)
        return effects

    def _announce_progress(self, stream: Stream, source: str) -> list[Effect]:
        head = stream.replica.head
        records = self._list_records_to_push(stream)
        stream.announced_position = stream.position
        effects: list[Effect] = []
        for peer in stream.topology.zone_neighbours:
            if not self._is_peer_behind(stream, peer, source):
                continue
            if records:
                effects += self._relay_sender.send_batches(
                    peer.peer_address, stream.replica, records
                )
            else:
                effects.append(self._relay_sender.send_heads(peer.peer_address, [head]))
        for peer in stream.topology.other_zone_neighbours:
            if self._is_peer_behind(stream, peer, source):
                effects.append(self._relay_sender.send_heads(peer.peer_address, [head]))
        return effects

    def _list_records_to_push(self, stream: Stream) -> tuple[StreamRecord, ...]:
        generation, offset = stream.announced_position
        if self._settings.mode is not DisseminationMode.PUSH:
            return ()
        if generation != stream.replica.head.generation:
            return ()
        records = stream.replica.records_from(offset) or ()
        if sum(len(record.payload) for record in records) > self._settings.max_batch_bytes:
            return ()
        return records

    def _is_peer_behind(self, stream: Stream, peer: MemberRecord, source: str) -> bool:
        if peer.daemon_id == source:
            return False
        known = stream.peer_heads.get(peer.daemon_id)
        return known is None or (known.generation, known.next_offset) < stream.position

    def _apply_if_newer(self, stream: Stream) -> list[Effect]:
        version = stream.replica.head.version
        if version <= stream.applied_version:
            return []
        applied = self._view.applied.get((self._daemon_id, stream.customer))
        last_applied_version = applied.version if applied is not None else 0
        if not self._view.is_settled or not stream.is_synced or version < last_applied_version:
            if not stream.is_apply_held:
                self._counters.applies_held += 1
            stream.is_apply_held = True
            return []
        stream.applied_version = version
        stream.is_apply_held = False
        return [Apply(stream.customer)]

    def _send_heads_if_due(self, now: float) -> list[Effect]:
        interval_s = self._settings.anti_entropy_interval_s
        if self._next_anti_entropy_at is None:
            self._next_anti_entropy_at = now + self._random.uniform(0.0, interval_s)
        if now < self._next_anti_entropy_at:
            return []
        self._next_anti_entropy_at = now + self._random.uniform(0.5, 1.5) * interval_s
        peers = {
            peer.daemon_id: peer
            for stream in self._streams.values()
            for peer in stream.topology.neighbours
        }
        if not peers:
            return []
        peer = peers[self._random.choice(sorted(peers))]
        heads = [
            stream.replica.head
            for customer, stream in sorted(self._streams.items())
            if customer in peer.customers and stream.can_serve_peers
        ]
        return [self._relay_sender.send_heads(peer.peer_address, heads)] if heads else []

    def _refresh_topology(self, stream: Stream, now: float) -> list[Effect]:
        version = self._view.members_version
        local_record = self._view.members.get(self._daemon_id)
        if version == stream.topology_version or local_record is None:
            return []
        if now - stream.topology_built_at < _MIN_TOPOLOGY_INTERVAL_S:
            return []
        known = {peer.daemon_id for peer in stream.topology.neighbours}
        stream.topology_built_at = now
        stream.topology_version = version
        stream.topology = build_topology(local_record, self._view, stream.customer, self._settings)
        stream.prune_heads(self._view)
        if not stream.can_serve_peers:
            return []
        return [
            self._relay_sender.send_heads(peer.peer_address, [stream.replica.head])
            for peer in stream.topology.neighbours
            if peer.daemon_id not in known
        ]

    def _get_stream(self, customer: str) -> Stream | None:
        replica = self._replicas.get(customer)
        if replica is None:
            return None
        if customer not in self._streams:
            backoff = Backoff(
                self._settings.log_backoff_s, self._settings.log_backoff_max_s, self._random
            )
            self._streams[customer] = Stream(replica, backoff)
        return self._streams[customer]

    def _get_stream_by_name(self, name: str) -> Stream | None:
        if not name.startswith(CONFIG_STREAM_PREFIX):
            return None
        return self._get_stream(name.removeprefix(CONFIG_STREAM_PREFIX))


def _is_same_log(replica: StreamReplica, message: RecordBatch) -> bool:
    """Returns whether a batch continues the replica's log.

    Compares the hash of the record before the batch; True if either side does not know it.
    """
    if not message.records or not message.previous_digest:
        return True
    local_digest = digest_before(replica, message.records[0].offset)
    return not local_digest or local_digest == message.previous_digest
