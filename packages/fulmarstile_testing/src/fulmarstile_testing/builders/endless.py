"""Beginnings and repeated parts of HTTP answers without end."""

from __future__ import annotations

from typing import Final

_PIECE: Final = 16 * 1024

ENDLESS_ANSWERS: Final = {
    "a head": (b"HTTP/1.1 200 OK\r\n", b"x-more: " + b"a" * 1_000 + b"\r\n"),
    "no HTTP": (b"", b"\x00\xffnot an answer" * 100),
    "one header": (b"HTTP/1.1 200 OK\r\nx-more: ", b"a" * _PIECE),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "a chunked body": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"%x\r\n%b\r\n" % (_PIECE, b"a" * _PIECE),
    ),
    "a huge length": (b"HTTP/1.1 200 OK\r\ncontent-length: 900000000000\r\n\r\n", b"a" * _PIECE),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\n", b"a" * _PIECE),
    "a chunk extension": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;",
        b"a" * _PIECE,
    ),
    "extensions of small chunks": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"1;" + b"a" * 1_000 + b"\r\nx\r\n",
    ),
    "trailers": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
        b"x-more: " + b"a" * 1_000 + b"\r\n",
    ),
    "one trailer": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx-more: ",
        b"a" * _PIECE,
    ),
    "answers to others": (
        b"",
        b"HTTP/1.1 200 OK\r\nrequest-id: other\r\ncontent-length: 1\r\n\r\nx" * 50,
    ),
}
"""First bytes and the bytes that follow them again and again, by what has no end."""
