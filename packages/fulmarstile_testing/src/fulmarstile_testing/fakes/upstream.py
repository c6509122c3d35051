"""Fake of an upstream in virtual time."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_testing.fakes.clock import VirtualClock

ANNOUNCE_INTERVAL_S: Final = 1.0
"""Time between two announcements of an upstream to its daemon, in seconds."""

FAILURE_DELAY_S: Final = 0.001
"""Time after which an upstream that fails its requests ends one, in seconds."""


class RunOutcome(enum.Enum):
    """How an upstream ended a request."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The upstream kept running but closed the connection without an answer."""
    CUT_OFF = "cut-off"
    """The upstream crashed while it ran the request."""


@dataclass(slots=True, eq=False)
class UpstreamRun:
    """A request that an upstream has received."""

    token: str
    """Content of the request."""
    on_end: Callable[[RunOutcome], None]
    is_poison: bool = False
    """Whether the request crashes the upstream."""
    is_done: bool = False


class UpstreamDaemon(Protocol):
    """The daemon beside an upstream, as the upstream sees it."""

    def on_announcement(self, *, is_draining: bool) -> None:
        """Handles an announcement of the upstream."""
        ...


class FakeUpstream:
    """Simulates the run time of requests and announces itself to its daemon at intervals.

    Args:
        clock: Virtual time.
        run_s: Time that a request takes, in seconds.
        find_daemon: Returns the daemon beside the upstream, or None if it is not running.
        on_crash: Called when the upstream crashes.
    """

    def __init__(
        self,
        clock: VirtualClock,
        run_s: float,
        find_daemon: Callable[[], UpstreamDaemon | None],
        on_crash: Callable[[], None],
    ) -> None:
        self.delay_s = 0.0
        """Time added to each request, in seconds."""
        self.is_failing_requests = False
        """Whether requests fail while announcements continue as if the upstream were healthy."""
        self._clock = clock
        self._run_s = run_s
        self._find_daemon = find_daemon
        self._on_crash = on_crash
        self._is_crashed = False
        self._is_draining = False
        self._runs: list[UpstreamRun] = []
        clock.call_later(0.0, self._announce_regularly)

    @property
    def is_crashed(self) -> bool:
        """Whether the upstream has crashed and refuses connections."""
        return self._is_crashed

    @property
    def is_draining(self) -> bool:
        """Whether the upstream announces that it is draining."""
        return self._is_draining

    def run(self, run: UpstreamRun) -> None:
        """Starts a request and reports its outcome to `run.on_end`.

        Args:
            run: The request.
        """
        self._runs.append(run)
        if self.is_failing_requests:
            self._clock.call_later(FAILURE_DELAY_S, lambda: self._end(run, RunOutcome.FAILED))
        elif run.is_poison:
            self._clock.call_later(self._run_s / 2, lambda: self._crash_on_poison(run))
        else:
            delay_s = self._run_s + self.delay_s
            self._clock.call_later(delay_s, lambda: self._end(run, RunOutcome.ANSWERED))

    def crash(self, duration_s: float) -> None:
        """Crashes the upstream, cutting off its requests, and restarts it after a time.

        Args:
            duration_s: Time until the restart, in seconds.
        """
        if self._is_crashed:
            return
        self._is_crashed = True
        self._is_draining = False
        self._on_crash()
        for run in list(self._runs):
            self._end(run, RunOutcome.CUT_OFF)
        self._clock.call_later(duration_s, self._recover)

    def begin_draining(self) -> None:
        """Announces that the upstream is draining."""
        self._is_draining = True
        self._announce()

    def end_draining(self) -> None:
        """Announces that the upstream accepts requests again."""
        self._is_draining = False
        self._announce()

    def _crash_on_poison(self, run: UpstreamRun) -> None:
        if not run.is_done:
            self.crash(duration_s=1.0)

    def _recover(self) -> None:
        self._is_crashed = False
        self._announce()

    def _end(self, run: UpstreamRun, outcome: RunOutcome) -> None:
        if run.is_done:
            return
        run.is_done = True
        self._runs.remove(run)
        run.on_end(outcome)

    def _announce(self) -> None:
        daemon = self._find_daemon()
        if daemon is not None and not self._is_crashed:
            daemon.on_announcement(is_draining=self._is_draining)

    def _announce_regularly(self) -> None:
        self._announce()
        self._clock.call_later(ANNOUNCE_INTERVAL_S, self._announce_regularly)
