"""Structured log with rate-limited lines that never blocks a request."""

from __future__ import annotations

import logging
import time
from collections import deque
from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_daemon.services._log_output import ATOMIC_WRITE_BYTES, open_log_output
from fulmarstile_daemon.services.events import LibraryMessage

if TYPE_CHECKING:
    from fulmarstile_daemon.services.events import LogEvent

_MAX_PENDING_LINES: Final = 2_000
"""Maximum number of buffered lines; further ones are dropped and counted."""
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
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._encoder = msgspec.json.Encoder()
        self._counts: dict[type[LogEvent], int] = {}
        self._window_end = 0.0
        self._has_lines: trio.Event | None = None
        self.dropped_lines = 0
        """Lines dropped since the start."""

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
            if not self._lines:
                self._has_lines = trio.Event()
                await self._has_lines.wait()
            await trio.sleep(_FLUSH_S)
            self.flush()

    def flush(self) -> None:
        """Writes the buffered lines, as far as standard output accepts them without blocking."""
        try:
            with open_log_output() as output:
                while self._unwritten or self._lines:
                    self._unwritten = self._unwritten or self._take_batch()
                    written = output.write(self._unwritten)
                    if not written:
                        return
                    self._unwritten = self._unwritten[written:]
        except OSError:
            # Standard output is closed, and there is no other place to report that.
            self._drop_lines()

    def _take_batch(self) -> bytes:
        """Removes the next lines that fit into one atomic write, or one longer line."""
        batch = [self._lines.popleft()]
        size = len(batch[0])
        while self._lines and size + len(self._lines[0]) <= ATOMIC_WRITE_BYTES:
            batch.append(self._lines.popleft())
            size += len(batch[-1])
        return b"".join(batch)

    def _drop_lines(self) -> None:
        self.dropped_lines += self._unwritten.count(b"\n") + len(self._lines)
        self._unwritten = b""
        self._lines.clear()

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
                self.dropped_lines += dropped
                self._add(self._encoder.encode(_LinesDropped(kind.__name__, dropped)))

    def _add(self, encoded: bytes) -> None:
        if len(self._lines) >= _MAX_PENDING_LINES:
            self.dropped_lines += 1
            return
        stamp = f'{{"time":{time.time():.4f},"daemon":"{self._daemon}",'.encode()
        self._lines.append(stamp + encoded[1:] + b"\n")
        if self._has_lines is not None:
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
