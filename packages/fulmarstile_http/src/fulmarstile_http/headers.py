"""Headers of HTTP messages and the rules for forwarding them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import h11

if TYPE_CHECKING:
    from collections.abc import Iterable

IDEMPOTENCY_KEY: Final = b"idempotency-key"
RETRY_AFTER: Final = b"retry-after"

BLANKS: Final = b" \t"
"""Characters around a header's value that are not part of it; parsers keep those behind it."""

DAEMON_HEADER_PREFIX: Final = b"fulmarstile-"
"""Prefix of the headers that only daemons may set."""

Header = tuple[bytes, bytes]

_HOP_BY_HOP_HEADERS: Final = frozenset(
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
"""Headers that apply to one connection only and are not forwarded."""
_H11_HEADERS: Final = type(h11.Response(status_code=200, headers=[]).headers)
"""Type in which h11 holds headers that it has checked."""


@dataclass(slots=True)
class MessageHeaders:
    """Headers of a received message, grouped by how they are handled."""

    end_to_end: list[Header] = field(default_factory=list)
    """Headers that are forwarded over the next connection, with names in lower case."""
    daemon_headers: dict[bytes, bytes] = field(default_factory=dict)
    """Headers that daemons interpret, by name; the first value of repeated ones."""
    content_length: int | None = None
    is_chunked: bool = False

    @property
    def has_body(self) -> bool:
        """Whether the headers of a request announce a body."""
        return self.is_chunked or self.content_length is not None

    def get_daemon_header(self, name: bytes) -> str:
        """Returns a header that daemons interpret.

        Args:
            name: Name in lower case.

        Returns:
            The value, empty if the header is missing.
        """
        return self.daemon_headers.get(name, b"").decode("utf-8", "replace")

    def get(self, name: bytes) -> str:
        """Returns an end-to-end header as text.

        Args:
            name: Name in lower case.

        Returns:
            The first value, empty if the header is missing.
        """
        return self.get_bytes(name).decode("utf-8", "replace")

    def get_bytes(self, name: bytes) -> bytes:
        """Returns an end-to-end header as it was received.

        Args:
            name: Name in lower case.

        Returns:
            The first value, empty if the header is missing.
        """
        for header_name, value in self.end_to_end:
            if header_name == name:
                return value
        return b""


def read_headers(received: Iterable[Header]) -> MessageHeaders:
    """Groups the headers of a message by how they are handled.

    Args:
        received: Headers of the message, as parsed.

    Returns:
        The headers without hop-by-hop ones.
    """
    headers = MessageHeaders()
    end_to_end = headers.end_to_end
    listed: tuple[bytes, ...] = ()
    for raw_name, value in received:
        name = raw_name.lower()
        if name in _HOP_BY_HOP_HEADERS:
            if name == b"connection":
                listed += _connection_options(value)
            elif name == b"transfer-encoding":
                headers.is_chunked = True
        elif name.startswith(DAEMON_HEADER_PREFIX):
            headers.daemon_headers.setdefault(name, value)
        else:
            end_to_end.append((name, value))
            if name == b"content-length":
                headers.content_length = int(value)
            elif name in (IDEMPOTENCY_KEY, RETRY_AFTER):
                headers.daemon_headers.setdefault(name, value)
    if listed:
        headers.end_to_end = [header for header in end_to_end if header[0] not in listed]
    return headers


def make_h11_headers(headers: list[Header]) -> h11.Headers:
    """Converts headers for h11 without the checks that h11 makes otherwise.

    Args:
        headers: Headers that were parsed by h11 or contain only valid characters, with names in
            lower case.

    Returns:
        The headers.
    """
    return _H11_HEADERS([(name, name, value) for name, value in headers])


def _connection_options(value: bytes) -> tuple[bytes, ...]:
    """Returns the headers that a `Connection` header lists, but for those always forwarded."""
    options = (option.strip().lower() for option in value.split(b","))
    return tuple(option for option in options if option not in (b"content-length", b"host"))
