"""The daemon for calls between services, assembled for one platform."""

from __future__ import annotations

import gc
import random
import signal
import time
from typing import TYPE_CHECKING, Any, Final

import trio

from fulmarstile_daemon.background_tasks import keep_running
from fulmarstile_daemon.services._body_admission import BodyAdmission
from fulmarstile_daemon.services._boot_clock import read_boot_clock
from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._document_part import DocumentPart
from fulmarstile_daemon.services._graceful_shutdown import GracefulShutdown
from fulmarstile_daemon.services._link_bound import compute_link_limit
from fulmarstile_daemon.services._link_server import LinkServer
from fulmarstile_daemon.services._links import DaemonLinks
from fulmarstile_daemon.services._local_endpoints import LocalEndpoints
from fulmarstile_daemon.services._loop_lateness import LoopLateness
from fulmarstile_daemon.services._notice_merger import NoticeMerger
from fulmarstile_daemon.services._request_limits import DocumentLimits
from fulmarstile_daemon.services._request_server import RequestServer
from fulmarstile_daemon.services._rollout_part import RolloutPart
from fulmarstile_daemon.services._settings_reload import SettingsReloader
from fulmarstile_daemon.services._signals import ReceivedSignal, receive_signals
from fulmarstile_daemon.services._suspension import watch_suspension
from fulmarstile_daemon.services._upstream import LocalUpstream
from fulmarstile_daemon.services._upstream_choice import UpstreamChooser
from fulmarstile_daemon.services._upstream_gauges import add_upstream_gauges
from fulmarstile_daemon.services.active_routes import ActiveRoutes
from fulmarstile_daemon.services.announcements import UpstreamAnnouncements
from fulmarstile_daemon.services.documents import ActiveDocument
from fulmarstile_daemon.services.entry import CallEntry
from fulmarstile_daemon.services.events import Ended, Started, Stopped, Stopping
from fulmarstile_daemon.services.gossip import Gossip
from fulmarstile_daemon.services.hops import HopServer
from fulmarstile_daemon.services.membership import Membership
from fulmarstile_daemon.services.metrics import ServiceMetrics
from fulmarstile_daemon.services.quotas import Quotas
from fulmarstile_daemon.services.state import MemberState, ServiceState
from fulmarstile_services.balancing import BalancingSettings, LeastWaitBalancer
from fulmarstile_services.directory import Directory
from fulmarstile_services.freshness import Freshness
from fulmarstile_services.retry_budget import RetryBudget
from fulmarstile_services.store_readers import is_reader
from fulmarstile_services.weighted_round_robin import WeightedRoundRobin
from fulmarstile_wire.loads import LoadRequest
from fulmarstile_wire.quotas import QuotaRequest
from fulmarstile_wire.services import Member

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from fulmarstile_daemon.services.early_signals import EarlySignals
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.ports import Platform
    from fulmarstile_daemon.services.rollouts import Rollouts
    from fulmarstile_services.settings import NodeSettings
    from fulmarstile_wire.services import PeerReply, PeerRequest

_READY_WITHOUT_MEMBERS_S: Final = 1.5
"""Time after the start from which the daemon is ready even if the store was not read."""
_MIN_SILENT_S: Final = 0.3
"""Time without a byte from which a read of the store ends when connections are silent, in seconds.
"""
_COLLECTION_THRESHOLDS: Final = (20_000, 20, 50)
"""Garbage collection thresholds of the three generations."""


