"""Header names and the rules for passing headers on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

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
IDEMPOTENCY_KEY: Final = b"idempotency-key"
RETRY_AFTER: Final = b"retry-after"

PREFIX: Final = b"fulmarstile-"
"""Prefix of the headers that only daemons may set."""

_CONNECTION_HEADERS: Final = frozenset(
    {
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that concern one connection only."""

Header = tuple[bytes, bytes]


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Finds the first header of a name.

    Args:
        headers: Headers with lower-case names.
        name: Name in lower case.

    Returns:
        The value, or None.
    """
    for candidate, value in headers:
        if candidate == name:
            return value
    return None


def end_to_end_headers(headers: Iterable[Header]) -> list[Header]:
    """Selects the headers that are passed on to the next connection.

    Args:
        headers: Headers with lower-case names.

    Returns:
        The headers without those of the connection and those that only daemons may set.
    """
    kept = []
    named: tuple[bytes, ...] = ()
    for header in headers:
        name = header[0]
        if name in _CONNECTION_HEADERS:
            if name == b"connection":
                named += _connection_options(header[1])
        elif not name.startswith(PREFIX):
            kept.append(header)
    if named:
        return [header for header in kept if header[0] not in named]
    return kept


def _connection_options(value: bytes) -> tuple[bytes, ...]:
    """Lists the headers that a `Connection` header names, never the framing ones."""
    options = (option.strip().lower() for option in value.split(b","))
    return tuple(option for option in options if option not in (b"content-length", b"host"))
