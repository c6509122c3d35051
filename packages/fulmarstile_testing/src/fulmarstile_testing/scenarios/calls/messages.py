"""Requests and replies between callers, daemons and guards of upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_calls.request import CallRefusal
    from fulmarstile_config.document import Priority


@dataclass(frozen=True, slots=True)
class CallRequest:
    """Request of a caller."""

    call: int
    customer: str
    path: str
    token: str
    """Content of the request."""
    key: str = ""
    """Idempotency key; empty for none."""
    is_poison: bool = False
    """Whether the request crashes upstreams."""


@dataclass(frozen=True, slots=True)
class HopRequest:
    """Request as one daemon sends it to the daemon beside an upstream."""

    request: CallRequest
    attempt_id: int
    """Unique in the run."""
    priority: Priority
    weight: float
    remaining_s: float
    """Time until the deadline of the call, in seconds."""
    fingerprint: bytes
    at_most_once: bool


@dataclass(frozen=True, slots=True)
class HopReply:
    """Answer of an upstream, or a refusal."""

    token: str = ""
    """Content of the request that the answer is for."""
    refusal: CallRefusal | None = None
