"""Graceful shutdown of a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._stop_times import CLOSED, StopTimes

if TYPE_CHECKING:
    from fulmarstile_daemon.services._link_server import LinkServer
    from fulmarstile_daemon.services._links import DaemonLinks
    from fulmarstile_daemon.services._request_server import RequestServer
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_daemon.services.announcements import UpstreamAnnouncements
    from fulmarstile_daemon.services.entry import CallEntry
    from fulmarstile_daemon.services.hops import HopServer

_MIN_SERVING_S: Final = 1.0
"""Minimum time after SIGTERM for which callers are served, in seconds."""
_ACCEPT_SHARE: Final = 0.4
"""Share of the grace period during which requests are accepted that may outlast the daemon."""
_MAX_ACCEPT_S: Final = 2.5
"""Longest such time, in seconds. A platform moves its callers away after two failed readiness
probes, a second apart; whatever comes later would only be cut off."""
_NESTED_ACCEPT_SHARE: Final = 0.5
_MAX_NESTED_ACCEPT_S: Final = 3.0
"""The same for the calls of requests that run on this VM, which fail without them."""
_CALLERS_GONE_S: Final = 0.6
"""Time without a request after which callers are assumed to have moved away, in seconds."""
_DRAIN_S: Final = 1.6
"""Time before termination at which draining starts at the latest, in seconds."""
_PEER_NOTICE_S: Final = 0.4
"""Time for which other daemons may still send requests after the announcement, in seconds."""
_GRACE_MARGIN_S: Final = 0.8
"""Time before the end of the grace period by which the daemon terminates, in seconds."""
_FINAL_SEND_S: Final = 0.3
"""Maximum time for sending the last responses, in seconds."""
_FINAL_CLOSE_S: Final = 0.1
"""Maximum time for answering what arrives until the connections are closed, in seconds."""
_POLL_INTERVAL_S: Final = 0.02


class GracefulShutdown:
    """Serves while callers send requests, then drains and responds to all requests in flight.

    Requests that no upstream has received when draining starts are withdrawn and refused as not
    run. Requests that upstreams still run at termination are reported as possibly run.

    Args:
        callers: Serves the callers on this VM.
        peers: Serves the other daemons.
        entry: Handles callers' requests.
        hops: Handles other daemons' requests.
        links: Connections to other daemons.
        upstream: Upstream on this VM.
        announcements: Publishes the state of the upstream to the other daemons.
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
        """Runs all phases of the shutdown.

        Args:
            grace_s: Grace period after which the platform kills the process, in seconds.
        """
        now = trio.current_time()
        ends_at = now + grace_s - _GRACE_MARGIN_S
        accepts_until = now + min(grace_s * _ACCEPT_SHARE, _MAX_ACCEPT_S)
        nested_until = now + min(grace_s * _NESTED_ACCEPT_SHARE, _MAX_NESTED_ACCEPT_S)
        self._set_stop_times(StopTimes(accepts_until, ends_at, nested_until))
        self._callers.begin_closing()
        with trio.move_on_at(ends_at - _DRAIN_S):
            await self._serve_callers()
        accepts_until = min(accepts_until, trio.current_time())
        self._set_stop_times(StopTimes(accepts_until, ends_at, nested_until))
        with trio.move_on_at(ends_at):
            await self._drain()
        await self._answer_remaining()

    def _set_stop_times(self, stop_times: StopTimes) -> None:
        self._entry.stop_times = self._hops.stop_times = stop_times

    async def _serve_callers(self) -> None:
        await trio.sleep(_MIN_SERVING_S)
        while not self._callers.is_quiet(_CALLERS_GONE_S):
            await trio.sleep(_POLL_INTERVAL_S)

    async def _drain(self) -> None:
        """Publishes the stop, refuses what no upstream has received, and waits for the rest."""
        self._callers.withdraw_all()
        self._peers.refuse_bodies()
        self._callers.refuse_unreceived()
        await self._announcements.stop()
        await trio.sleep(_PEER_NOTICE_S)
        self._upstream.stop()
        while not (self._peers.is_quiet and self._callers.is_quiet(_CALLERS_GONE_S)):
            await trio.sleep(_POLL_INTERVAL_S)

    async def _answer_remaining(self) -> None:
        """Responds to the remaining requests according to their state so far."""
        self._set_stop_times(CLOSED)
        self._callers.expire_all()
        self._links.close_all()
        with trio.move_on_after(_FINAL_SEND_S):
            await self._callers.wait_answered()
        with trio.move_on_after(_FINAL_CLOSE_S):
            await self._callers.finish()
