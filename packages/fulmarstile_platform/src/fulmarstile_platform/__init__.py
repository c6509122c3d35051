"""Client of the platform's append-only log."""

from fulmarstile_platform.log import (
    Log,
    LogError,
    LogPage,
    LogRecord,
    LogRefusedError,
    LogUnavailableError,
)

__all__ = ["Log", "LogError", "LogPage", "LogRecord", "LogRefusedError", "LogUnavailableError"]
