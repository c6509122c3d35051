"""State that the relay keeps for the stream of one customer."""

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
    """Duties and neighbours of the local daemon for one customer."""

    zone_neighbours: tuple[MemberRecord, ...] = ()
    far_neighbours: tuple[MemberRecord, ...] = ()
    reader_rank: int = 0
    """Position among the candidates for reading the log in the availability zone."""
    writer_rank: int = 0
    """Position among the candidates for writing snapshots in the fleet."""
    zone_count: int = 1
    """Availability zones that the customer concerns."""
    member_count: int = 1
    """Known members that the customer concerns, ended ones included."""

    @property
    def neighbours(self) -> tuple[MemberRecord, ...]:
        """All neighbours, those of the availability zone first."""
        return self.zone_neighbours + self.far_neighbours


def build_topology(
    own: MemberRecord, view: MeshView, customer: str, settings: RelaySettings
) -> Topology:
    """Derives the duties and neighbours of a daemon from the membership view."""
    concerned = list_members_for_customer(view, customer)
    others = [record for record in concerned if record.daemon_id != own.daemon_id]
    unsuspected = [record for record in others if record.status is not MemberStatus.SUSPECT]
    neighbours = choose_peers(
        own, unsuspected or others, settings.zone_rings, settings.global_rings
    )
    is_near = [peer.availability_zone == own.availability_zone for peer in neighbours]
    candidates = [own, *(record for record in others if record.status is MemberStatus.ALIVE)]
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
        zone_neighbours=tuple(peer for peer, near in zip(neighbours, is_near, strict=True) if near),
        far_neighbours=tuple(
            peer for peer, near in zip(neighbours, is_near, strict=True) if not near
        ),
        reader_rank=ranked[own.availability_zone].index(own),
        writer_rank=writers.index(own),
        zone_count=len(zones),
        member_count=max(1, len(known)),
    )


@dataclass(frozen=True, slots=True)
class OutstandingRead:
    """A read of the log that has not been answered."""

    offset: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class OutstandingRequest:
    """A request to a peer that has not been answered."""

    peer: str
    expires_at: float


@dataclass(slots=True)
class Stream:
    """State of one customer's stream on the local daemon."""

    replica: StreamReplica
    backoff: Backoff
    topology: Topology = Topology()
    topology_at: float = float("-inf")
    topology_version: int = -1
    """Version of the members that the topology was derived from."""
    peer_heads: dict[str, StreamHead] = field(default_factory=dict)
    held: dict[int, StreamRecord] = field(default_factory=dict)
    """Records received ahead of their turn."""
    request: OutstandingRequest | None = None
    pull_at: float = float("inf")
    lagging_since: float | None = None
    read: OutstandingRead | None = None
    next_read_at: float = float("-inf")
    fallback_at: float | None = None
    """When a daemon that is no reader reads the log; None unless peers have failed it."""
    is_synced: bool = False
    """Whether the end of the log, or the head of a synced peer, has been reached once."""
    applied_version: int = 0
    """Version that was last handed over to be put in force."""
    is_apply_held: bool = False
    announced: tuple[int, int] = (0, 0)
    """Generation and offset up to which peers have been told."""
    reset_sightings: int = 0
    """Consecutive pages that end before the offset asked for."""
    must_check: bool = True
    """Whether the next read checks that the log still holds the last folded record."""
    reset_since: float | None = None
    """When the log was found to have lost the stream; None unless it waits to be re-seeded."""
    reset_offset: int = 0
    """Offset up to which the new log has been searched for the record that re-seeds it."""
    append_expires_at: float = float("-inf")
    snapshot_at: float | None = None
    """Time of the newest snapshot in the log, by the local clock; None if unknown."""
    snapshot_full_at: float = 0.0
    """When the number of records after the newest snapshot reached its limit."""
    started_at: float | None = None
    records_since_snapshot: int = 0

    @property
    def customer(self) -> str:
        """Customer that the stream belongs to."""
        return self.replica.customer

    @property
    def position(self) -> tuple[int, int]:
        """Generation and next offset."""
        head = self.replica.head
        return head.generation, head.next_offset

    @property
    def is_reliable(self) -> bool:
        """Whether peers may be given the replica's state."""
        return self.is_synced and self.reset_since is None and not self.replica.needs_snapshot

    def list_ahead(self) -> list[str]:
        """Returns the peers that have folded more, by `daemon_id`."""
        return [
            daemon_id
            for daemon_id, head in sorted(self.peer_heads.items())
            if (head.generation, head.next_offset) > self.position
        ]

    def prune_heads(self, view: MeshView) -> None:
        """Forgets the heads of members that are gone."""
        members = view.members
        self.peer_heads = {
            daemon_id: head
            for daemon_id, head in self.peer_heads.items()
            if daemon_id in members and is_running(members[daemon_id])
        }
