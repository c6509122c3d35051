"""Parser for the responses that arrive on a connection."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

import httptools

from fulmarstile_http.framing_limit import FramingLimit
from fulmarstile_http.headers import BLANKS
from fulmarstile_http.messages import ResponseHead
from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    from fulmarstile_http.headers import Header

_MIN_STATUS: Final = 100
_MAX_STATUS: Final = 599


class MalformedResponseError(FulmarstileError):
    """The received bytes are not a response, or a truncated one."""


class ResponseEnd:
    """Event: the body of a response is complete."""


ResponseEvent = ResponseHead | bytes | ResponseEnd
_RESPONSE_END = ResponseEnd()


class ResponseParser:
    """Parses bytes into the heads and bodies of consecutive responses.

    Input that is neither a body nor the head of a final response, such as interim responses,
    trailers and chunk extensions, is limited like a head, so that no peer can send it endlessly.

    Args:
        head_limit: Largest head, and largest input without progress, in bytes.
    """

    def __init__(self, head_limit: int) -> None:
        self._framing = FramingLimit(head_limit)
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._events: deque[ResponseEvent] = deque()
        self._headers: list[Header] = []
        self._body_bytes = 0
        self._in_head = True
        self._is_interim = False
        self._error: MalformedResponseError | None = None
        self._started_count = 0
        self._ended_count = 0
        self.has_body = True
        """Whether the next response may have a body; those to HEAD have none."""
        self.keeps_alive = False
        """Whether another exchange may follow the response that ended last."""

    @property
    def is_between_responses(self) -> bool:
        """Whether every response that started is complete and all events have been read."""
        return self._started_count == self._ended_count and not self._events and self._error is None

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Args:
            data: The bytes; empty at the end of the stream.
        """
        parser = self._parser
        if self._error is not None or parser is None:
            return
        if not data:
            self._end_stream()
            return
        self._framing.count(len(data), 0)
        self._body_bytes = 0
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # No request offers another protocol, so a response that switches is malformed as well.
            self._error = self._error or MalformedResponseError(f"malformed response: {error}")
        self._framing.count(0, self._body_bytes)
        if self._error is None and self._framing.is_exceeded:
            self._error = MalformedResponseError(
                f"{self._framing.stalled_bytes} bytes arrived without a complete head or a body"
            )

    def next_event(self) -> ResponseEvent | None:
        """Returns the next event and removes it from the queue.

        Returns:
            A head, a part of a body or the end of a body; None if more input is needed.

        Raises:
            MalformedResponseError: If the input that follows is not a response or is truncated.
        """
        if self._events:
            return self._events.popleft()
        if self._error is not None:
            raise self._error
        return None

    def release(self) -> None:
        """Ends the parsing, and frees what was received and not read.

        Until then the parser and its callbacks refer to each other.
        """
        self._parser = None
        self._events.clear()
        self._error = self._error or MalformedResponseError("the connection was closed")

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of a response."""
        self._started_count += 1
        self._headers = []
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header and trailer."""
        if self._in_head:
            self._headers.append((name, value.rstrip(BLANKS)))

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of a head."""
        parser = self._parser
        if parser is None:
            return
        status = parser.get_status_code()
        if not _MIN_STATUS <= status <= _MAX_STATUS:
            self._error = MalformedResponseError(f"malformed response: status {status:03}")
            raise self._error
        self._in_head = False
        self._is_interim = status < 200
        if not self._is_interim:
            self._framing.reset()
        self._events.append(ResponseHead(status, self._headers))
        self.keeps_alive = parser.should_keep_alive()
        if not self.has_body and not self._is_interim:
            # The parser would wait for the body that the headers describe.
            self._finish(keeps_alive=False)

    def on_body(self, data: bytes) -> None:
        """Called by the parser for each part of a body."""
        self._body_bytes += len(data)
        if self.has_body:
            self._events.append(data)

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a response."""
        if self._is_interim:
            self._started_count -= 1
            self._in_head = True
        elif self._ended_count < self._started_count and self._parser is not None:
            self._finish(keeps_alive=self._parser.should_keep_alive())

    def _finish(self, *, keeps_alive: bool) -> None:
        self._ended_count += 1
        self._in_head = True
        self.keeps_alive = keeps_alive
        self._events.append(_RESPONSE_END)

    def _end_stream(self) -> None:
        if (
            self._started_count > self._ended_count
            and not self._in_head
            and self._is_delimited_by_end()
        ):
            self._finish(keeps_alive=False)
            return
        self._error = MalformedResponseError("the connection ended before the end of the response")

    def _is_delimited_by_end(self) -> bool:
        names = {name.lower() for name, _ in self._headers}
        return not names & {b"content-length", b"transfer-encoding"}
