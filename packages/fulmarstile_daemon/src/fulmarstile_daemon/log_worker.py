"""Executes the cores' reads and appends on the platform's log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from fulmarstile_daemon.background_tasks import run_and_log
from fulmarstile_platform.log import LogError
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    import trio

    from fulmarstile_mesh import AppendLog, ReadLog
    from fulmarstile_platform.log import Log, LogPage


class LogListener(Protocol):
    """Receives the results of reads and appends."""

    def on_log_page(self, stream: str, page: LogPage) -> None:
        """Handles a read that succeeded."""
        ...

    def on_log_failure(self, stream: str) -> None:
        """Handles a read that failed."""
        ...

    def on_append_done(self, stream: str, offset: int) -> None:
        """Handles an append that succeeded."""
        ...

    def on_append_failure(self, stream: str, verdict: Verdict) -> None:
        """Handles an append that failed or whose outcome is unknown."""
        ...


@dataclass(slots=True)
class LogWorkerCounters:
    """Requests to the log since the start."""

    reads: int = 0
    failed_reads: int = 0
    appends: int = 0
    failed_appends: int = 0


class LogWorker:
    """Runs each request to the log as a task and reports its result to the listener.

    Args:
        log: The platform's log.
        nursery: Nursery of the tasks.
        listener: Receives the results.
    """

    def __init__(self, log: Log, nursery: trio.Nursery, listener: LogListener) -> None:
        self._log = log
        self._nursery = nursery
        self._listener = listener
        self._counters = LogWorkerCounters()

    @property
    def counters(self) -> LogWorkerCounters:
        """Request counters."""
        return self._counters

    def read(self, effect: ReadLog) -> None:
        """Starts a read."""
        self._counters.reads += 1
        self._nursery.start_soon(run_and_log, self._read, effect)

    def append(self, effect: AppendLog) -> None:
        """Starts an append."""
        self._counters.appends += 1
        self._nursery.start_soon(run_and_log, self._append, effect)

    async def _read(self, effect: ReadLog) -> None:
        try:
            page = await self._log.read(effect.stream, effect.offset, wait_s=effect.wait_s)
        except Exception as error:
            self._counters.failed_reads += 1
            self._listener.on_log_failure(effect.stream)
            if not isinstance(error, LogError):
                raise
            return
        self._listener.on_log_page(effect.stream, page)

    async def _append(self, effect: AppendLog) -> None:
        try:
            offset = await self._log.append(effect.stream, effect.payload)
        except Exception as error:
            self._counters.failed_appends += 1
            verdict = error.verdict if isinstance(error, LogError) else Verdict.MAY_HAVE_RUN
            self._listener.on_append_failure(effect.stream, verdict)
            if not isinstance(error, LogError):
                raise
            return
        self._listener.on_append_done(effect.stream, offset)
