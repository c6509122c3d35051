"""Writes to standard output that never wait for its reader."""

from __future__ import annotations

import os
import select
import stat
import sys
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

ATOMIC_WRITE_BYTES: Final = select.PIPE_BUF
"""Largest write that a pipe accepts either whole or not at all."""


class LogOutput:
    """Standard output for one flush of the log.

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
            OSError: If standard output is closed or broken.
        """
        if not self._poll.poll(0):
            return 0
        try:
            return os.write(self._descriptor, data[:ATOMIC_WRITE_BYTES])
        except BlockingIOError:
            return 0


@contextmanager
def open_log_output() -> Iterator[LogOutput]:
    """Opens standard output for writes that do not block.

    A pipe or terminal is opened once more, because `O_NONBLOCK` on the descriptor itself would
    also apply to every other process that shares it.

    Yields:
        The output.

    Raises:
        OSError: If standard output is closed.
    """
    if sys.stdout is None or sys.stdout.closed:
        raise OSError("standard output is closed")
    shared = sys.stdout.fileno()
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
