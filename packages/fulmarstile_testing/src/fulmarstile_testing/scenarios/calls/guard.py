"""Guard in a daemon that admits requests to the slots of the upstream beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_calls.admission import (
    AdmissionSettings,
    AdmissionTicket,
    Admitted,
    FairAdmission,
    Refused,
)
from fulmarstile_calls.drain import Drain, DrainSettings
from fulmarstile_calls.quarantine import Quarantine, QuarantineSettings
from fulmarstile_calls.request import CallRefusal, RefusalReason
from fulmarstile_calls.upstream_lease import UpstreamAnnouncement, UpstreamLease
from fulmarstile_testing.fakes.upstream import RunOutcome, UpstreamRun
from fulmarstile_testing.scenarios.calls.messages import HopReply
from fulmarstile_testing.scenarios.trace import (
    RunEnded,
    RunStarted,
    UpstreamLeaving,
    UpstreamReady,
)
from fulmarstile_wire.records import UpstreamStatus
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarstile_calls.admission import AdmissionEffect
    from fulmarstile_testing.scenarios.calls.messages import HopRequest
    from fulmarstile_testing.scenarios.model import ServiceSetup
    from fulmarstile_testing.scenarios.virtual_daemon import VirtualDaemon
    from fulmarstile_testing.scenarios.world import World

LEASE_TTL_S: Final = 3.0
"""Lifetime of an upstream's announcement, in seconds."""

CONNECTIONS: Final = 130
QUEUE_LIMIT: Final = 100


