"""Writes to standard output and standard error that never wait for the reader."""

from __future__ import annotations

import os
import select
import stat
import threading
from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final, TextIO

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

ATOMIC_WRITE_BYTES: Final = select.PIPE_BUF
"""Largest write that a pipe accepts either whole or not at all."""
_MAX_PENDING_LINES: Final = 2_000
"""Maximum number of buffered lines; further ones are dropped and counted."""
_MAX_STALL_S: Final = 0.1
"""Longest time for which a write that stalls is waited for, in seconds."""


class LogOutput:
    """Standard output or error for one flush of the log.

    Args:
        descriptor: Descriptor to write to.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, data: bytes) -> int:
        """Writes the start of some data, as far as the reader has room for it.

        Args:
            data: Data to write; no more than `ATOMIC_WRITE_BYTES` of it are written.

        Returns:
            Number of bytes written; 0 if writing would block.

        Raises:
            OSError: If the output is closed or broken.
        """
        if not self._poll.poll(0):
            return 0
        try:
            return os.write(self._descriptor, data[:ATOMIC_WRITE_BYTES])
        except BlockingIOError:
            return 0


class LineBuffer:
    """Lines that are written as far as the reader has room for them.

    Args:
        get_stream: Returns the stream to write to; None if the process has none.
    """

    def __init__(self, get_stream: Callable[[], TextIO | None]) -> None:
        self._get_stream = get_stream
        self._writing = threading.Lock()
        self._unwritten = b""
        self.lines: deque[bytes] = deque()
        """Lines of which nothing was written, except for those being written."""
        self.dropped = 0
        """Lines dropped since the start."""

    @property
    def has_pending(self) -> bool:
        """Whether anything waits to be written."""
        return bool(self._unwritten or self.lines)

    @property
    def may_stall(self) -> bool:
        """Whether a write may block although there is room, as that to a file on a slow disk."""
        stream = self._get_stream()
        try:
            return stream is not None and stat.S_ISREG(os.fstat(stream.fileno()).st_mode)
        except (OSError, ValueError):
            # It is closed, or no file of the operating system.
            return False

    @property
    def is_writing(self) -> bool:
        """Whether a thread is writing, which goes on to the lines that are added meanwhile."""
        return self._writing.locked()

    def add(self, line: bytes) -> bool:
        """Adds a line, unless too many wait.

        Args:
            line: The line with its end.

        Returns:
            Whether it was added.
        """
        if len(self.lines) >= _MAX_PENDING_LINES:
            self.dropped += 1
            return False
        self.lines.append(line)
        return True

    def flush(self) -> None:
        """Writes the lines, as far as the stream accepts them without blocking.

        If it may stall, this belongs into another thread than that of the event loop.
        """
        try:
            with self._writing, open_log_output(self._get_stream()) as output:
                while self.has_pending:
                    self._unwritten = self._unwritten or self._take_batch()
                    written = output.write(self._unwritten)
                    if not written:
                        return
                    self._unwritten = self._unwritten[written:]
        except OSError:
            # The stream is closed, and there is no other place to report that.
            self._drop_lines()

    def flush_briefly(self) -> None:
        """Writes the lines; a write that stalls goes on in a thread of its own."""
        if not self.may_stall:
            self.flush()
            return
        thread = threading.Thread(target=self.flush, daemon=True)
        try:
            thread.start()
        except RuntimeError:
            # The process may start no more threads.
            self.flush()
        else:
            thread.join(_MAX_STALL_S)

    def _take_batch(self) -> bytes:
        """Removes the next lines that fit into one atomic write, or one longer line."""
        batch = [self.lines.popleft()]
        size = len(batch[0])
        while self.lines and size + len(self.lines[0]) <= ATOMIC_WRITE_BYTES:
            batch.append(self.lines.popleft())
            size += len(batch[-1])
        return b"".join(batch)

    def _drop_lines(self) -> None:
        self.dropped += self._unwritten.count(b"\n") + len(self.lines)
        self._unwritten = b""
        self.lines.clear()


@contextmanager
def open_log_output(stream: TextIO | None) -> Iterator[LogOutput]:
    """Opens standard output or error for writes that do not block.

    A pipe or terminal is opened once more, because `O_NONBLOCK` on the descriptor itself would
    also apply to every other process that shares it.

    Args:
        stream: The stream; None if the process has none.

    Yields:
        The output.

    Raises:
        OSError: If the stream is closed.
    """
    if stream is None or stream.closed:
        raise OSError("the stream is closed")
    shared = stream.fileno()
    descriptor = _reopen_nonblocking(shared)
    try:
        yield LogOutput(shared if descriptor is None else descriptor)
    finally:
        if descriptor is not None:
            os.close(descriptor)


def _reopen_nonblocking(shared: int) -> int | None:
    mode = os.fstat(shared).st_mode
    if not (stat.S_ISFIFO(mode) or stat.S_ISCHR(mode)):
        return None
    try:
        return os.open(f"/proc/self/fd/{shared}", os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY)
    except OSError:
        # Another process may still fill the pipe between the poll and the write.
        return None
