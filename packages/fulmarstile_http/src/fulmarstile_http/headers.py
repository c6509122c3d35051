"""Headers of messages and the rules for passing them on."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import h11

if TYPE_CHECKING:
    from collections.abc import Iterable

IDEMPOTENCY_KEY: Final = b"idempotency-key"
RETRY_AFTER: Final = b"retry-after"

PREFIX: Final = b"fulmarstile-"
"""Prefix of the headers that only daemons may set."""

Header = tuple[bytes, bytes]

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
_PARSED_HEADERS: Final = type(h11.Response(status_code=200, headers=[]).headers)
"""Headers as h11 represents them once they are checked."""


@dataclass(slots=True)
class MessageHeaders:
    """Headers of a received message, sorted by what is done with them."""

    end_to_end: list[Header] = field(default_factory=list)
    """Headers that are passed on to the next connection, with names in lower case."""
    daemon_headers: dict[bytes, bytes] = field(default_factory=dict)
    """Headers that daemons read; of repeated ones the first."""
    content_length: int | None = None
    is_chunked: bool = False

    @property
    def has_body(self) -> bool:
        """Whether the headers of a request announce a body."""
        return self.is_chunked or self.content_length is not None

    def get_daemon_header(self, name: bytes) -> str:
        """Reads a header for daemons.

        Args:
            name: Name in lower case.

        Returns:
            The value, empty if the header is missing.
        """
        return self.daemon_headers.get(name, b"").decode("utf-8", "replace")

    def get(self, name: bytes) -> str:
        """Finds a header that is passed on.

        Args:
            name: Name in lower case.

        Returns:
            The first value, empty if the header is missing.
        """
        return self.get_bytes(name).decode("utf-8", "replace")

    def get_bytes(self, name: bytes) -> bytes:
        """Finds a header that is passed on, as it was sent.

        Args:
            name: Name in lower case.

        Returns:
            The first value, empty if the header is missing.
        """
        for each, value in self.end_to_end:
            if each == name:
                return value
        return b""


def read_headers(received: Iterable[Header]) -> MessageHeaders:
    """Sorts the headers of a message.

    Args:
        received: Headers of the message, as a parser found them.

    Returns:
        The headers; those that concern one connection only are left out.
    """
    headers = MessageHeaders()
    end_to_end = headers.end_to_end
    named: tuple[bytes, ...] = ()
    for raw_name, value in received:
        name = raw_name.lower()
        if name in _CONNECTION_HEADERS:
            if name == b"connection":
                named += _connection_options(value)
            elif name == b"transfer-encoding":
                headers.is_chunked = True
        elif name.startswith(PREFIX):
            headers.daemon_headers.setdefault(name, value)
        else:
            end_to_end.append((name, value))
            if name == b"content-length":
                headers.content_length = int(value)
            elif name in (IDEMPOTENCY_KEY, RETRY_AFTER):
                headers.daemon_headers.setdefault(name, value)
    if named:
        headers.end_to_end = [header for header in end_to_end if header[0] not in named]
    return headers


def make_h11_headers(headers: list[Header]) -> h11.Headers:
    """Makes headers for h11 that are not checked again.

    Args:
        headers: Headers that were parsed by h11 or are made of safe characters, with names in
            lower case.

    Returns:
        The headers.
    """
    return _PARSED_HEADERS([(name, name, value) for name, value in headers])


def _connection_options(value: bytes) -> tuple[bytes, ...]:
    """Lists the headers that a `Connection` header names, never the framing ones."""
    options = (option.strip().lower() for option in value.split(b","))
    return tuple(option for option in options if option not in (b"content-length", b"host"))
