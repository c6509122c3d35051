"""Logs outages of a topic of the store, and spaces the retries."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services.events import DependencyLost, DependencyRegained

if TYPE_CHECKING:
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_platform.log import LogError

_FIRST_BACKOFF_S: Final = 0.15
_MAX_BACKOFF_S: Final = 0.8


class OutageTracker:
    """Logs the start and end of an outage of a topic, and backs off between retries.

    Args:
        topic: Name of the topic.
        log: Log of the daemon.
    """

    def __init__(self, topic: str, log: EventLog) -> None:
        self._dependency = f"store {topic}"
        self._log = log
        self._began_at: float | None = None
        self._backoff_s = _FIRST_BACKOFF_S

    @property
    def is_ongoing(self) -> bool:
        """Whether the last read failed."""
        return self._began_at is not None

    async def wait(self, error: LogError) -> None:
        """Backs off after a failed read."""
        if self._began_at is None:
            self._began_at = trio.current_time()
            self._log.write(DependencyLost(dependency=self._dependency, reason=str(error)))
        await trio.sleep(self._backoff_s * random.uniform(0.5, 1.0))
        self._backoff_s = min(_MAX_BACKOFF_S, self._backoff_s * 2)

    def end(self) -> None:
        """Resets the backoff after a successful read, and logs the end of an outage."""
        self._backoff_s = _FIRST_BACKOFF_S
        if self._began_at is None:
            return
        after_s = round(trio.current_time() - self._began_at, 2)
        self._log.write(DependencyRegained(dependency=self._dependency, after_s=after_s))
        self._began_at = None
