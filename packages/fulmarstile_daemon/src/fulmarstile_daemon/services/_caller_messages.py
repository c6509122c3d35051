"""Requests of callers and the responses to them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    import trio

    from fulmarstile_daemon.services._byte_budget import Allocation
    from fulmarstile_http.headers import Header, MessageHeaders

SAFE_METHODS: Final = frozenset((b"GET", b"HEAD", b"OPTIONS"))
"""Methods whose requests may run at the same time as others of their connection."""


class CallerDisconnectedError(FulmarstileError):
    """The caller closed or reset the connection."""


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A complete HTTP request."""

    method: bytes
    target: bytes
    headers: MessageHeaders
    body: bytes
    arrived_at: float
    """Time at which its head was received, in seconds."""


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """A complete HTTP response to a caller."""

    status: int
    headers: list[Header] = field(default_factory=list)
    """Headers with names in lower case, without those that apply to the connection."""
    body: bytes = b""


@dataclass(slots=True, eq=False)
class CallerExchange:
    """A request that was read from a connection, until its response is sent."""

    method: bytes
    request: ReceivedRequest | None
    """The request; None if it is malformed or refused before it was read completely."""
    keeps_alive: bool
    """Whether another request may follow on the connection."""
    held_bytes: int
    """Bytes of the request that are reserved in the memory limit."""
    response: CallerResponse | None = None
    """Response, once it is known before the turn of the request."""
    answered: trio.Event | None = None
    """Set when the request was handled before its turn; None if it was not started."""
    allocation: Allocation | None = None
    """Memory of a response that waits for its turn."""
    large: Allocation | None = None
    """Memory of the request if it exceeds the limit of one message."""

    @property
    def is_safe(self) -> bool:
        """Whether other requests of the connection may run at the same time."""
        return self.method in SAFE_METHODS
