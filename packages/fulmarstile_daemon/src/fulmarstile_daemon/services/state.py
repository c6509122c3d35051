"""State of the daemon for inspection."""

from __future__ import annotations

import msgspec

from fulmarstile_wire.services import Member


class MemberState(msgspec.Struct, frozen=True):
    """State of one daemon as known here."""

    member: Member
    is_reachable: bool


class ServiceState(msgspec.Struct, frozen=True):
    """Snapshot of the state of this daemon."""

    name: str
    is_ready: bool
    is_stopping: bool
    document_version: int
    """Active version of the document; -1 if there is none."""
    store_was_read: bool
    """Whether the records that the store held at the start have been read."""
    upstream_phase: str
    upstream_running: int
    upstream_queued: int
    upstream_slots: int
    upstream_service_s: float
    upstream_rate_limit: float
    """Requests per second that the upstream says it accepts; 0 for no limit."""
    callers_in_flight: int
    hops_in_flight: int
    message_bytes_held: int
    crash_reports: int
    load_requests: int
    """Loads of upstreams that were asked for."""
    zone_shares: dict[str, dict[str, float]]
    """Part of each service's requests that goes to each other availability zone."""
    members: tuple[MemberState, ...]