class ServiceDaemon:
    """The daemon, which owns and runs all components.

    Args:
        platform: Platform that it runs on.
        settings: Settings as read at the start.
        log: Log of the daemon.
        early_signals: Handled the signals of the process until now, if it is the daemon's own.
    """

    def __init__(
        self,
        platform: Platform,
        settings: NodeSettings,
        log: EventLog,
        early_signals: EarlySignals | None = None,
    ) -> None:
        self._early_signals = early_signals
        self._platform = platform
        self._reloader = SettingsReloader(platform, settings, self._apply_settings, log)
        self._log = log
        rng = random.Random()
        names = platform.header_names
        local_member = Member(
            settings.name,
            settings.listeners.daemons,
            settings.availability_zone,
            int(time.time() * 1000),
            link_kbps=settings.link_kbps,
        )
        self._routes = ActiveRoutes()
        self._metrics = ServiceMetrics()
        self._directory = Directory(local_member)
        notices = NoticeMerger(self._directory, log)
        self._membership = Membership(self._directory, notices, log, self._on_members)
        self._freshness = Freshness()
        self._documents = ActiveDocument(platform, self._routes, log, self._freshness)
        self._balancer = LeastWaitBalancer(
            BalancingSettings(), settings.availability_zone, rng, self._directory.notices
        )
        bounds = settings.bounds
        self._membership.is_reader = lambda: is_reader(self._directory, self._balancer.is_reachable)
        self._retry_budget = RetryBudget(bounds.retry_ratio, bounds.retry_burst)
        self._byte_budget = ByteBudget(settings.message_memory_bytes, settings.spare_message_bytes)
        self._links = DaemonLinks(settings.name, self._byte_budget)
        self._upstream = LocalUpstream(
            names,
            self._documents.connection_limit,
            self._membership.report_crash,
            notices,
            self._byte_budget,
            log,
        )
        self._upstream.names_customers = lambda: self._routes.names_customers
        self._documents.on_change.append(self._upstream.apply_connection_limit)
        self._announcements = UpstreamAnnouncements(
            settings, self._directory, self._membership, self._upstream, notices, log
        )
        self._membership.on_recovered = self._announcements.restore_upstream
        self._membership.on_local_departures = self._announcements.on_departures
        self._chooser = UpstreamChooser(
            self._balancer, self._upstream, self._links, local_member, rng, log
        )
        self._rollouts = RolloutPart(
            settings,
            platform,
            self._directory,
            self._documents,
            self._routes,
            self._upstream,
            self._balancer,
            self._links,
            rng,
            log,
        )
        self._entry = CallEntry(
            names,
            self._routes,
            WeightedRoundRobin(rng),
            self._directory,
            self._balancer,
            self._chooser,
            self._retry_budget,
            notices,
            self._upstream,
            self._links,
            self._metrics,
            log,
            self._freshness,
            self._rollouts.versions,
        )
        self._quotas: Quotas | None = None
        if bounds.quota is not None:
            self._quotas = Quotas(
                bounds.quota,
                self._routes,
                self._directory,
                self._balancer.is_reachable,
                self._links,
                log,
            )
            self._entry.quota.quotas = self._quotas
            self._documents.on_change.append(self._quotas.apply_document)
        self._apply_settings(settings)
        self._gossip = Gossip(
            self._directory,
            self._membership,
            self._documents,
            self._balancer,
            self._links,
            rng,
            log,
        )
        self._document_part = DocumentPart(
            self._documents,
            platform.document_topic,
            self._directory,
            self._balancer.is_reachable,
            self._links,
            self._gossip,
            log,
        )
        self._document_part.relay.on_silence.append(self._upstream.close_idle_connections)
        self._announcements.hand_over_departure = self._gossip.hand_over_departure
        if not settings.is_first_start:
            self._membership.ask_daemons = self._gossip.ask_for_departures
        self._body_admission = BodyAdmission(settings.link_bytes_per_s)
        self._hops = HopServer(
            names, self._directory, notices, self._upstream, self._body_admission, log
        )
        self._lateness = LoopLateness(log)
        descriptors = settings.unreserved_descriptors
        limits = DocumentLimits(self._routes)
        self._callers = RequestServer(
            self._entry.handle,
            limits.get,
            settings.caller_connection_limit,
            self._byte_budget,
            log,
            names.request_id,
            self._lateness,
            self._entry.find_wait_s,
            limits.may_be_outdated,
        )
        self._peers = LinkServer(
            self._hops.handle,
            self._gossip.on_sync,
            self._hops.add_load,
            self._upstream.rate_wait_s,
            self._body_admission,
            self._byte_budget,
            self._list_peer_handlers(),
            self._document_part.waiting_handlers,
            lambda: compute_link_limit(descriptors, len(self._directory.members)),
        )
        self._shutdown = GracefulShutdown(
            self._callers,
            self._peers,
            self._entry,
            self._hops,
            self._links,
            self._upstream,
            self._announcements,
            self._lateness,
            log,
        )
        self._local_endpoints = LocalEndpoints(
            platform, self._announcements, self._metrics, lambda: self.is_ready, self.dump
        )
        self._started_at = 0.0
        self._is_stopping = False
        self._stop_requested = trio.Event()
        self._stop_requested_at = self._stop_uncertainty_s = 0.0
        self._add_gauges()

    @property
    def announcements(self) -> UpstreamAnnouncements:
        """Processes announcements of the upstream on this VM."""
        return self._announcements

    @property
    def gossip(self) -> Gossip:
        """Synchronizes state with other daemons."""
        return self._gossip

    @property
    def byte_budget(self) -> ByteBudget:
        """Memory limit for buffered messages."""
        return self._byte_budget

    @property
    def body_admission(self) -> BodyAdmission:
        """Admits large request bodies to the link of this VM."""
        return self._body_admission

    @property
    def routes(self) -> ActiveRoutes:
        """Active routing table."""
        return self._routes

    @property
    def rollouts(self) -> Rollouts:
        """What this daemon knows about roll-outs."""
        return self._rollouts.rollouts

    @property
    def directory(self) -> Directory:
        """Directory of the known daemons."""
        return self._directory

    @property
    def is_ready(self) -> bool:
        """Whether callers should send requests to this daemon."""
        if self._is_stopping or self._routes.table is None:
            return False
        age_s = trio.current_time() - self._started_at
        return self._membership.is_caught_up.is_set() or age_s > _READY_WITHOUT_MEMBERS_S

    async def run(self) -> None:
        """Serves until SIGTERM, then shuts down gracefully.

        Raises:
            OSError: If it cannot listen on an address.
        """
        self._started_at = trio.current_time()
        settings = self._reloader.settings
        listeners = settings.listeners
        with receive_signals(
            signal.SIGTERM, signal.SIGHUP, lateness=self._lateness, on_receive=self._on_signal
        ) as signals:
            async with (
                self._platform.open_store(settings.store_address) as store,
                trio.open_nursery() as nursery,
            ):
                self._reloader.on_reload.append(lambda later: store.move(later.store_address))
                nursery.start_soon(keep_running, self._log.flush_forever)
                await nursery.start(self._callers.serve, listeners.callers)
                await nursery.start(self._links.run)
                await nursery.start(self._peers.serve, listeners.daemons)
                await self._local_endpoints.serve(nursery, listeners)
                self._log.write(
                    Started(
                        name=settings.name,
                        availability_zone=settings.availability_zone,
                        service=settings.service,
                        incarnation=self._directory.local_member.incarnation,
                    )
                )
                await nursery.start(self._rollouts.run, store)
                self._document_part.relay.on_silence.append(
                    lambda: store.end_silent_reads("", _MIN_SILENT_S)
                )
                nursery.start_soon(keep_running, self._document_part.run, store)
                nursery.start_soon(keep_running, self._membership.follow, store)
                nursery.start_soon(keep_running, self._membership.write_forever, store)
                nursery.start_soon(keep_running, self._gossip.run)
                nursery.start_soon(keep_running, self._upstream.tick_forever)
                nursery.start_soon(keep_running, self._entry.run_hedges)
                nursery.start_soon(keep_running, self._chooser.run)
                if self._quotas is not None:
                    nursery.start_soon(keep_running, self._quotas.run, store)
                nursery.start_soon(keep_running, self._reloader.watch)
                nursery.start_soon(
                    keep_running, watch_suspension, self._lateness, self._log, self._on_suspended
                )
                # All objects that exist now live until the end, so collections need not scan them.
                gc.freeze()
                gc.set_threshold(*_COLLECTION_THRESHOLDS)
                nursery.start_soon(keep_running, self._handle_signals, signals)
                if self._early_signals is not None and self._early_signals.wants_reload:
                    self._reloader.reload()
                await self._stop_requested.wait()
                self._is_stopping = True
                self._log.write(
                    Stopping(
                        in_flight=self._callers.in_flight + self._peers.in_flight,
                        late_ms=self._stop_elapsed_ms(),
                        uncertain_ms=round(self._stop_uncertainty_s * 1000, 1),
                    )
                )
                if self._quotas is not None:
                    nursery.start_soon(keep_running, self._quotas.release)
                await self._shutdown.run(
                    self._reloader.settings.bounds.grace_s,
                    self._stop_requested_at,
                    self._stop_uncertainty_s,
                )
                # The cancellation aborts whatever is still in flight.
                self._log.write(
                    Stopped(
                        in_flight=self._callers.in_flight + self._peers.in_flight,
                        arriving=self._callers.arriving,
                        unread=self._callers.unread,
                    )
                )
                nursery.cancel_scope.cancel()
        self._log.flush()

    def write_end(self) -> None:
        """Writes the last line of the log, after the event loop has ended."""
        self._log.write(Ended(elapsed_ms=self._stop_elapsed_ms()))
        self._log.flush()

    def dump(self) -> ServiceState:
        """Returns the state of the daemon for inspection."""
        members = self._directory.members
        return ServiceState(
            name=self._reloader.settings.name,
            is_ready=self.is_ready,
            is_stopping=self._is_stopping,
            document_version=self._documents.version,
            store_was_read=self._membership.is_caught_up.is_set(),
            upstream_phase=self._upstream.phase.value,
            upstream_running=self._upstream.running,
            upstream_queued=self._upstream.queued,
            upstream_slots=self._upstream.slots,
            upstream_service_s=self._upstream.service_s,
            upstream_rate_limit=self._upstream.rate_limit,
            callers_in_flight=self._callers.in_flight,
            hops_in_flight=self._peers.in_flight,
            message_bytes_held=self._byte_budget.used_bytes,
            crash_reports=len(self._directory.crashes),
            load_requests=self._chooser.load_requests,
            zone_shares=self._chooser.zone_shares(),
            rollouts=self._rollouts.dump(),
            members=tuple(
                MemberState(member, self._balancer.is_reachable(member.name)) for member in members
            ),
        )

    def begin_stopping(self, requested_at: float | None = None, uncertainty_s: float = 0.0) -> None:
        """Starts the graceful shutdown; idempotent.

        Args:
            requested_at: Time of the request by the boot clock in seconds, now if None.
            uncertainty_s: Time by which it may have come later, in seconds.
        """
        if self._stop_requested.is_set():
            return
        self._stop_requested_at = read_boot_clock() if requested_at is None else requested_at
        self._stop_uncertainty_s = uncertainty_s
        self._stop_requested.set()

    def _on_signal(self, received: ReceivedSignal) -> None:
        if received.number == signal.SIGTERM:
            grace_s = self._reloader.settings.bounds.grace_s
            self._shutdown.announce(grace_s, received.sent_at, received.uncertainty_s)

    async def _handle_signals(self, signals: AsyncIterator[ReceivedSignal]) -> None:
        """Reloads the settings on SIGHUP, and starts the shutdown on SIGTERM."""
        async for received in signals:
            if received.number == signal.SIGHUP:
                self._reloader.reload()
            else:
                self.begin_stopping(received.sent_at, received.uncertainty_s)

    def _stop_elapsed_ms(self) -> float:
        return round((read_boot_clock() - self._stop_requested_at) * 1000, 1)

    def _apply_settings(self, settings: NodeSettings) -> None:
        self._entry.caller_service = settings.service
        self._announcements.move_upstream(settings.upstream_address)
        self._freshness.bounds = settings.bounds.revocation

    def _on_suspended(self) -> None:
        """Closes idle connections after a suspension of the VM, because they may be dead."""
        self._links.retire_all("the VM was suspended")
        self._upstream.close_idle_connections()

    def _on_members(self) -> None:
        members = self._directory.members
        self._links.close_unknown(member.address for member in members)
        self._retry_budget.set_daemon_count(len(members))
        if self._membership.is_caught_up.is_set():
            self._rollouts.versions.observe_all()

    def _list_peer_handlers(self) -> dict[type[PeerRequest], Callable[[Any], PeerReply]]:
        """Returns the handlers of other daemons' requests, by the type of the request."""
        handlers: dict[type[PeerRequest], Callable[[Any], PeerReply]] = {
            LoadRequest: self._upstream.on_load_request
        }
        if self._quotas is not None:
            handlers[QuotaRequest] = self._quotas.on_request
        return handlers | self._rollouts.handlers

    def _add_gauges(self) -> None:
        metrics = self._metrics
        self._document_part.add_gauges(metrics)
        self._callers.add_gauges(metrics)
        self._byte_budget.add_gauges(metrics)
        self._lateness.add_gauges(metrics)
        add_upstream_gauges(metrics, self._upstream)
        if self._quotas is not None:
            self._quotas.add_gauges(metrics)
        metrics.add_gauge("members", lambda: len(self._directory.members))
        metrics.add_gauge("hops_in_flight", lambda: self._peers.in_flight)
        metrics.add_gauge("body_wait_seconds", lambda: self._body_admission.wait_s)
        metrics.add_gauge("load_requests", lambda: self._chooser.load_requests)
        metrics.add_gauge("rollouts_running", lambda: self._rollouts.running)
        metrics.add_gauge("log_lines_left_out", lambda: self._log.dropped_lines)
