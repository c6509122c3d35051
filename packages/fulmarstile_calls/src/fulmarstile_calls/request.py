"""Refusals of calls, and the upstreams that calls are sent to."""

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
    QUOTA_EXCEEDED = "quota-exceeded"
    """The customer has used its quota."""
    QUOTA_UNKNOWN = "quota-unknown"
    """No owner of the quota is heard from, and the daemon's share of it is used."""
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
    """The upstream answered with a failure that must not be forwarded unchanged."""
    BAD_REQUEST = "bad-request"
    KEY_COMPLETED = "key-completed"
    """The request ran under its key, but its answer is not stored."""
    KEY_OUTCOME_UNKNOWN = "key-outcome-unknown"
    """The request was sent under its key, but no complete answer was received."""
    LINK_BUSY = "link-busy"
    """The large body would have to wait too long for the link of the other VM."""
    ANSWER_TOO_LARGE = "answer-too-large"
    """The answer exceeded the memory limit, or was the largest one held when memory was full."""
    API_KEY_MISSING = "api-key-missing"
    """The request presents no key, or several."""
    API_KEY_UNKNOWN = "api-key-unknown"
    """No customer has the key that the request presents."""
    STALE_CONFIGURATION = "stale-configuration"
    """The daemon cannot tell whether the key is still valid."""
    OVERLOADED = "overloaded"
    """The daemon itself is overloaded."""
    VERSION_WITHDRAWN = "version-withdrawn"
    """The version of the upstream was rolled back."""
    VERSION_MOVED = "version-moved"
    """A roll-out has moved the requests to another version than that of the upstream."""


@dataclass(frozen=True, slots=True)
class CallRefusal:
    """Answer that a daemon gives to a call in place of an upstream."""

    reason: RefusalReason
    verdict: Verdict
    status: int
    """HTTP status sent to the caller."""
    detail: str = ""
    retry_after_s: float = 0.0
    """Earliest useful time to call again, in seconds; 0 for none."""


@dataclass(frozen=True, slots=True)
class UpstreamEndpoint:
    """An upstream that calls can be sent to through its local daemon."""

    daemon_id: str
    calls_address: str
    """`host:port` of the HTTP listener of the upstream's local daemon."""
    service: str
    availability_zone: str
    region: str
    slots: int
    is_local: bool
    """Whether this daemon is the upstream's local daemon."""
