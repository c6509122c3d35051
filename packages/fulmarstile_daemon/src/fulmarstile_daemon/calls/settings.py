"""Settings of the call proxy."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallSettings:
    """Addresses, limits and timeouts of the call proxy."""

    mesh_key: bytes
    """Secret shared by all daemons; calls forwarded by a daemon are recognized by it."""
    address: str = "127.0.0.1:0"
    """`host:port` to listen at; port 0 takes any free port."""
    availability_zone: str = ""
    region: str = ""
    connection_limit: int = 4_096
    """Most connections of callers and daemons held open."""
    head_limit: int = 32 * 1024
    """Largest request or response head, in bytes."""
    buffered_body_limit: int = 64 * 1024
    """Largest body that is held in memory as a whole, in bytes; a larger one is streamed."""
    queue_limit: int = 128
    """Most calls waiting for a slot of the local upstream."""
    head_timeout_s: float = 10.0
    """Longest time from the first byte of a request head to its last one."""
    idle_timeout_s: float = 75.0
    """Longest time that a connection may stay open without a request."""
    peer_connections: int = 128
    """Most connections to one other daemon."""
    progress_timeout_s: float = 15.0
    """Longest time without a byte received or sent in the middle of a message."""
    connect_timeout_s: float = 1.0
    """Longest time to open a connection to an upstream or daemon."""
    drain_announce_s: float = 1.5
    """Time for which calls are still served after a planned stop has begun."""
    fresh_connection_s: float = 1.0
    """Age of the last answer beyond which a pooled connection counts as unproven."""
