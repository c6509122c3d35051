"""State of the daemon for inspection."""

from __future__ import annotations

import msgspec

from fulmarstile_wire.services import Member


class MemberState(msgspec.Struct, frozen=True):
    """State of one daemon as known here."""

    member: Member
    is_reachable: bool


class RolloutView(msgspec.Struct, frozen=True):
    """What this daemon knows about the newest roll-out of a service."""

    service: str
    order_offset: int
    """Offset of the operator's order in the store."""
    target_version: str
    duration_s: float
    age_s: float
    """Time since the order, in seconds."""
    phase: str
    """Phase of the roll-out; `unknown` until its state is known."""
    share: float
    """Fraction of the service's requests that goes to the target version."""
    canaries: tuple[str, ...]
    """Daemons beside the upstreams that receive this share."""
    promote_at_s: float
    """Age of the order at which all requests move to the target, in seconds; 0 if undecided."""
    reason: str
    is_recorded: bool
    """Whether the store has accepted the decision."""
    is_fresh: bool
    """Whether the state is new enough to act upon."""
    is_sealed: bool
    """Whether the baseline upstream beside this daemon gets no further request."""
    evaluators: tuple[str, ...]
    """Daemons that evaluate the roll-out, as this daemon sees them."""
    figures: dict[str, float]
    """What the last evaluation on this daemon found; empty if it is no evaluator."""
    excluded: tuple[str, ...]
    """Versions that receive no requests until an order names them."""
    only: str | None
    """Version beside which no other serves; None for any."""


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
    rollouts: tuple[RolloutView, ...] = ()
    """Newest roll-out of each service."""
