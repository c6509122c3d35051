"""Parser for one request."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

import httptools

from fulmarstile_http.framing_limit import FramingLimit
from fulmarstile_http.headers import BLANKS
from fulmarstile_http.messages import RequestHead
from fulmarstile_http.request_checks import MalformedRequestError

if TYPE_CHECKING:
    from fulmarstile_http.headers import Header

_LINE_END: Final = b"\r\n"
_METHOD: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+ ")
_UPGRADE_HEADER: Final = b"upgrade"
_DEFAULT_FRAMING_BYTES: Final = 32 * 1024


class RequestParser:
    """Parses the bytes of one request into its head and body.

    Args:
        framing_limit: Largest input beside the body, such as trailers and chunk extensions, in
            bytes.
    """

    def __init__(self, framing_limit: int = _DEFAULT_FRAMING_BYTES) -> None:
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._framing = FramingLimit(framing_limit)
        self._body_bytes = 0
        self._target = b""
        self._headers: list[Header] = []
        self._parts: list[bytes] = []
        self._head: RequestHead | None = None
        self._in_head = True
        self.is_complete = False
        """Whether the whole request has arrived."""
        self.has_pipelined_bytes = False
        """Whether bytes of another request arrived after the end of this one."""
        self.keeps_alive = False
        """Whether the other side may send another request afterwards."""

    @property
    def framing_bytes(self) -> int:
        """Input beside the body that it may hold, such as an unfinished trailer, in bytes."""
        return self._framing.stalled_bytes

    def parse_complete_head(self, data: bytes) -> RequestHead:
        """Parses a complete head, without any bytes after it.

        Args:
            data: The head, including the empty line at its end.

        Returns:
            The head.

        Raises:
            MalformedRequestError: If it is malformed.
        """
        try:
            self._feed(data)
        except httptools.HttpParserUpgrade:
            # The parser ends the request here, whatever its headers say of a body.
            self._restart_without_upgrade(data)
        head, self._head, self._headers = self._head, None, []
        if head is None:
            raise MalformedRequestError("the request head is malformed")
        return head

    def feed_body(self, data: bytes | memoryview) -> None:
        """Parses bytes of the body.

        Args:
            data: The bytes.

        Raises:
            MalformedRequestError: If they are malformed, or if too much of them is not the body.
        """
        body_bytes = self._body_bytes
        self._feed(data)
        self._framing.count(len(data), self._body_bytes - body_bytes)
        if self._framing.is_exceeded:
            raise MalformedRequestError("the framing of the request body is too large", 431)

    def pop_body_parts(self) -> list[bytes]:
        """Returns the parts of the body that have arrived since the last call."""
        parts, self._parts = self._parts, []
        return parts

    def release(self) -> None:
        """Ends the parsing, and frees what was received of an unfinished part.

        Until then the parser and its callbacks refer to each other.
        """
        self._parser = None

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of a request."""
        if self.is_complete:
            self.has_pipelined_bytes = True

    def on_url(self, target: bytes) -> None:
        """Called by the parser for each part of the target."""
        if self._in_head:
            self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header and trailer."""
        if self._in_head:
            self._headers.append((name, value.rstrip(BLANKS)))

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of the head."""
        parser = self._parser
        if not self._in_head or parser is None:
            return
        self._in_head = False
        self.keeps_alive = parser.should_keep_alive()
        self._head = RequestHead(
            parser.get_method(), self._target, self._headers, parser.get_http_version().encode()
        )

    def on_body(self, data: bytes) -> None:
        """Called by the parser for each part of the body."""
        if not self.has_pipelined_bytes:
            self._body_bytes += len(data)
            self._parts.append(data)

    def on_message_complete(self) -> None:
        """Called by the parser at the end of the request."""
        self.is_complete = True

    def _restart_without_upgrade(self, head: bytes) -> None:
        """Parses a head again without its offer of another protocol, which is not taken up."""
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers = []
        self._head = None
        self._in_head = True
        self.is_complete = False
        lines = head.split(_LINE_END)
        kept = [line for line in lines if line.partition(b":")[0].lower() != _UPGRADE_HEADER]
        try:
            self._feed(_LINE_END.join(kept))
        except httptools.HttpParserUpgrade as error:
            raise MalformedRequestError("the method is not supported", status=501) from error

    def _feed(self, data: bytes | memoryview) -> None:
        if self._parser is None:
            raise MalformedRequestError("the request has ended")
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.is_complete:
                self.has_pipelined_bytes = True
                return
            is_unknown_method = isinstance(error, httptools.HttpParserInvalidMethodError)
            if is_unknown_method and _METHOD.match(data):
                # The parser knows a fixed set of methods; others are allowed, too.
                raise MalformedRequestError("the method is not supported", status=501) from error
            raise MalformedRequestError(f"malformed request: {error}") from error
