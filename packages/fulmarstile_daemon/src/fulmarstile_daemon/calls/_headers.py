"""Names of the headers that daemons exchange with callers, upstreams and each other."""

from __future__ import annotations

from typing import Final

from fulmarstile_http.headers import (
    IDEMPOTENCY_KEY,
    RETRY_AFTER,
    Header,
    MessageHeaders,
    make_h11_headers,
    read_headers,
)

__all__ = [
    "ATTEMPT",
    "CUSTOMER",
    "DEADLINE",
    "HOP",
    "IDEMPOTENCY_KEY",
    "PRIORITY",
    "REASON",
    "RETRY_AFTER",
    "RETRY_BUDGET",
    "SERVICE",
    "VERDICT",
    "WEIGHT",
    "Header",
    "MessageHeaders",
    "make_h11_headers",
    "read_headers",
]

ATTEMPT: Final = b"fulmarstile-attempt"
CUSTOMER: Final = b"fulmarstile-customer"
DEADLINE: Final = b"fulmarstile-deadline-ms"
HOP: Final = b"fulmarstile-hop"
PRIORITY: Final = b"fulmarstile-priority"
REASON: Final = b"fulmarstile-reason"
RETRY_BUDGET: Final = b"fulmarstile-retry-budget"
SERVICE: Final = b"fulmarstile-service"
VERDICT: Final = b"fulmarstile-verdict"
WEIGHT: Final = b"fulmarstile-weight"
