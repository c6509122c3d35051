"""I/O shell of the daemon: sockets, timers and tasks around the decision cores."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, Final

import trio
from loguru import logger

from fulmarstile_calls.upstream_lease import UpstreamLease
from fulmarstile_daemon.background_tasks import keep_running
from fulmarstile_daemon.call_context import CoreCallContext
from fulmarstile_daemon.calls import CallProxy, CallSettings
from fulmarstile_daemon.claim_service import ClaimEffect, ClaimService
from fulmarstile_daemon.log_worker import LogWorker
from fulmarstile_daemon.metrics import MetricsPage, sum_counters
from fulmarstile_daemon.state import describe_state
from fulmarstile_mesh import AppendLog, Disconnect, ReadLog, Send
from fulmarstile_wire.records import UpstreamStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarstile_calls.upstream_lease import UpstreamAnnouncement
    from fulmarstile_daemon.core import DaemonCore
    from fulmarstile_daemon.peers import PeerLinks
    from fulmarstile_daemon.settings import Settings
    from fulmarstile_mesh import Effect
    from fulmarstile_platform.log import Log, LogPage
    from fulmarstile_wire.verdict import Verdict

TICK_INTERVAL_S: Final = 0.1
"""Time between two ticks of the cores, in seconds."""

LEAVE_FLUSH_S: Final = 0.3
"""Time for which links stay open after the daemon has announced its stop, in seconds."""


class Daemon:
    """Passes events to the decision cores and executes the effects that they return.

    Args:
        settings: The daemon's settings.
        core: The decision core.
        links: Links to the other daemons.
        log: The platform's log.
        nursery: Nursery in which the tasks of the daemon run.
    """

    def __init__(
        self,
        settings: Settings,
        core: DaemonCore,
        links: PeerLinks,
        log: Log,
        nursery: trio.Nursery,
    ) -> None:
        self._settings = settings
        self._core = core
        self._links = links
        self._claims = ClaimService(core.requester, self._execute_claim_effects)
        self._proxy = CallProxy(_make_call_settings(settings), self._make_call_context())
        self._nursery = nursery
        self._log_worker = LogWorker(log, nursery, self)
        self._metrics = MetricsPage()
        self._lease = UpstreamLease()
        self._leaving = False
        self._drain_wait = trio.CancelScope()
        self._claims_changed = trio.Event()
        self._claims_due_at = core.claims_due_at
        self._endpoints = core.endpoints

    @property
    def core(self) -> DaemonCore:
        """The decision core."""
        return self._core

    @property
    def now(self) -> float:
        """Time in seconds on the clock that the cores use."""
        return trio.current_time()

    @property
    def log_worker(self) -> LogWorker:
        """Runs the requests to the platform's log."""
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
    def lease(self) -> UpstreamLease:
        """Lease of the local upstream."""
        return self._lease

    @property
    def is_leaving(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._leaving

    def start(self) -> None:
        """Starts the core, and the tasks that run until they are cancelled."""
        self._execute_effects(self._core.start(self.now))
        for run in (self._receive_messages, self._run_ticks, self._run_claim_appends):
            self._nursery.start_soon(keep_running, run)

    async def _receive_messages(self) -> None:
        """Passes messages from other daemons to the core until cancelled."""
        while True:
            message = await self._links.receive()
            self._dispatch(self._core.on_message, message)

    async def _run_ticks(self) -> None:
        """Calls `on_tick` of the core at regular intervals until cancelled."""
        while True:
            if self._lease.on_tick(self.now):
                logger.warning("upstream lease expired")
                self._on_lease_changed()
            self._dispatch(self._core.on_tick)
            await trio.sleep(TICK_INTERVAL_S)

    async def _run_claim_appends(self) -> None:
        """Starts appends of claims when they are due, until cancelled."""
        while True:
            due_at = self._core.claims_due_at
            if due_at is not None and due_at <= self.now:
                self._dispatch(self._core.on_claims_due)
                due_at = self._core.claims_due_at
            with trio.move_on_at(math.inf if due_at is None else due_at):
                await self._claims_changed.wait()
            self._claims_changed = trio.Event()

    async def drain(self) -> None:
        """Shuts down gracefully: refuses new calls, waits for calls in flight, tells the peers."""
        self._leaving = True
        logger.info("draining")
        self._dispatch(self._core.begin_leaving)
        self._proxy.begin_draining()
        self._drain_wait.deadline = self.now + self._settings.daemon.drain_limit_s
        with self._drain_wait:
            await self._proxy.wait_drained()
        if self._drain_wait.cancelled_caught:
            logger.warning("stopped draining with calls still in flight")
        await self._proxy.terminate_calls()
        self._proxy.stop_listening()
        self._dispatch(self._core.leave)
        await trio.sleep(LEAVE_FLUSH_S)

    def end_drain_wait(self) -> None:
        """Stops waiting for calls in flight, as if the drain limit had been reached."""
        self._drain_wait.cancel()

    def announce_upstream(self, announcement: UpstreamAnnouncement) -> None:
        """Grants or renews the lease of the local upstream.

        Args:
            announcement: Service, address and capacity that the upstream announces.

        Raises:
            AnnouncementError: If the announcement is invalid.
        """
        if self._lease.on_announcement(announcement, self.now):
            self._on_lease_changed()

    def withdraw_upstream(self) -> None:
        """Ends the lease of the local upstream."""
        if self._lease.on_withdrawal(self.now):
            self._on_lease_changed()

    def dump_state(self) -> Any:
        """Returns the complete state as data that can be encoded as JSON."""
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
            "folds": sum_counters(fold.counters for fold in self._core.folds.values()),
            "members": len(self._core.membership.members),
            "endpoints": len(self._core.endpoints),
        }
        return self._metrics.render(counters, {"daemon": self._settings.daemon.name})

    def on_log_page(self, stream: str, page: LogPage) -> None:
        """Passes a page of the log to the core."""
        self._dispatch(self._core.on_log_page, stream, page)

    def on_log_failure(self, stream: str) -> None:
        """Reports a failed read to the core."""
        self._dispatch(self._core.on_log_failure, stream)

    def on_append_done(self, stream: str, offset: int) -> None:
        """Reports a successful append to the core."""
        self._dispatch(self._core.on_append_done, stream, offset)

    def on_append_failure(self, stream: str, verdict: Verdict) -> None:
        """Reports a failed append to the core."""
        self._dispatch(self._core.on_append_failure, stream, verdict)

    def _dispatch(self, core_handler: Callable[..., list[Effect]], *event: object) -> None:
        try:
            effects = core_handler(*event, self.now)
        except Exception:
            # An event of one customer that triggers a bug must not end the calls of the others.
            self._core.counters.faults += 1
            logger.exception("decision core raised an exception", handler=core_handler.__name__)
            return
        self._execute_effects(effects)

    def _make_call_context(self) -> CoreCallContext:
        return CoreCallContext(
            self._settings.daemon.name,
            self._settings.calls.default_customer,
            self._core,
            self._claims,
            self._report_crash,
        )

    def _report_crash(self, fingerprints: tuple[bytes, ...]) -> None:
        logger.warning("upstream crashed", suspected_requests=len(fingerprints))
        self._dispatch(self._core.report_crash, fingerprints)
        if self._lease.on_crash(self.now):
            self._on_lease_changed()

    def _on_lease_changed(self) -> None:
        announcement = self._lease.announcement
        assert announcement is not None
        status = self._lease.status
        logger.info("upstream changed", service=announcement.service, status=status.name.lower())
        if status is not UpstreamStatus.GONE:
            self._proxy.set_upstream(
                announcement.address,
                announcement.slots,
                announcement.connections,
                draining=announcement.draining,
                service=announcement.service,
            )
        self._dispatch(
            self._core.announce_upstream, announcement.service, status, announcement.slots
        )

    def _execute_claim_effects(self, effects: Iterable[Effect]) -> None:
        self._execute_effects(self._core.apply_local_effects(effects, self.now))

    def _execute_effects(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            try:
                self._execute(effect)
            except Exception:
                # The other effects may belong to calls that wait for them.
                self._core.counters.faults += 1
                logger.exception("executing an effect failed", effect=type(effect).__name__)
        self._update_proxy_endpoints()
        self._wake_claim_task()

    def _execute(self, effect: Effect) -> None:
        if isinstance(effect, Send):
            self._links.send(effect.address, effect.message)
        elif isinstance(effect, Disconnect):
            self._links.disconnect(effect.address)
        elif isinstance(effect, ReadLog):
            self._log_worker.read(effect)
        elif isinstance(effect, AppendLog):
            self._log_worker.append(effect)
        elif isinstance(effect, ClaimEffect):
            self._claims.on_result(effect)

    def _wake_claim_task(self) -> None:
        due_at = self._core.claims_due_at
        if due_at != self._claims_due_at:
            self._claims_due_at = due_at
            self._claims_changed.set()

    def _update_proxy_endpoints(self) -> None:
        if self._core.endpoints is self._endpoints:
            return
        self._endpoints = self._core.endpoints
        self._proxy.replace_endpoints(self._endpoints)


def _make_call_settings(settings: Settings) -> CallSettings:
    return CallSettings(
        address=settings.calls.address,
        mesh_key=settings.mesh.key,
        availability_zone=settings.daemon.availability_zone,
        region=settings.daemon.region,
        connection_limit=settings.calls.max_connections,
        queue_limit=settings.calls.queue_limit,
        head_timeout_s=settings.calls.head_timeout_s,
        progress_timeout_s=settings.calls.progress_timeout_s,
    )
