"""Checks that refuse requests which parsers might interpret differently."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    import h11

    from fulmarstile_http.headers import MessageHeaders
    from fulmarstile_http.messages import RequestHead


class MalformedRequestError(FulmarstileError):
    """A request is not valid HTTP/1.1, or two parsers might interpret it differently.

    Args:
        detail: What is wrong with the request.
        status: HTTP status of the answer.
    """

    def __init__(self, detail: str, status: int = 400) -> None:
        super().__init__(detail)
        self.status = status


def check_line_ends(head: bytes) -> None:
    """Checks the line ends of a request head.

    Args:
        head: The head, up to the line end of its last line.

    Raises:
        MalformedRequestError: If a line does not end in CR LF or is continued on the next one.
    """
    lines = head.count(b"\r\n")
    if head.count(b"\n") != lines or head.count(b"\r") != lines:
        raise MalformedRequestError("a line of the request head does not end in CR LF")
    if b"\n " in head or b"\n\t" in head:
        raise MalformedRequestError("a header is continued on the next line")


def check_framing(request: h11.Request | RequestHead, headers: MessageHeaders) -> None:
    """Checks that the length of a request's body is unambiguous.

    Args:
        request: Head of the request.
        headers: Its headers.

    Raises:
        MalformedRequestError: If it is ambiguous, or if the method cannot be forwarded.
    """
    if headers.is_chunked and (
        headers.content_length is not None or request.http_version != b"1.1"
    ):
        raise MalformedRequestError("Transfer-Encoding conflicts with Content-Length or HTTP/1.0")
    if request.method in (b"CONNECT", b"TRACE"):
        raise MalformedRequestError("the method is not supported", status=501)


def check_head(request: RequestHead) -> None:
    """Checks what HTTP/1.1 requires of a head beyond its syntax.

    Args:
        request: Head of the request.

    Raises:
        MalformedRequestError: If it does not name exactly one host, or if its transfer encoding
            cannot be forwarded.
    """
    hosts = 0
    for raw_name, value in request.headers:
        name = raw_name.lower()
        if name == b"host":
            hosts += 1
        elif name == b"transfer-encoding" and value.lower() != b"chunked":
            raise MalformedRequestError("the transfer encoding is not supported", status=501)
    if hosts > 1 or (not hosts and request.http_version == b"1.1"):
        raise MalformedRequestError("the request does not name exactly one host")
