"""Settings of the call proxy."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallSettings:
    """Addresses, limits and timeouts of the call proxy."""

    mesh_key: bytes
    """Secret shared by all daemons; authenticates calls forwarded by other daemons."""
    address: str = "127.0.0.1:0"
    """`host:port` to listen on; port 0 picks any free port."""
    availability_zone: str = ""
    region: str = ""
    connection_limit: int = 4_096
    """Most open connections from callers and other daemons."""
    head_limit: int = 32 * 1024
    """Largest request or response head, in bytes."""
    buffered_body_limit: int = 64 * 1024
    """Largest body that is buffered in memory, in bytes; a larger one is streamed."""
    message_memory_bytes: int = 32 << 20
    """Most memory for callers' requests and answers together, in bytes; small ones aren't counted.
    """
    queue_limit: int = 128
    """Most calls waiting for a slot of the local upstream."""
    head_timeout_s: float = 10.0
    """Longest time from the first byte of a request head to its last one, in seconds."""
    idle_timeout_s: float = 75.0
    """Longest time that a connection may stay open without a request, in seconds."""
    peer_connections: int = 128
    """Most connections to each other daemon."""
    progress_timeout_s: float = 15.0
    """Longest time without a byte received or sent within a message, in seconds."""
    connect_timeout_s: float = 1.0
    """Longest time to open a connection to an upstream or daemon, in seconds."""
    drain_announce_s: float = 1.5
    """Time for which calls are still accepted after a planned stop has begun, in seconds."""
    fresh_connection_s: float = 1.0
    """Age of the last answer beyond which a pooled connection may have gone dead, in seconds."""
