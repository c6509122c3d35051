"""Settings of the mesh cores; all times in seconds, all sizes in bytes."""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of the membership core."""

    seeds: tuple[str, ...] = ()
    """`host:port` of daemons to join through, besides those found in the log."""
    probe_interval_s: float = 0.5
    """Time between two probes; active peers are probed in turn."""
    probe_timeout_s: float = 1.0
    """Time without a reply after which a link is replaced."""
    indirect_probe_timeout_s: float = 1.5
    """Further time without a reply after which a peer is suspected."""
    indirect_probes: int = 3
    """Peers asked to probe a peer that does not reply."""
    suspicion_s: float = 5.0
    """Time that a suspected member has to refute before it is declared dead."""
    late_tick_s: float = 0.5
    """Delay of a tick from which the local VM counts as slow."""
    max_slowness: int = 2
    """Most times that local slowness stretches the timeouts by their own length."""
    zone_rings: int = 2
    """Rings through the members of an availability zone; each gives two active peers."""
    global_rings: int = 1
    """Rings through all members; each gives two active peers."""
    news_bytes_per_message: int = 8192
    news_bytes_per_s: float = 6000.0
    news_burst_bytes: float = 65536.0
    news_interval_s: float = 0.25
    """Time between two deliveries of news that is not urgent."""
    urgent_interval_s: float = 0.05
    """Shortest time between two deliveries of urgent news."""
    digest_interval_s: float = 20.0
    """Mean time between two comparisons of the whole view with a peer."""
    view_bytes_per_s: float = 32_768.0
    """Bytes of whole or partial views sent to joining or differing members."""
    view_burst_bytes: float = 524_288.0
    join_backoff_s: float = 0.5
    join_backoff_max_s: float = 8.0
    settle_s: float = 3.0
    """Time after which a daemon that finds no settled member counts as settled itself."""
    rendezvous_interval_s: float = 1.0
    """Time between two rendezvous appends of the whole fleet."""
    rendezvous_min_interval_s: float = 60.0
    """Mean time between two rendezvous appends of one daemon in a small fleet."""
    rendezvous_tail: int = 64
    """Newest rendezvous records that are read."""
    reconnect_interval_s: float = 5.0
    """Mean time between two attempts to reach a dead member."""
    tombstone_s: float = 3600.0
    """Time for which dead and departed members are remembered."""
    quarantine_s: float = 600.0
    """Lifetime of a crash report."""
    quarantine_limit: int = 4096
    """Most crash reports kept."""


class DisseminationMode(enum.Enum):
    """How the records of a stream travel between daemons."""

    PUSH = "push"
    """Records are sent along with their announcement; shortest convergence time."""
    PULL = "pull"
    """Records are announced and sent on request; fewest bytes."""


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Settings of the relay core."""

    mode: DisseminationMode = DisseminationMode.PUSH
    readers_per_zone: int = 1
    """Daemons in each availability zone that long-poll a customer's stream."""
    poll_wait_s: float = 20.0
    """Longest wait of a long poll."""
    poll_grace_s: float = 10.0
    """Time beyond the wait after which an unanswered read is given up."""
    zone_rings: int = 2
    global_rings: int = 1
    pull_delay_s: float = 0.25
    """Wait for a pushed body before it is requested."""
    request_timeout_s: float = 1.0
    """Time after which a request is sent to another peer."""
    max_batch_bytes: int = 262_144
    max_held_records: int = 1024
    anti_entropy_interval_s: float = 5.0
    """Mean time between two exchanges of heads with a peer."""
    lag_limit_s: float = 3.0
    """Lag behind the heads of peers after which a daemon reads the log itself."""
    backup_interval_s: float = 5.0
    """Time between two reads by the second candidate where only one reader exists."""
    log_backoff_s: float = 0.25
    log_backoff_max_s: float = 8.0
    fleet_reads_per_s: float = 50.0
    """Reads of the whole fleet beyond those of the chosen readers."""
    retention_s: float = 3600.0
    """Time for which the log keeps records."""
    snapshot_fraction: float = 0.4
    """Age of the newest snapshot, as a fraction of the retention, at which one is written."""
    snapshot_records: int = 500
    """Records after the newest snapshot at which one is written."""
    takeover_s: float = 3.0
    """Time after which the next candidate writes a snapshot that was not written."""
    gap_patience_s: float = 10.0
    """Time without any snapshot after which a stream is folded from its oldest record."""
    snapshot_offers_per_s: float = 4.0
