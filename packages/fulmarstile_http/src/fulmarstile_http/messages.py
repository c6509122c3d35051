"""Heads of HTTP messages and their encoding."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_http.headers import Header

_REASON_PHRASES: Final = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a request."""

    method: bytes
    target: bytes
    headers: list[Header] = field(default_factory=list)
    http_version: bytes = b"1.1"


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Head of a response."""

    status: int
    headers: list[Header] = field(default_factory=list)
    """Headers as received, including hop-by-hop ones."""


def encode_request(head: RequestHead) -> bytes:
    """Encodes the head of a request.

    Args:
        head: The head; its headers are not checked, so they must have been parsed or contain
            only valid characters.

    Returns:
        The bytes to send.
    """
    return b"%b %b HTTP/1.1\r\n%b\r\n" % (head.method, head.target, _encode(head.headers))


def encode_response(status: int, headers: Iterable[Header]) -> bytes:
    """Encodes the head of a response.

    Args:
        status: HTTP status.
        headers: Headers; they are not checked, so they must have been parsed or contain only
            valid characters.

    Returns:
        The bytes to send.
    """
    return b"HTTP/1.1 %d %b\r\n%b\r\n" % (
        status,
        _REASON_PHRASES.get(status, b""),
        _encode(headers),
    )


def encode_chunk(data: bytes) -> bytes:
    """Encodes a chunk of a body.

    Args:
        data: Content of the chunk; an empty one ends the body.

    Returns:
        The bytes to send.
    """
    return b"%x\r\n%b\r\n" % (len(data), data)


def _encode(headers: Iterable[Header]) -> bytes:
    return b"".join([b"%b: %b\r\n" % header for header in headers])
