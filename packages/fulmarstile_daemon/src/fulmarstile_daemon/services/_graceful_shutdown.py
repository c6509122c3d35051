"""The planned stop of a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._stop_times import StopTimes

if TYPE_CHECKING:
    from fulmarstile_daemon.services._link_server import LinkServer
    from fulmarstile_daemon.services._links import DaemonLinks
    from fulmarstile_daemon.services._request_server import RequestServer
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_daemon.services.announcements import UpstreamAnnouncements
    from fulmarstile_daemon.services.entry import CallEntry
    from fulmarstile_daemon.services.hops import HopServer

_MIN_SERVING_S: Final = 1.0
"""Time after SIGTERM for which callers are served at least, in seconds."""
_ACCEPTING_SHARE: Final = 0.4
"""Part of the grace time for which requests are taken that may last longer than the daemon."""
_QUIET_CALLERS_S: Final = 0.6
"""Time without a request after which callers are taken to have left, in seconds."""
_HAND_OVER_S: Final = 1.6
"""Time before the end at which what has not begun is withdrawn, and the other daemons are told, at
the latest, in seconds."""
_REFUSE_HOPS_S: Final = 0.4
"""Time for which other daemons that were told may still send requests, in seconds."""
_GRACE_MARGIN_S: Final = 0.8
_CONCLUDE_S: Final = 0.3
"""Longest time for the last answers to leave, in seconds."""
_POLL_S: Final = 0.02


class GracefulShutdown:
    """Serves while callers come, then ends once everything in flight has its answer.

    What no upstream has by the hand-over is withdrawn and refused as not run. What upstreams
    still run at the end is answered as such.

    Args:
        callers: Serves the callers on this VM.
        peers: Serves the other daemons.
        entry: Answers callers' requests.
        hops: Answers other daemons' requests.
        links: Connections to other daemons.
        upstream: Upstream on this VM.
        announcements: Tells the other daemons of it.
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
    ) -> None:
        self._callers = callers
        self._peers = peers
        self._entry = entry
        self._hops = hops
        self._links = links
        self._upstream = upstream
        self._announcements = announcements

    async def run(self, grace_s: float) -> None:
        """Goes through all steps.

        Args:
            grace_s: Time after which the platform kills the process, in seconds.
        """
        now = trio.current_time()
        ends_at = now + grace_s - _GRACE_MARGIN_S
        self._accept(StopTimes(now + grace_s * _ACCEPTING_SHARE, ends_at))
        self._callers.begin_closing()
        with trio.move_on_at(ends_at - _HAND_OVER_S):
            await self._serve_callers()
        self._accept(StopTimes(trio.current_time(), ends_at))
        with trio.move_on_at(ends_at):
            await self._hand_over()
        await self._conclude()

    def _accept(self, stop_times: StopTimes) -> None:
        self._entry.stop_times = self._hops.stop_times = stop_times

    async def _serve_callers(self) -> None:
        await trio.sleep(_MIN_SERVING_S)
        while not self._callers.is_quiet(_QUIET_CALLERS_S):
            await trio.sleep(_POLL_S)

    async def _hand_over(self) -> None:
        """Withdraws and refuses what has not begun, and waits for the rest."""
        self._callers.withdraw_all()
        self._peers.refuse_bodies()
        self._callers.refuse_unreceived()
        await self._announcements.stop()
        await trio.sleep(_REFUSE_HOPS_S)
        self._upstream.stop()
        while not (self._peers.is_quiet and self._callers.is_quiet(_QUIET_CALLERS_S)):
            await trio.sleep(_POLL_S)

    async def _conclude(self) -> None:
        """Answers what is left by what is known of it."""
        self._callers.expire_all()
        self._links.close_all()
        with trio.move_on_after(_CONCLUDE_S):
            await self._callers.wait_answered()
