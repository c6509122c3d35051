"""State of the call proxy, for the dump of a daemon's state."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PoolDump:
    """Connections to one address."""

    address: str
    open: int
    idle: int
    limit: int


@dataclass(frozen=True, slots=True)
class CallDump:
    """State of the call proxy."""

    address: str
    draining: bool
    caller_connections: int
    calls_in_flight: int
    upstream_running: int
    """Calls that hold a slot of the local upstream."""
    upstream_queued: int
    """Calls that wait for a slot of the local upstream."""
    upstream: PoolDump | None
    """Connections to the local upstream; None before its first announcement."""
    daemons: tuple[PoolDump, ...]
    """Connections to other daemons."""
