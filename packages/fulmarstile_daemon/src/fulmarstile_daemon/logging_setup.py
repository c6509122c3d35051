"""Configures the daemon's log output.

The daemon logs with loguru, and only when its state changes.
"""

from __future__ import annotations

import sys
from typing import Final

from loguru import logger

_HUMAN_FORMAT: Final = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level:<7} {message} {extra}"


def configure_logging(log_format: str, level: str) -> None:
    """Sets the format and the minimum level of log lines.

    Args:
        log_format: `human` or `json`.
        level: Minimum level that is written.
    """
    logger.remove()
    if log_format == "json":
        logger.add(sys.stderr, level=level, serialize=True)
        return
    logger.add(sys.stderr, level=level, format=_HUMAN_FORMAT, colorize=False)
