"""Calls and refusals as the call cores see them."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_wire.verdict import Verdict


class RefusalReason(enum.Enum):
    """Why a call was refused; the value is sent in the `Fulmarstile-Reason` header."""

    NO_ROUTE = "no-route"
    NOT_READY = "not-ready"
    NO_CUSTOMER = "no-customer"
    NO_UPSTREAM = "no-upstream"
    RATE_LIMITED = "rate-limited"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    DRAINING = "draining"
    QUARANTINED = "quarantined"
    KEY_MISSING = "key-missing"
    KEY_INVALID = "key-invalid"
    KEY_EXPIRED = "key-expired"
    KEY_REUSED = "key-reused"
    KEY_IN_PROGRESS = "key-in-progress"
    LOG_UNAVAILABLE = "log-unavailable"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    TIMEOUT = "timeout"
    TRUNCATED = "truncated"
    UPSTREAM_FAILED = "upstream-failed"
    """The upstream answered with a failure that must not be passed on as it is."""
    BAD_REQUEST = "bad-request"
    KEY_COMPLETED = "key-completed"
    """The request ran under its key, but its answer is not stored."""
    KEY_OUTCOME_UNKNOWN = "key-outcome-unknown"
    """The request was sent under its key and got no whole answer."""
    LINK_BUSY = "link-busy"
    """The large body would wait too long for its turn on the link of the other VM."""
    ANSWER_TOO_LARGE = "answer-too-large"
    """The answer took more memory than the daemon may hold, or the most when that was full."""
    OVERLOADED = "overloaded"
    """The daemon itself has too much work."""


@dataclass(frozen=True, slots=True)
class CallRefusal:
    """Final answer to a call that got none from an upstream."""

    reason: RefusalReason
    verdict: Verdict
    status: int
    """HTTP status sent to the caller."""
    detail: str = ""
    retry_after_s: float = 0.0
    """Earliest useful time to call again, in seconds; 0 for none."""


@dataclass(frozen=True, slots=True)
class UpstreamEndpoint:
    """An upstream that calls can be sent to, by way of the daemon beside it."""

    daemon_id: str
    calls_address: str
    """`host:port` of the HTTP listener of the daemon beside the upstream."""
    service: str
    availability_zone: str
    region: str
    slots: int
    is_local: bool
    """Whether the upstream stands beside this daemon."""
