"""Effects that the mesh cores return for the daemon to carry out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_wire.messages import AnyMessage


class Effect:
    """Base class of all effects."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Send(Effect):
    """Send a message without a delivery guarantee; it may be lost silently."""

    address: str
    """`host:port` of the receiving daemon."""
    message: AnyMessage


@dataclass(frozen=True, slots=True)
class Disconnect(Effect):
    """Close the link to a peer; the next message to it opens a new connection."""

    address: str


@dataclass(frozen=True, slots=True)
class MembersChanged(Effect):
    """Notify the daemon that the members, their status or their upstreams changed."""


@dataclass(frozen=True, slots=True)
class ReadLog(Effect):
    """Read a stream from an offset on, and report the page or the failure to the core."""

    stream: str
    offset: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class AppendLog(Effect):
    """Append a record to a stream."""

    stream: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class Apply(Effect):
    """Apply the customer's folded document and report the applied version."""

    customer: str
