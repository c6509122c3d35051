"""Relay state for the configuration stream of one customer."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from fulmarstile_mesh.overlay import choose_peers, rank_candidates
from fulmarstile_mesh.view import is_running, list_members_for_customer
from fulmarstile_wire.records import MemberStatus

if TYPE_CHECKING:
    from fulmarstile_mesh._rate import Backoff
    from fulmarstile_mesh.replica import StreamReplica
    from fulmarstile_mesh.settings import RelaySettings
    from fulmarstile_mesh.view import MeshView
    from fulmarstile_wire.records import MemberRecord, StreamHead, StreamRecord

CONFIG_STREAM_PREFIX: Final = "config."


def name_stream(customer: str) -> str:
    """Returns the name of the log stream that holds a customer's configuration."""
    return CONFIG_STREAM_PREFIX + customer


@dataclass(frozen=True, slots=True)
class Topology:
    """Neighbours and ranks of the local daemon for one customer."""

    zone_neighbours: tuple[MemberRecord, ...] = ()
    other_zone_neighbours: tuple[MemberRecord, ...] = ()
    reader_rank: int = 0
    """Rank among the candidates of the availability zone for reading the log; 0 is the first."""
    writer_rank: int = 0
    """Rank among the candidates of the fleet for writing snapshots; 0 is the first."""
    zone_count: int = 1
    """Number of availability zones with candidates for reading the log."""
    member_count: int = 1
    """Known members that need the customer's configuration, including dead and departed ones."""

    @property
    def neighbours(self) -> tuple[MemberRecord, ...]:
        """All neighbours, starting with those in the same availability zone."""
        return self.zone_neighbours + self.other_zone_neighbours


def build_topology(
    local_record: MemberRecord, view: MeshView, customer: str, settings: RelaySettings
) -> Topology:
    """Derives the neighbours and ranks of the local daemon from the membership view."""
    customer_members = list_members_for_customer(view, customer)
    others = [record for record in customer_members if record.daemon_id != local_record.daemon_id]
    unsuspected = [record for record in others if record.status is not MemberStatus.SUSPECT]
    neighbours = choose_peers(
        local_record, unsuspected or others, settings.zone_rings, settings.global_rings
    )
    is_same_zone = [peer.availability_zone == local_record.availability_zone for peer in neighbours]
    candidates = [
        local_record,
        *(record for record in others if record.status is MemberStatus.ALIVE),
    ]
    zones: dict[str, list[MemberRecord]] = {}
    for record in candidates:
        zones.setdefault(record.availability_zone, []).append(record)
    ranked = {
        zone: rank_candidates(members, f"reader {customer}")
        for zone, members in sorted(zones.items())
    }
    readers = [members[0] for members in ranked.values()]
    writers = rank_candidates(readers, f"writer {customer}")
    writers += [record for members in ranked.values() for record in members[1:]]
    known = [record for record in view.members.values() if customer in record.customers]
    return Topology(
        zone_neighbours=tuple(
            peer for peer, same_zone in zip(neighbours, is_same_zone, strict=True) if same_zone
        ),
        other_zone_neighbours=tuple(
            peer for peer, same_zone in zip(neighbours, is_same_zone, strict=True) if not same_zone
        ),
        reader_rank=ranked[local_record.availability_zone].index(local_record),
        writer_rank=writers.index(local_record),
        zone_count=len(zones),
        member_count=max(1, len(known)),
    )


@dataclass(frozen=True, slots=True)
class OutstandingRead:
    """A log read that has not been answered yet."""

    offset: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class OutstandingRequest:
    """A request to a peer that has not been answered yet."""

    peer: str
    expires_at: float


@dataclass(slots=True)
class Stream:
    """State of one customer's stream on the local daemon."""

    replica: StreamReplica
    backoff: Backoff
    topology: Topology = Topology()
    topology_built_at: float = float("-inf")
    topology_version: int = -1
    """Value of `MeshView.members_version` that the topology was derived from."""
    peer_heads: dict[str, StreamHead] = field(default_factory=dict)
    buffered_records: dict[int, StreamRecord] = field(default_factory=dict)
    """Out-of-order records that wait for a preceding one, keyed by offset."""
    outstanding_request: OutstandingRequest | None = None
    next_pull_at: float = float("inf")
    """When the next request for records is sent to a peer; infinite if none is planned."""
    lagging_since: float | None = None
    outstanding_read: OutstandingRead | None = None
    next_read_at: float = float("-inf")
    fallback_read_at: float | None = None
    """When a daemon that is not a reader of this stream reads the log as a fallback.

    None as long as its peers keep the replica up to date.
    """
    is_synced: bool = False
    """Whether the end of the log or the head of a synced peer has been reached at least once."""
    applied_version: int = 0
    """Version that was last passed to the daemon to apply."""
    is_apply_held: bool = False
    announced_position: tuple[int, int] = (0, 0)
    """Generation and next offset that was last announced to the peers."""
    short_page_count: int = 0
    """Number of consecutive pages that ended before the requested offset."""
    must_verify_log: bool = True
    """Whether the next read verifies that the log still holds the last folded record."""
    reset_detected_at: float | None = None
    """When the log was found to have lost the stream; None unless a new generation is awaited."""
    reset_search_offset: int = 0
    """Offset up to which the new log was searched for the record that begins a generation."""
    next_append_at: float = float("-inf")
    newest_snapshot_at: float | None = None
    """Local time at which the newest snapshot in the log was seen; None if unknown."""
    snapshot_limit_reached_at: float = 0.0
    """When the number of records after the newest snapshot reached `snapshot_records`."""
    started_at: float | None = None
    records_since_snapshot: int = 0

    @property
    def customer(self) -> str:
        """Customer that the stream belongs to."""
        return self.replica.customer

    @property
    def position(self) -> tuple[int, int]:
        """Generation and next offset of the replica."""
        head = self.replica.head
        return head.generation, head.next_offset

    @property
    def can_serve_peers(self) -> bool:
        """Whether the replica's state may be sent to peers."""
        return self.is_synced and self.reset_detected_at is None and not self.replica.needs_snapshot

    def list_peers_ahead(self) -> list[str]:
        """Returns the peers that have folded more records, sorted by `daemon_id`."""
        return [
            daemon_id
            for daemon_id, head in sorted(self.peer_heads.items())
            if (head.generation, head.next_offset) > self.position
        ]

    def prune_heads(self, view: MeshView) -> None:
        """Removes the heads of members that are not running."""
        members = view.members
        self.peer_heads = {
            daemon_id: head
            for daemon_id, head in self.peer_heads.items()
            if daemon_id in members and is_running(members[daemon_id])
        }
