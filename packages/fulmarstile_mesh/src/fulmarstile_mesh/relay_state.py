"""Counters and inspectable state of the relay core."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_mesh._stream import Stream


@dataclass(slots=True)
class RelayCounters:
    """Counters of the relay core; they never decrease."""

    log_reads: int = 0
    log_failures: int = 0
    records_folded: int = 0
    records_dropped: int = 0
    """Out-of-order records dropped because the buffer was full."""
    batches_sent: int = 0
    batches_received: int = 0
    duplicate_batches: int = 0
    requests_sent: int = 0
    requests_timed_out: int = 0
    snapshots_offered: int = 0
    offers_withheld: int = 0
    """Snapshots not sent because of the rate limit on offers."""
    snapshots_restored: int = 0
    snapshots_appended: int = 0
    generations_begun: int = 0
    resets_seen: int = 0
    gaps_seen: int = 0
    applies_held: int = 0
    """Number of versions held back because they may be older than the last applied version."""
    divergences: int = 0
    """Heads with the local position but a different digest, and batches from a different log."""


@dataclass(frozen=True, slots=True)
class StreamState:
    """State of one customer's stream for inspection."""

    customer: str
    generation: int
    next_offset: int
    version: int
    is_synced: bool
    is_apply_held: bool
    reader_rank: int
    writer_rank: int
    neighbours: tuple[str, ...]
    held_records: int
    peers_ahead: tuple[str, ...]

    @classmethod
    def from_stream(cls, stream: Stream) -> StreamState:
        """Builds the state from a stream of the relay."""
        head = stream.replica.head
        return cls(
            customer=stream.customer,
            generation=head.generation,
            next_offset=head.next_offset,
            version=head.version,
            is_synced=stream.is_synced,
            is_apply_held=stream.is_apply_held,
            reader_rank=stream.topology.reader_rank,
            writer_rank=stream.topology.writer_rank,
            neighbours=tuple(peer.daemon_id for peer in stream.topology.neighbours),
            held_records=len(stream.buffered_records),
            peers_ahead=tuple(stream.list_peers_ahead()),
        )


@dataclass(frozen=True, slots=True)
class RelayState:
    """State of the relay core for inspection."""

    mode: str
    streams: tuple[StreamState, ...]
    counters: RelayCounters
