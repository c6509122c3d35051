"""Graceful shutdown of a daemon."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.background_tasks import keep_running, run_and_log
from fulmarstile_daemon.services._boot_clock import read_boot_clock
from fulmarstile_daemon.services._stop_times import CLOSED, StopTimes
from fulmarstile_daemon.services.events import StopPhase

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._link_server import LinkServer
    from fulmarstile_daemon.services._links import DaemonLinks
    from fulmarstile_daemon.services._loop_lateness import LoopLateness
    from fulmarstile_daemon.services._request_server import RequestServer
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_daemon.services.announcements import UpstreamAnnouncements
    from fulmarstile_daemon.services.entry import CallEntry
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.hops import HopServer

_MIN_SERVING_S: Final = 1.0
"""Minimum time after SIGTERM for which callers are served, in seconds."""
_ACCEPT_SHARE: Final = 0.4
"""Share of the grace period during which requests are accepted that may outlast the daemon."""
_MAX_ACCEPT_S: Final = 2.5
"""Longest such time, in seconds. A platform moves its callers away after two failed readiness
probes, a second apart; whatever comes later would only be cut off."""
_NESTED_ACCEPT_SHARE: Final = 0.5
_MAX_NESTED_ACCEPT_S: Final = 2.8
"""The same for the calls of requests that run on this VM, which fail without them. A call that is
sent more than 3 s after SIGTERM must not be cut off, and the signal may have arrived late."""
_CALLERS_GONE_S: Final = 0.6
"""Time without a request after which callers are assumed to have moved away, in seconds."""
_DRAIN_S: Final = 1.6
"""Time before termination at which draining starts at the latest, in seconds."""
_PEER_NOTICE_S: Final = 0.4
"""Time for which other daemons may still send requests after the announcement, in seconds."""
_GRACE_MARGIN_S: Final = 0.8
"""Time before the end of the grace period by which the daemon terminates, in seconds."""
_CUT_SHARE: Final = 5 / 6
"""Share of the grace period before which no request at work may be broken off."""
_CUT_MARGIN_S: Final = 0.05
"""Time after this share at which they are broken off, if there is time for it, in seconds."""
_LATEST_CUT_S: Final = 0.1
_LATEST_END_S: Final = 0.03
"""Times before the earliest end of the grace period by which requests at work are broken off and
the daemon terminates, if the signal may have been sent much later, in seconds."""
_FINAL_SEND_S: Final = 0.3
"""Maximum time for sending the last responses, in seconds."""
_FINAL_CLOSE_S: Final = 0.1
"""Maximum time for answering what arrives until the connections are closed, in seconds."""
_POLL_INTERVAL_S: Final = 0.02
_CLOCK_CHECK_S: Final = 0.1
"""Interval of the check whether the VM was suspended, in seconds."""


class GracefulShutdown:
    """Serves while callers send requests, then drains and responds to all requests in flight.

    Requests that no upstream has received when draining starts are withdrawn and refused as not
    run. Requests that upstreams still run at termination are reported as possibly run.

    A process that was halted can't know when in the halt SIGTERM was sent. All that can end without
    harm ends as if it was sent at the begin of the halt. Requests at work are broken off as if it
    was sent at the end, or right before the platform kills the process if that is earlier.

    Args:
        callers: Serves the callers on this VM.
        peers: Serves the other daemons.
        entry: Handles callers' requests.
        hops: Handles other daemons' requests.
        links: Connections to other daemons.
        upstream: Upstream on this VM.
        announcements: Publishes the state of the upstream to the other daemons.
        lateness: Measures how late the event loop is.
        log: Log of the daemon.
        clock: Returns the time in seconds; counts while the VM is suspended, as the platform does.
    """

    def __init__(
        self,
        callers: RequestServer,
        peers: LinkServer,
        entry: CallEntry,
        hops: HopServer,
        links: DaemonLinks,
        upstream: LocalUpstream,
        announcements: UpstreamAnnouncements,
        lateness: LoopLateness,
        log: EventLog,
        clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._callers = callers
        self._peers = peers
        self._entry = entry
        self._hops = hops
        self._links = links
        self._upstream = upstream
        self._announcements = announcements
        self._lateness = lateness
        self._log = log
        self._clock = clock
        self._requested_at = self._uncertainty_s = self._killed_at = 0.0
        self._times_by_boot_clock = StopTimes()
        self._phase = trio.CancelScope()
        self._phase_ends_at = 0.0

    async def run(self, grace_s: float, requested_at: float, uncertainty_s: float = 0.0) -> None:
        """Runs all phases of the shutdown.

        Args:
            grace_s: Grace period after which the platform kills the process, in seconds.
            requested_at: Earliest time of SIGTERM by the boot clock, in seconds.
            uncertainty_s: Time by which it may have been sent later, in seconds.
        """
        self._requested_at, self._uncertainty_s = requested_at, uncertainty_s
        self._killed_at = requested_at + grace_s
        ends_at = self._killed_at - _GRACE_MARGIN_S
        may_cut_from = requested_at + uncertainty_s + grace_s * _CUT_SHARE
        must_cut_at = self._killed_at - _LATEST_CUT_S
        cut_at = max(ends_at, min(may_cut_from + _CUT_MARGIN_S, must_cut_at))
        accept_s = min(grace_s * _ACCEPT_SHARE, _MAX_ACCEPT_S)
        nested_accept_s = min(grace_s * _NESTED_ACCEPT_SHARE, _MAX_NESTED_ACCEPT_S)
        if may_cut_from > must_cut_at:
            # A request that is at work at the end would be broken off too early.
            accept_s = nested_accept_s = 0.0
        self._times_by_boot_clock = StopTimes(
            accepts_until=requested_at + accept_s,
            ends_at=ends_at,
            accepts_nested_until=requested_at + nested_accept_s,
            may_break_off_at=min(cut_at, may_cut_from),
        )
        async with trio.open_nursery() as nursery:
            self._apply_times()
            nursery.start_soon(keep_running, self._follow_boot_clock)
            self._callers.begin_closing()
            await self._run_until(ends_at - _DRAIN_S, self._serve_callers)
            accepts_until = min(self._times_by_boot_clock.accepts_until, self._clock())
            self._times_by_boot_clock = replace(
                self._times_by_boot_clock, accepts_until=accepts_until
            )
            self._apply_times()
            await self._run_until(ends_at, self._drain)
            if cut_at > ends_at:
                await self._run_until(cut_at, self._finish_work)
            nursery.cancel_scope.cancel()
        await self._answer_remaining(cut_at)

    async def _run_until(self, ends_at: float, run_phase: Callable[[], Awaitable[None]]) -> None:
        """Runs a phase, until a time of the boot clock at the latest."""
        self._phase_ends_at = ends_at
        with trio.CancelScope(deadline=self._to_loop_time(ends_at)) as self._phase:
            if not await run_and_log(run_phase):
                # Requests in flight have the rest of the phase.
                await trio.sleep_forever()

    async def _follow_boot_clock(self) -> None:
        """Moves all times ahead while the VM is suspended, which the loop's clock leaves out."""
        while True:
            await trio.sleep(_CLOCK_CHECK_S)
            self._apply_times()
            self._phase.deadline = self._to_loop_time(self._phase_ends_at)

    def _apply_times(self) -> None:
        times = self._times_by_boot_clock
        self._set_stop_times(
            StopTimes(
                self._to_loop_time(times.accepts_until),
                self._to_loop_time(times.ends_at),
                self._to_loop_time(times.accepts_nested_until),
                self._to_loop_time(times.may_break_off_at),
            )
        )

    def _to_loop_time(self, at: float) -> float:
        """Converts a time of the boot clock to one of the event loop's clock."""
        return trio.current_time() + at - self._clock()

    def _set_stop_times(self, stop_times: StopTimes) -> None:
        self._entry.stop_times = self._hops.stop_times = stop_times

    async def _serve_callers(self) -> None:
        await trio.sleep(_MIN_SERVING_S)
        while not self._callers.is_quiet(_CALLERS_GONE_S):
            await trio.sleep(_POLL_INTERVAL_S)

    async def _drain(self) -> None:
        """Publishes the stop, refuses what no upstream has received, and waits for the rest."""
        self._write_phase("draining")
        self._callers.withdraw_all()
        self._peers.refuse_bodies()
        self._callers.refuse_unreceived()
        await run_and_log(self._announcements.stop)
        await trio.sleep(_PEER_NOTICE_S)
        self._upstream.stop()
        self._write_phase("waiting")
        await self._wait_quiet(_CALLERS_GONE_S)

    async def _finish_work(self) -> None:
        """Refuses what no upstream runs, closes idle connections, and waits for the rest."""
        self._write_phase("finishing")
        self._times_by_boot_clock = CLOSED
        self._apply_times()
        self._callers.withdraw_all()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._callers.finish, math.inf)
            await self._wait_quiet(0.0)
            nursery.cancel_scope.cancel()

    async def _wait_quiet(self, for_s: float) -> None:
        """Waits until nothing is in flight, and no request of a caller has come for a time."""
        while not (self._peers.is_quiet and self._callers.is_quiet(for_s)):
            await trio.sleep(_POLL_INTERVAL_S)

    async def _answer_remaining(self, cut_at: float) -> None:
        """Responds to the remaining requests according to their state so far.

        If the event loop is late, this takes less time, not time after the grace period.

        Args:
            cut_at: Time by the boot clock at which it should begin at the latest, in seconds.
        """
        self._write_phase("answering")
        self._set_stop_times(CLOSED)
        self._callers.expire_all()
        self._links.close_all()
        latest = self._killed_at - _LATEST_END_S
        sent_by = min(cut_at + _FINAL_SEND_S, latest)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._end_peers, sent_by)
            with trio.move_on_after(self._limit_s(_FINAL_SEND_S, sent_by)):
                await self._callers.wait_answered()
            await self._callers.finish(
                self._limit_s(_FINAL_CLOSE_S, min(sent_by + _FINAL_CLOSE_S, latest))
            )

    async def _end_peers(self, sent_by: float) -> None:
        with trio.move_on_after(self._limit_s(_FINAL_SEND_S, sent_by)):
            await self._peers.end()

    def _limit_s(self, duration_s: float, ends_at: float) -> float:
        """Shortens a time limit that would pass a time of the boot clock, in seconds."""
        return max(0.0, min(duration_s, ends_at - self._clock()))

    def _write_phase(self, phase: str) -> None:
        self._log.write(
            StopPhase(
                phase=phase,
                elapsed_ms=round((self._clock() - self._requested_at) * 1000, 1),
                uncertain_ms=round(self._uncertainty_s * 1000, 1),
                in_flight=self._callers.in_flight,
                arriving=self._callers.arriving,
                connections=self._callers.connections,
                hops=self._peers.in_flight,
                has_unsent=self._peers.has_unsent,
                longest_late_ms=round(self._lateness.longest_s * 1000, 1),
            )
        )