class UpstreamGuard:
    """Admits requests to the upstream of one daemon.

    Args:
        world: Simulated environment of the daemon.
        daemon: The daemon.
        setup: Service of the upstream.
    """

    def __init__(self, world: World, daemon: VirtualDaemon, setup: ServiceSetup) -> None:
        self._world = world
        self._daemon = daemon
        self._setup = setup
        self._upstream = world.upstreams[daemon.daemon_id]
        self._lease = UpstreamLease()
        self._drain = Drain(DrainSettings())
        self._admission = FairAdmission(AdmissionSettings(setup.slots, QUEUE_LIMIT, CONNECTIONS))
        self._waiting: dict[int, tuple[HopRequest, Callable[[HopReply], None]]] = {}
        self._running: dict[int, HopRequest] = {}
        self._quarantine = Quarantine(QuarantineSettings())

    @property
    def in_flight(self) -> int:
        """Number of requests that wait or run."""
        return len(self._waiting) + len(self._running)

    def on_announcement(self, *, is_draining: bool, now: float) -> None:
        """Starts or renews the lease of the upstream."""
        announcement = UpstreamAnnouncement(
            service=self._setup.name,
            address=f"{self._daemon.daemon_id}:3",
            slots=self._setup.slots,
            connections=CONNECTIONS,
            ttl_s=LEASE_TTL_S,
            draining=is_draining,
        )
        if self._lease.on_announcement(announcement, now):
            self._on_status_changed(now)

    def on_request(self, hop: HopRequest, reply: Callable[[HopReply], None], now: float) -> None:
        """Admits, queues or refuses a request.

        Args:
            hop: The request.
            reply: Sends the reply to the daemon that the request came from.
            now: Monotonic time of the daemon, in seconds.
        """
        refusal = self._find_refusal(hop, now)
        if refusal is not None:
            reply(HopReply(refusal=refusal))
            return
        ticket = AdmissionTicket(
            ticket_id=hop.attempt_id,
            customer=hop.request.customer,
            priority=hop.priority,
            weight=hop.weight,
            deadline_s=now + hop.remaining_s,
        )
        self._waiting[hop.attempt_id] = (hop, reply)
        self._execute_admission_effects(self._admission.on_arrival(ticket, now))

    def on_cancel(self, attempt_id: int, now: float) -> None:
        """Drops a queued request; a running one continues."""
        if self._waiting.pop(attempt_id, None) is not None:
            self._execute_admission_effects(self._admission.on_cancelled(attempt_id, now))

    def on_tick(self, now: float) -> None:
        """Refuses requests that wait too long, and ends the lease of a lost upstream."""
        self._execute_admission_effects(self._admission.on_tick(now))
        if self._lease.on_tick(now):
            self._on_status_changed(now)

    def begin_draining(self, now: float) -> None:
        """Begins the drain: requests are refused once the announcement has had time to spread."""
        self._drain.begin(now)

    def _find_refusal(self, hop: HopRequest, now: float) -> CallRefusal | None:
        if hop.fingerprint in self._daemon.core.quarantine:
            return CallRefusal(RefusalReason.QUARANTINED, Verdict.NOT_RUN, 422)
        if self._lease.status is UpstreamStatus.GONE:
            return CallRefusal(RefusalReason.NO_UPSTREAM, Verdict.NOT_RUN, 503)
        return self._drain.check_new_call(now)

    def _execute_admission_effects(self, effects: Iterable[AdmissionEffect]) -> None:
        for effect in effects:
            entry = self._waiting.pop(effect.ticket_id, None)
            if entry is None:
                continue
            hop, reply = entry
            if isinstance(effect, Admitted):
                self._run(hop, reply)
            elif isinstance(effect, Refused):
                reply(HopReply(refusal=effect.refusal))

    def _run(self, hop: HopRequest, reply: Callable[[HopReply], None]) -> None:
        if self._upstream.is_crashed:
            self._on_unreachable(hop, reply)
            return
        request = hop.request
        self._running[hop.attempt_id] = hop
        self._world.record(
            RunStarted(
                call=request.call,
                daemon=self._daemon.daemon_id,
                customer=request.customer,
                token=request.token,
                key=request.key,
                at_most_once=hop.at_most_once,
            )
        )

        def on_end(outcome: RunOutcome) -> None:
            complete = outcome is not RunOutcome.CUT_OFF
            self._world.record(RunEnded(request.call, self._daemon.daemon_id, complete))
            self._daemon.run(lambda: self._on_run_ended(hop, outcome, reply))

        self._upstream.run(UpstreamRun(request.token, on_end, request.is_poison))

    def _on_unreachable(self, hop: HopRequest, reply: Callable[[HopReply], None]) -> None:
        now = self._daemon.now
        if self._lease.on_crash(now):
            self._on_status_changed(now)
        reply(HopReply(refusal=CallRefusal(RefusalReason.CONNECT_FAILED, Verdict.NOT_RUN, 503)))
        self._execute_admission_effects(self._admission.on_finished(hop.attempt_id, now))

    def _on_run_ended(
        self, hop: HopRequest, outcome: RunOutcome, reply: Callable[[HopReply], None]
    ) -> None:
        now = self._daemon.now
        if outcome is RunOutcome.CUT_OFF and self._running:
            self._on_crash(now)
        self._running.pop(hop.attempt_id, None)
        if outcome is RunOutcome.ANSWERED:
            self._quarantine.on_completed(hop.fingerprint, now)
            reply(HopReply(hop.request.token))
        else:
            refusal = CallRefusal(RefusalReason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, 502)
            reply(HopReply(refusal=refusal))
        self._execute_admission_effects(self._admission.on_finished(hop.attempt_id, now))

    def _on_crash(self, now: float) -> None:
        """Reports the suspects among the running requests, once for each crash."""
        in_flight = [hop.fingerprint for hop in self._running.values()]
        suspects = self._quarantine.on_upstream_crash(in_flight, now)
        self._running.clear()
        self._daemon.execute_effects(self._daemon.core.report_crash(suspects, now))
        if self._lease.on_crash(now):
            self._on_status_changed(now)

    def _on_status_changed(self, now: float) -> None:
        status = self._lease.status
        daemon_id = self._daemon.daemon_id
        if status is UpstreamStatus.DRAINING:
            self._drain.begin(now)
            self._world.record(UpstreamLeaving(daemon_id))
        elif status is UpstreamStatus.READY:
            self._drain = Drain(DrainSettings())
            self._world.record(UpstreamReady(daemon_id))
        effects = self._daemon.core.announce_upstream(
            self._setup.name, status, self._setup.slots, now
        )
        self._daemon.execute_effects(effects)
