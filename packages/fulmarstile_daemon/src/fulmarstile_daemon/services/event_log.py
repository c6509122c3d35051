"""Structured log with rate-limited lines that never blocks a request."""

from __future__ import annotations

import logging
import sys
import time
from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_daemon.log_output import LineBuffer
from fulmarstile_daemon.services.events import LibraryMessage

if TYPE_CHECKING:
    from fulmarstile_daemon.services.events import LogEvent

_FLUSH_S: Final = 0.25


class _LinesDropped(msgspec.Struct, tag_field="event", tag="lines_left_out"):
    kind: str
    count: int


class _LineFailed(msgspec.Struct, tag_field="event", tag="line_failed"):
    kind: str
    reason: str


class EventLog:
    """Writes one JSON line for each event to standard output.

    Args:
        daemon: Name of this daemon, set on every line.
    """

    def __init__(self, daemon: str) -> None:
        self._daemon = daemon
        self._buffer = LineBuffer(lambda: sys.stdout)
        self._lines = self._buffer.lines
        self._encoder = msgspec.json.Encoder()
        self._counts: dict[type[LogEvent], int] = {}
        self._window_end = 0.0
        self._has_lines: trio.Event | None = None
        self._suppressed_lines = 0

    @property
    def dropped_lines(self) -> int:
        """Lines dropped since the start."""
        return self._suppressed_lines + self._buffer.dropped

    def write(self, event: LogEvent) -> None:
        """Writes an event, unless the rate limit of its type is exceeded; raises no error.

        Args:
            event: The event.
        """
        now = time.monotonic()
        if now >= self._window_end:
            self._start_window(now)
        kind = type(event)
        count = self._counts[kind] = self._counts.get(kind, 0) + 1
        if kind.lines_per_s is not None and count > kind.lines_per_s:
            return
        self._add(self._encode(event))

    def capture_logging(self) -> None:
        """Redirects the records of the standard loggers to this log."""
        logging.basicConfig(handlers=[_LogHandler(self)], level=logging.INFO, force=True)

    async def flush_forever(self) -> None:
        """Flushes the buffered lines periodically, until cancelled."""
        while True:
            if not self._buffer.has_pending:
                self._has_lines = trio.Event()
                await self._has_lines.wait()
            await trio.sleep(_FLUSH_S)
            if self._buffer.may_stall:
                await trio.to_thread.run_sync(self._buffer.flush, abandon_on_cancel=True)
            else:
                self._buffer.flush()

    def flush(self) -> None:
        """Writes the buffered lines, as far as that is possible at once or in a short time."""
        self._buffer.flush_briefly()

    def _encode(self, event: LogEvent) -> bytes:
        try:
            return self._encoder.encode(event)
        except Exception as error:
            # For example a text of a library that is no valid Unicode.
            return self._encoder.encode(_LineFailed(type(event).__name__, ascii(error)))

    def _start_window(self, now: float) -> None:
        self._window_end = now + 1.0
        counts, self._counts = self._counts, {}
        for kind, count in counts.items():
            if kind.lines_per_s is not None and count > kind.lines_per_s:
                dropped = count - kind.lines_per_s
                self._suppressed_lines += dropped
                self._add(self._encoder.encode(_LinesDropped(kind.__name__, dropped)))

    def _add(self, encoded: bytes) -> None:
        stamp = f'{{"time":{time.time():.4f},"daemon":"{self._daemon}",'.encode()
        if self._buffer.add(stamp + encoded[1:] + b"\n") and self._has_lines is not None:
            self._has_lines.set()


class _LogHandler(logging.Handler):
    """Passes the records of the standard loggers to the event log."""

    def __init__(self, log: EventLog) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        try:
            text = self.format(record)
        except Exception as error:
            text = f"{record.msg!r} cannot be formatted: {error}"
        self._log.write(LibraryMessage(level=record.levelname, text=text))
