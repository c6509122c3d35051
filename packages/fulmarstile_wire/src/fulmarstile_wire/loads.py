"""Messages by which daemons ask for the present load of upstreams."""

from __future__ import annotations

import msgspec


class LoadRequest(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """Asks the daemon beside an upstream for its load."""

    service: str


class LoadReply(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """Present load of the upstream beside the replying daemon."""

    is_serving: bool
    """Whether the upstream belongs to the service and accepts requests."""
    running: int = 0
    queued: int = 0
    slots: int = 0
    service_ms: float = 0.0
    """Recent mean service time for all priorities, in milliseconds."""
    slowdown: float = 0.0
    """See `HopOutcome.slowdown`."""
