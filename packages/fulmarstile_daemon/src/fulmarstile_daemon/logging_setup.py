"""Log lines of the daemon, written with loguru on changes of state only."""

from __future__ import annotations

import sys
from typing import Final

from loguru import logger

_HUMAN_FORMAT: Final = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level:<7} {message} {extra}"


def configure_logging(log_format: str, level: str) -> None:
    """Sets the form and the lowest level of log lines.

    Args:
        log_format: `human` or `json`.
        level: Lowest level written.
    """
    logger.remove()
    if log_format == "json":
        logger.add(sys.stderr, level=level, serialize=True)
        return
    logger.add(sys.stderr, level=level, format=_HUMAN_FORMAT, colorize=False)
