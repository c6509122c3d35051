"""Counters and inspectable state of the membership core."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_wire.records import AppliedRecord, MemberRecord, UpstreamRecord


@dataclass(slots=True)
class MembershipCounters:
    """Counters of the membership core; they never decrease."""

    probes_sent: int = 0
    probes_missed: int = 0
    links_replaced: int = 0
    suspicions: int = 0
    deaths_declared: int = 0
    refutations: int = 0
    joins_sent: int = 0
    joins_answered: int = 0
    views_withheld: int = 0
    """Views not sent, or sent only in part, because the byte budget was used up."""
    late_ticks: int = 0
    rendezvous_appends: int = 0


@dataclass(frozen=True, slots=True)
class MembershipState:
    """State of the membership core for inspection."""

    record: MemberRecord
    is_settled: bool
    slowness: int
    members: tuple[MemberRecord, ...]
    upstreams: tuple[UpstreamRecord, ...]
    applied: tuple[AppliedRecord, ...]
    active_peers: tuple[str, ...]
    suspected: tuple[str, ...]
    pending_news: int
    quarantined: tuple[str, ...]
    """Fingerprints in hexadecimal."""
    counters: MembershipCounters
