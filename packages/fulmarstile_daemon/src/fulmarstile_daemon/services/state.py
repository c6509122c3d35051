"""State of the daemon for inspection."""

from __future__ import annotations

import msgspec

from fulmarstile_wire.services import Member


class MemberState(msgspec.Struct, frozen=True):
    """What is known of one daemon."""

    member: Member
    is_reachable: bool


class ServiceState(msgspec.Struct, frozen=True):
    """What the daemon believes and does at one moment."""

    name: str
    is_ready: bool
    is_stopping: bool
    document_version: int
    """Version in force; -1 for none."""
    store_was_read: bool
    """Whether the members that the store held at the start are known."""
    upstream_phase: str
    upstream_running: int
    upstream_queued: int
    upstream_slots: int
    upstream_service_s: float
    callers_in_flight: int
    hops_in_flight: int
    message_bytes_held: int
    crash_reports: int
    members: tuple[MemberState, ...]
