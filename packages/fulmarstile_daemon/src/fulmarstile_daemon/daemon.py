"""Shell of the daemon: sockets, timers and tasks around the decision cores."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, Final

import trio
from loguru import logger

from fulmarstile_daemon.log_worker import LogWorker
from fulmarstile_daemon.metrics import MetricsPage
from fulmarstile_daemon.state import describe_state
from fulmarstile_mesh import AppendLog, Disconnect, ReadLog, Send
from fulmarstile_wire.records import UpstreamStatus

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_daemon.admin.views import UpstreamAnnouncement
    from fulmarstile_daemon.calls import CallProxy
    from fulmarstile_daemon.core import DaemonCore
    from fulmarstile_daemon.peers import PeerLinks
    from fulmarstile_daemon.settings import Settings
    from fulmarstile_mesh import Effect
    from fulmarstile_platform.log import Log, LogPage

TICK_INTERVAL_S: Final = 0.1
"""Time between two ticks of the cores, in seconds."""

LEAVE_FLUSH_S: Final = 0.3
"""Time for which links stay open after the daemon has announced its stop, in seconds."""


class Daemon:
    """Carries out the effects of the decision cores and feeds events to them.

    Args:
        settings: The daemon's settings.
        core: The decision core.
        links: Links to the other daemons.
        log: The platform's log.
        proxy: The call proxy.
        nursery: Nursery of all tasks.
    """

    def __init__(
        self,
        settings: Settings,
        core: DaemonCore,
        links: PeerLinks,
        log: Log,
        proxy: CallProxy,
        nursery: trio.Nursery,
    ) -> None:
        self._settings = settings
        self._core = core
        self._links = links
        self._proxy = proxy
        self._log_worker = LogWorker(log, nursery, self)
        self._metrics = MetricsPage()
        self._announcement: UpstreamAnnouncement | None = None
        self._lease_ends_at = math.inf
        self._leaving = False
        self._endpoints = core.endpoints

    @property
    def core(self) -> DaemonCore:
        """The decision core."""
        return self._core

    @property
    def now(self) -> float:
        """Time in seconds, as the cores count it."""
        return trio.current_time()

    @property
    def log_worker(self) -> LogWorker:
        """Requests to the platform's log."""
        return self._log_worker

    @property
    def links(self) -> PeerLinks:
        """Links to the other daemons."""
        return self._links

    @property
    def proxy(self) -> CallProxy:
        """The call proxy."""
        return self._proxy

    @property
    def announcement(self) -> UpstreamAnnouncement | None:
        """Last announcement of the local upstream, while its lease lasts."""
        return self._announcement

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self._leaving

    async def receive_messages(self) -> None:
        """Feeds messages from other daemons to the core until cancelled."""
        while True:
            message = await self._links.receive()
            self._carry_out(self._core.on_message(message, self.now))

    async def run_ticks(self) -> None:
        """Feeds the passing of time to the core until cancelled."""
        while True:
            self._expire_lease()
            self._carry_out(self._core.on_tick(self.now))
            await trio.sleep(TICK_INTERVAL_S)

    async def drain(self) -> None:
        """Stops in an orderly way: no new calls, calls in flight end, peers are told."""
        self._leaving = True
        logger.info("draining")
        self._carry_out(self._core.begin_leaving(self.now))
        self._proxy.begin_draining()
        with trio.move_on_after(self._settings.daemon.drain_limit_s) as limit:
            await self._proxy.wait_drained()
        if limit.cancelled_caught:
            logger.warning("drain limit reached with calls in flight")
        self._carry_out(self._core.leave(self.now))
        await trio.sleep(LEAVE_FLUSH_S)

    def announce_upstream(self, announcement: UpstreamAnnouncement) -> None:
        """Takes or renews the lease of the local upstream."""
        previous = self._announcement
        self._announcement = announcement
        self._lease_ends_at = self.now + announcement.ttl_s
        if previous is not None and _same_upstream(previous, announcement):
            return
        status = UpstreamStatus.READY
        if announcement.status == "draining":
            status = UpstreamStatus.DRAINING
        logger.info("upstream announced", service=announcement.service, status=announcement.status)
        self._proxy.set_upstream(announcement.address, announcement.slots, announcement.connections)
        self._report_upstream(announcement, status)

    def withdraw_upstream(self) -> None:
        """Ends the lease of the local upstream."""
        announcement = self._announcement
        if announcement is None:
            return
        self._announcement = None
        self._lease_ends_at = math.inf
        logger.info("upstream gone", service=announcement.service)
        self._report_upstream(announcement, UpstreamStatus.GONE)

    def dump_state(self) -> Any:
        """Returns the whole state, to be encoded as JSON."""
        return describe_state(self)

    def render_metrics(self) -> bytes:
        """Returns the metrics page."""
        counters = {
            "core": self._core.counters,
            "membership": self._core.membership.counters,
            "relay": self._core.relay.counters,
            "links": self._links.counters,
            "log": self._log_worker.counters,
            "calls": self._proxy.counters,
            "members": len(self._core.membership.members),
            "endpoints": len(self._core.endpoints),
        }
        return self._metrics.render(counters, {"daemon": self._settings.daemon.name})

    def on_log_page(self, stream: str, page: LogPage) -> None:
        """Feeds a page of the log to the core."""
        self._carry_out(self._core.on_log_page(stream, page, self.now))

    def on_log_failure(self, stream: str) -> None:
        """Feeds a failed read to the core."""
        self._carry_out(self._core.on_log_failure(stream, self.now))

    def on_append_done(self, stream: str, offset: int) -> None:
        """Feeds an append that succeeded to the core."""
        self._carry_out(self._core.on_append_done(stream, offset, self.now))

    def on_append_failure(self, stream: str) -> None:
        """Feeds an append that failed to the core."""
        self._carry_out(self._core.on_append_failure(stream, self.now))

    def _report_upstream(self, announcement: UpstreamAnnouncement, status: UpstreamStatus) -> None:
        effects = self._core.announce_upstream(
            announcement.service, status, announcement.slots, self.now
        )
        self._carry_out(effects)

    def _expire_lease(self) -> None:
        if self.now >= self._lease_ends_at:
            logger.warning("upstream lease expired")
            self.withdraw_upstream()

    def _carry_out(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._links.send(effect.address, effect.message)
            elif isinstance(effect, Disconnect):
                self._links.disconnect(effect.address)
            elif isinstance(effect, ReadLog):
                self._log_worker.read(effect)
            elif isinstance(effect, AppendLog):
                self._log_worker.append(effect)
        self._follow_endpoints()

    def _follow_endpoints(self) -> None:
        if self._core.endpoints is self._endpoints:
            return
        self._endpoints = self._core.endpoints
        self._proxy.replace_endpoints(self._endpoints)


def _same_upstream(left: UpstreamAnnouncement, right: UpstreamAnnouncement) -> bool:
    return (left.service, left.address, left.slots, left.connections, left.status) == (
        right.service,
        right.address,
        right.slots,
        right.connections,
        right.status,
    )
