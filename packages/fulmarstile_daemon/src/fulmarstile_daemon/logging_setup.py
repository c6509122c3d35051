"""Configures the daemon's log output.

The daemon logs with loguru, and only when its state changes.
"""

from __future__ import annotations

import sys
from typing import Final

from loguru import logger

from fulmarstile_daemon.log_output import LineBuffer

_HUMAN_FORMAT: Final = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level:<7} {message} {extra}"


def configure_logging(log_format: str, level: str) -> None:
    """Sets the format and the minimum level of log lines.

    Args:
        log_format: `human` or `json`.
        level: Minimum level that is written.
    """
    logger.remove()
    sink = _ErrorOutputSink()
    if log_format == "json":
        logger.add(sink, level=level, serialize=True)
        return
    logger.add(sink, level=level, format=_HUMAN_FORMAT, colorize=False)


class _ErrorOutputSink:
    """Writes lines to standard error; those without room wait for the next line."""

    def __init__(self) -> None:
        self._buffer = LineBuffer(lambda: sys.stderr)

    def write(self, line: str) -> None:
        self._buffer.add(line.encode(errors="replace"))
        if not self._buffer.is_writing:
            self._buffer.flush_briefly()
