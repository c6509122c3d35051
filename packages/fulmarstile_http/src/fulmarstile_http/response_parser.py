"""Parses the responses that arrive on a connection."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

import httptools

from fulmarstile_http.messages import ResponseHead
from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    from fulmarstile_http.headers import Header


_FRAMING_SHARE: Final = 16
"""Bytes of framing that are borne for each byte of a body, as in chunks of one byte."""


class MalformedResponseError(FulmarstileError):
    """What arrived is no response, or not a whole one."""


class ResponseEnd:
    """Event: the body of a response is complete."""


ResponseEvent = ResponseHead | bytes | ResponseEnd
_END = ResponseEnd()


class ResponseParser:
    """Turns bytes into the heads and bodies of responses, one response after the other.

    What is neither a body nor the head of a final response, such as interim responses, trailers
    and extensions of chunks, is bounded like a head, so that nobody can send it without end.

    Args:
        head_limit: Largest head, and most bytes without progress, in bytes.
    """

    def __init__(self, head_limit: int) -> None:
        self._head_limit = head_limit
        self._parser = httptools.HttpResponseParser(self)
        self._events: deque[ResponseEvent] = deque()
        self._headers: list[Header] = []
        self._stalled_bytes = 0
        self._body_bytes = 0
        self._in_head = True
        self._is_interim = False
        self._error: MalformedResponseError | None = None
        self._began = 0
        self._ended = 0
        self.has_body = True
        """Whether the next response may have a body; those to HEAD have none."""
        self.keeps_alive = False
        """Whether another exchange may follow the response that ended last."""

    @property
    def is_between_responses(self) -> bool:
        """Whether every response that began has ended and was taken."""
        return self._began == self._ended and not self._events and self._error is None

    def feed(self, data: bytes) -> None:
        """Takes in received bytes.

        Args:
            data: The bytes; empty at the end of the stream.
        """
        if self._error is not None:
            return
        if not data:
            self._end_stream()
            return
        self._stalled_bytes += len(data)
        self._body_bytes = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._error = MalformedResponseError(f"malformed response: {error}")
        self._stalled_bytes = max(0, self._stalled_bytes - self._body_bytes * _FRAMING_SHARE)
        if self._error is None and self._stalled_bytes > self._head_limit:
            self._error = MalformedResponseError(
                f"{self._stalled_bytes} bytes arrived without a whole head or a body"
            )

    def next_event(self) -> ResponseEvent | None:
        """Takes the next event.

        Returns:
            A head, a piece of a body or a body's end; None if more must arrive first.

        Raises:
            MalformedResponseError: If what arrived next is no response or was cut off.
        """
        if self._events:
            return self._events.popleft()
        if self._error is not None:
            raise self._error
        return None

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of a response."""
        self._began += 1
        self._headers = []
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header and trailer."""
        if self._in_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of a head."""
        status = self._parser.get_status_code()
        self._in_head = False
        self._is_interim = status < 200
        if not self._is_interim:
            self._stalled_bytes = 0
        self._events.append(ResponseHead(status, self._headers))
        self.keeps_alive = self._parser.should_keep_alive()
        if not self.has_body and not self._is_interim:
            # The parser would wait for the body that the headers describe.
            self._finish(keeps_alive=False)

    def on_body(self, data: bytes) -> None:
        """Called by the parser for each piece of a body."""
        self._body_bytes += len(data)
        if self.has_body:
            self._events.append(data)

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a response."""
        if self._is_interim:
            self._began -= 1
            self._in_head = True
        elif self._ended < self._began:
            self._finish(keeps_alive=self._parser.should_keep_alive())

    def _finish(self, *, keeps_alive: bool) -> None:
        self._ended += 1
        self._in_head = True
        self.keeps_alive = keeps_alive
        self._events.append(_END)

    def _end_stream(self) -> None:
        if self._began > self._ended and not self._in_head and self._is_delimited_by_end():
            self._finish(keeps_alive=False)
            return
        self._error = MalformedResponseError("the connection ended before the response")

    def _is_delimited_by_end(self) -> bool:
        names = {name.lower() for name, _ in self._headers}
        return not names & {b"content-length", b"transfer-encoding"}
