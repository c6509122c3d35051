"""Settings of the mesh cores; times are in seconds and sizes in bytes."""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of the membership core."""

    seeds: tuple[str, ...] = ()
    """`host:port` of daemons to join, in addition to those found in the rendezvous stream."""
    probe_interval_s: float = 0.5
    """Time between two probes; each probe goes to the next active peer in a shuffled order."""
    probe_timeout_s: float = 1.0
    """Time without a reply after which the link is replaced and indirect probes start."""
    indirect_probe_timeout_s: float = 1.5
    """Additional time without a reply after which a peer is suspected."""
    indirect_probes: int = 3
    """Number of peers that are asked to probe an unresponsive peer."""
    suspicion_timeout_s: float = 5.0
    """Time in which a suspected member can refute the suspicion before it is declared dead."""
    late_tick_s: float = 0.5
    """Tick delay from which the local VM counts as slow."""
    max_slowness: int = 2
    """Maximum local slowness; probe and suspicion timeouts are multiplied by `1 + slowness`."""
    zone_rings: int = 2
    """Overlay rings within an availability zone; each adds up to two active peers."""
    global_rings: int = 1
    """Overlay rings over all members; each adds up to two active peers."""
    news_bytes_per_message: int = 8192
    news_bytes_per_s: float = 6000.0
    news_burst_bytes: float = 65536.0
    news_interval_s: float = 0.25
    """Time between two deliveries of non-urgent news."""
    urgent_interval_s: float = 0.05
    """Minimum time between two deliveries of urgent news."""
    digest_interval_s: float = 20.0
    """Mean time between two anti-entropy comparisons of the whole view with a peer."""
    view_bytes_per_s: float = 32_768.0
    """Rate limit for full or partial views sent to members that join or whose view differs."""
    view_burst_bytes: float = 524_288.0
    join_backoff_s: float = 0.5
    join_backoff_max_s: float = 8.0
    settle_timeout_s: float = 3.0
    """Time after which a daemon counts as settled even if no settled member has answered."""
    rendezvous_interval_s: float = 1.0
    """Mean time between two rendezvous appends by the fleet as a whole."""
    rendezvous_min_interval_s: float = 60.0
    """Lower bound for the mean time between two rendezvous appends by one daemon."""
    rendezvous_tail: int = 64
    """Number of newest rendezvous records that a read covers."""
    reconnect_interval_s: float = 5.0
    """Mean time between two attempts to contact a dead member."""
    tombstone_s: float = 3600.0
    """Time for which dead and departed members are kept."""
    quarantine_s: float = 600.0
    """Maximum lifetime of a crash report."""
    quarantine_limit: int = 4096
    """Maximum number of crash reports kept."""


class DisseminationMode(enum.Enum):
    """How daemons pass the records of a stream on to each other."""

    PUSH = "push"
    """Records are sent together with their announcement, for the shortest convergence time."""
    PULL = "pull"
    """Records are announced first and sent on request, for the fewest bytes."""


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Settings of the relay core."""

    mode: DisseminationMode = DisseminationMode.PUSH
    readers_per_zone: int = 1
    """Number of daemons per availability zone that long-poll a customer's stream."""
    poll_wait_s: float = 20.0
    """Maximum wait of a long poll."""
    poll_grace_s: float = 10.0
    """Time after the end of the wait at which an unanswered read is abandoned."""
    zone_rings: int = 2
    global_rings: int = 1
    pull_delay_s: float = 0.25
    """Mean time to wait for announced records to be pushed before they are requested."""
    request_timeout_s: float = 1.0
    """Time after which an unanswered request is sent to another peer."""
    max_batch_bytes: int = 262_144
    max_held_records: int = 1024
    anti_entropy_interval_s: float = 5.0
    """Mean time between two announcements of all heads to a random peer."""
    lag_limit_s: float = 3.0
    """Time behind the heads of peers after which a daemon reads the log itself."""
    backup_interval_s: float = 5.0
    """Time between two reads by the backup reader of a customer in only one availability zone."""
    log_backoff_s: float = 0.25
    log_backoff_max_s: float = 8.0
    fleet_reads_per_s: float = 50.0
    """Limit on the fallback reads by all daemons that are not chosen as readers."""
    retention_s: float = 3600.0
    """Time for which the log keeps records."""
    snapshot_fraction: float = 0.4
    """Age of the newest snapshot, as a fraction of `retention_s`, at which a new one is written."""
    snapshot_records: int = 500
    """Number of records after the newest snapshot at which a new one is written."""
    takeover_s: float = 3.0
    """Time after which the next candidate writes a snapshot that is still missing."""
    gap_timeout_s: float = 10.0
    """Not read by the relay.

    Meant as the time without any snapshot after which a stream is folded from its oldest record.
    """
    snapshot_offers_per_s: float = 4.0
