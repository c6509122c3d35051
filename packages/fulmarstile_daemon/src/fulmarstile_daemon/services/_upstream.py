"""The upstream on this VM: slots, connections and responses."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_calls.crash_watch import CrashWatch
from fulmarstile_calls.quarantine import Quarantine, QuarantineSettings
from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._call import AttemptResult, make_failure, make_lost_answer
from fulmarstile_daemon.services._exchange import Exchange, ResponseTooLargeError
from fulmarstile_daemon.services._load_reports import read_load
from fulmarstile_daemon.services._response_notices import ResponseNotices
from fulmarstile_daemon.services._slots import SlotRefusedError, Slots
from fulmarstile_daemon.services._upstream_headers import make_upstream_headers
from fulmarstile_daemon.services._upstream_responses import (
    MISDIRECTED_STATUS,
    classify_response,
    count_evidence,
    is_rejection,
    receive_matching,
)
from fulmarstile_daemon.services.events import UpstreamChanged
from fulmarstile_http.client_connection import ExchangeError, LocalLimitError
from fulmarstile_http.connection_pool import ConnectionPool, PoolSettings
from fulmarstile_services.service_times import ServiceTimes
from fulmarstile_services.slot_class import SlotClass
from fulmarstile_services.upstream_registry import UpstreamPhase
from fulmarstile_wire.loads import LoadReply
from fulmarstile_wire.services import HopOutcome, MemberPhase
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._attempt_progress import AttemptProgress
    from fulmarstile_daemon.services._byte_budget import ByteBudget
    from fulmarstile_daemon.services._exchange import UpstreamResponse
    from fulmarstile_daemon.services._notice_merger import NoticeMerger
    from fulmarstile_daemon.services._server_connection import ReceivedRequest
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.ports import CallHeaderNames
    from fulmarstile_http.client_connection import ClientConnection
    from fulmarstile_services.rollouts.evidence import EvidenceCounter
    from fulmarstile_services.upstream_registry import UpstreamAnnouncement
    from fulmarstile_wire.loads import LoadRequest
    from fulmarstile_wire.services import HopRequest, UpstreamNotice

_MAX_NON_IDEMPOTENT_IDLE_S: Final = 0.5
"""Idle time after which a connection is not used for a non-idempotent request, in seconds."""
_UNREACHABLE_S: Final = 0.5
"""Time for which an upstream that refuses connections receives no requests, in seconds."""
_POOL_SETTINGS: Final = PoolSettings(connect_timeout_s=0.5, fresh_connection_s=4.0)


class LocalUpstream:
    """Controls access to the upstream on this VM; all of its requests pass through here.

    Args:
        names: Names of headers.
        connection_limit: Returns the maximum number of connections of a service's upstream.
        on_suspects: Called with the fingerprints of the requests that were running when the
            upstream crashed.
        notices: Merges what upstreams say about themselves.
        budget: Memory limit for responses.
        log: Log of the daemon.
    """

    def __init__(
        self,
        names: CallHeaderNames,
        connection_limit: Callable[[str], int],
        on_suspects: Callable[[tuple[bytes, ...]], None],
        notices: NoticeMerger,
        budget: ByteBudget,
        log: EventLog,
    ) -> None:
        self._names = names
        self._connection_limit = connection_limit
        self._on_suspects = on_suspects
        self._notice_merger = notices
        self._budget = budget
        self._log = log
        self._announcement: UpstreamAnnouncement | None = None
        self._slots = Slots()
        self._pool: ConnectionPool | None = None
        self._running: dict[int, bytes] = {}
        self._running_classes: dict[bytes, SlotClass] = {}
        self._quarantine = Quarantine(QuarantineSettings())
        self._crash_watch = CrashWatch(self._quarantine)
        self._unreachable_until = -math.inf
        self._service_times = ServiceTimes()
        self._response_notices: ResponseNotices | None = None
        self._is_stopping = False
        self.names_customers: Callable[[], bool] = lambda: False
        """Returns whether the active document names customers."""
        self.evidence: EvidenceCounter | None = None
        """Counts the requests that the upstream runs; None unless its service has a roll-out."""
        self.find_version_refusal: Callable[[UpstreamAnnouncement], RefusalReason | None]
        self.find_version_refusal = lambda _: None
        """Returns why a roll-out keeps requests away from an upstream's version, if it does."""
        self.requests_sent = 0
        """Requests sent to any incarnation of the upstream."""

    @property
    def phase(self) -> MemberPhase:
        """Whether the upstream accepts requests."""
        if self._is_stopping:
            return MemberPhase.STOPPED
        if self._announcement is None:
            return MemberPhase.ABSENT
        if self._announcement.phase is UpstreamPhase.LEAVING:
            return MemberPhase.LEAVING
        return MemberPhase.SERVING

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return self._slots.running

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return self._slots.queued

    @property
    def slots(self) -> int:
        """Number of slots of the upstream."""
        return self._slots.count

    @property
    def service_s(self) -> float:
        """Moving average of the upstream's service time, in seconds."""
        return self._service_times.mean_s

    @property
    def announcement(self) -> UpstreamAnnouncement | None:
        """Last announcement of the upstream; None if there was none."""
        return self._announcement

    @property
    def notice(self) -> UpstreamNotice | None:
        """What the current incarnation has said about itself, if anything."""
        return None if self._response_notices is None else self._response_notices.notice

    @property
    def rate_limit(self) -> float:
        """Requests per second that the upstream accepts, as it says; 0 for no limit."""
        notice = self.notice
        return 0.0 if notice is None else notice.rate_limit

    def expect_service_s(self, hop: HopRequest) -> float:
        """Returns the time that a request is expected to take once it has a slot, in seconds.

        It is the usual time of its class, or the target latency of its route if that is longer.
        """
        times = self._service_times
        usual_s = times.class_mean_s(hop.priority) * (times.slowdown(trio.current_time()) or 1.0)
        return max(hop.target_ms / 1000, usual_s)

    def rate_wait_s(self) -> float:
        """Returns the time for which the rate limit alone holds back a new request, in seconds."""
        return self._slots.rate_wait_s

    def find_parent_class(self, request_id: bytes) -> SlotClass | None:
        """Finds the class of the running request for which the upstream makes a call.

        Args:
            request_id: Id of the call.

        Returns:
            The class; None if the id contains no id of a request that runs here.
        """
        separator = self._names.call_separator
        if not separator or separator not in request_id:
            return None
        return self._running_classes.get(request_id.rpartition(separator)[0])

    def apply_announcement(self, announcement: UpstreamAnnouncement, address: str) -> None:
        """Switches to another incarnation, or applies a change of the current one.

        Args:
            announcement: The announcement of the upstream.
            address: `host:port` of the upstream.
        """
        known = self._announcement
        is_new = known is None or (known.upstream_id, known.born_ms) != (
            announcement.upstream_id,
            announcement.born_ms,
        )
        self._announcement = announcement
        if is_new:
            self._start(announcement)
        if self._pool is None or is_new or self._pool.address != address:
            self._replace_pool(announcement.service, address)
        if announcement.phase is UpstreamPhase.LEAVING:
            self._slots.refuse_all()
        else:
            self._slots.resize(announcement.slots)
        self.apply_notice()
        self._unreachable_until = -math.inf

    def apply_connection_limit(self) -> None:
        """Applies the connection limit of the active document, which may have changed."""
        if self._announcement is not None and self._pool is not None:
            limit = self._connection_limit(self._announcement.service)
            self._pool.resize(limit)
            self._slots.set_connections(limit)

    def apply_notice(self) -> None:
        """Applies what the upstream has said about itself."""
        self._slots.set_rate_limit(self.rate_limit)

    def refuse_queued(self, reason: RefusalReason) -> None:
        """Refuses the requests that wait for a slot, because of a roll-out."""
        self._slots.refuse_queued(reason)

    def stop(self) -> None:
        """Refuses queued and later requests, because the daemon shuts down."""
        self._is_stopping = True
        self._slots.close()

    def close_idle_connections(self) -> None:
        """Closes idle connections, which may be dead after a suspension or a silence of others."""
        if self._pool is not None:
            self._pool.close_idle()

    async def tick_forever(self) -> None:
        """Refuses queued requests whose time has run out, until cancelled."""
        await self._slots.tick_forever()

    async def run(
        self,
        hop: HopRequest,
        request: ReceivedRequest,
        deadline: float,
        useful_until: float,
        progress: AttemptProgress,
    ) -> AttemptResult:
        """Runs one request, or refuses it.

        Args:
            hop: Metadata from the entry daemon.
            request: The request.
            deadline: Time by which the caller needs the answer, in seconds; the caller of this
                method cancels it then.
            useful_until: Time until which waiting for a slot is worthwhile, in seconds.
            progress: Updated when the request is passed to the upstream; allows it to be
                withdrawn until then.

        Returns:
            The result.
        """
        refusal = self._refuse_unservable(hop)
        if refusal is not None:
            return AttemptResult(self.add_load(refusal, hop.priority))
        try:
            ticket_id = await self._slots.acquire(hop, deadline, useful_until, progress)
        except SlotRefusedError as error:
            failure = make_failure(
                Verdict.NOT_RUN, error.refusal.reason, retry_after_s=error.refusal.retry_after_s
            )
            return AttemptResult(self.add_load(failure, hop.priority))
        self._running[ticket_id] = hop.fingerprint
        request_id = request.headers.get_bytes(self._names.request_id)
        self._running_classes[request_id] = SlotClass(min(hop.priority, SlotClass.OTHER))
        started_at = trio.current_time()
        try:
            result = await self._run_with_slot(hop, request, deadline, progress)
        finally:
            del self._running[ticket_id]
            self._running_classes.pop(request_id, None)
            self._slots.release(ticket_id)
        if result.response is not None:
            ended_at = trio.current_time()
            self._service_times.observe(hop.priority, ended_at - started_at, ended_at)
            self._quarantine.on_completed(hop.fingerprint, ended_at)
        return AttemptResult(self.add_load(result.outcome, hop.priority), result.response)

    def add_load(self, outcome: HopOutcome, priority: int = -1) -> HopOutcome:
        """Adds the load, which other daemons use for balancing.

        Args:
            outcome: Outcome of a request.
            priority: Its priority; -1 if unknown.

        Returns:
            The outcome with the load.
        """
        times = self._service_times
        return msgspec.structs.replace(
            outcome,
            running=self.running,
            queued=self.queued,
            slots=self.slots,
            service_ms=round(times.mean_s * 1000, 2),
            class_service_ms=round(times.class_mean_s(priority) * 1000, 2),
            phase=self.phase,
            notice=self.notice,
            slowdown=times.slowdown(trio.current_time()),
        )

    def on_load_request(self, request: LoadRequest) -> LoadReply:
        """Tells another daemon the present load.

        Args:
            request: Request of the other daemon.

        Returns:
            The load, or that the upstream doesn't serve this service.
        """
        announcement = self._announcement
        if self.phase is not MemberPhase.SERVING or announcement is None:
            return LoadReply(is_serving=False)
        if announcement.service != request.service:
            return LoadReply(is_serving=False)
        times = self._service_times
        return LoadReply(
            True,
            self.running,
            self.queued,
            self.slots,
            round(times.mean_s * 1000, 2),
            times.slowdown(trio.current_time()),
        )

    def _read_load(self, response: UpstreamResponse) -> None:
        if self._announcement is not None:
            value = response.headers.get_bytes(self._names.load)
            read_load(value, response.head_at, self._service_times, self._announcement, self._log)

    def _start(self, announcement: UpstreamAnnouncement) -> None:
        self._service_times = ServiceTimes()
        self._response_notices = ResponseNotices(
            announcement, self._names, self._notice_merger, self._log
        )
        self._slots.restart(announcement.slots, self._connection_limit(announcement.service))

    def _replace_pool(self, service: str, address: str) -> None:
        if self._pool is not None:
            self._pool.retire()
        limit = self._connection_limit(service)
        self._pool = ConnectionPool(address, limit, _POOL_SETTINGS, peer_may_read_late=True)

    def _refuse_unservable(self, hop: HopRequest) -> HopOutcome | None:
        """Returns a refusal if the upstream cannot serve the request."""
        announcement = self._announcement
        phase = self.phase
        if announcement is None or phase is not MemberPhase.SERVING:
            reason = RefusalReason.DRAINING if announcement else RefusalReason.NO_UPSTREAM
            return make_failure(Verdict.NOT_RUN, reason)
        if hop.service != announcement.service:
            return make_failure(Verdict.NOT_RUN, RefusalReason.NO_UPSTREAM)
        version_refusal = self.find_version_refusal(announcement)
        if version_refusal is not None:
            return make_failure(Verdict.NOT_RUN, version_refusal)
        if trio.current_time() < self._unreachable_until:
            return make_failure(Verdict.NOT_RUN, RefusalReason.CONNECT_FAILED)
        return None

    async def _run_with_slot(
        self, hop: HopRequest, request: ReceivedRequest, deadline: float, progress: AttemptProgress
    ) -> AttemptResult:
        pool = self._pool
        # While the request waited, an upstream of another service may have replaced this one.
        refusal = self._refuse_unservable(hop)
        if pool is None or refusal is not None:
            return AttemptResult(
                refusal or make_failure(Verdict.NOT_RUN, RefusalReason.NO_UPSTREAM)
            )
        try:
            connection = await pool.acquire(
                math.inf if hop.idempotent else _MAX_NON_IDEMPOTENT_IDLE_S
            )
        except ExchangeError as error:
            if pool is self._pool and not isinstance(error, LocalLimitError):
                self._mark_unreachable(str(error))
            return AttemptResult(make_failure(Verdict.NOT_RUN, RefusalReason.CONNECT_FAILED))
        # The upstream may have left, or been replaced, while the connection was opened.
        refusal = self._refuse_unservable(hop)
        if refusal is None and pool is not self._pool:
            refusal = make_failure(Verdict.NOT_RUN, RefusalReason.NO_UPSTREAM)
        if refusal is not None:
            pool.release(connection)
            return AttemptResult(refusal)
        if not progress.try_begin():
            pool.release(connection)
            return AttemptResult(make_failure(Verdict.NOT_RUN, RefusalReason.DRAINING))
        response_notices = self._response_notices
        self.requests_sent += 1
        exchange = Exchange(
            connection,
            request.method,
            request.target,
            self._make_headers(hop, request, deadline),
            request.body,
            self._budget,
        )
        progress.is_answering = exchange.is_answering
        started_at = trio.current_time()
        evidence = self.evidence
        is_reusable = is_discarded = False
        try:
            response = await receive_matching(self._names, exchange, request)
            # A second copy of a rejection on this connection could be taken for that of a later
            # request, which then counts as not run.
            is_reusable = not (exchange.is_body_unfinished or is_rejection(self._names, response))
        except trio.Cancelled:
            if evidence is not None:
                evidence.on_cancelled(hop.route, trio.current_time() - started_at)
            if trio.current_time() >= deadline:
                pool.report_timeout(connection)
            raise
        except ExchangeError as error:
            # The check for a crash needs room for a connection of its own.
            pool.discard(connection)
            is_discarded = True
            if evidence is not None and exchange.may_have_arrived:
                evidence.on_failed(hop.route, trio.current_time() - started_at)
            return await self._handle_broken_exchange(exchange, pool, started_at, error)
        finally:
            if not is_discarded:
                _return_connection(pool, connection, is_reusable)
        elapsed_s = trio.current_time() - started_at
        if response_notices is not None and response.status != MISDIRECTED_STATUS:
            response_notices.read(response)
            self._read_load(response)
        result = classify_response(self._names, response)
        if evidence is not None:
            count_evidence(evidence, hop.route, elapsed_s, result, response.status)
        return result

    async def _handle_broken_exchange(
        self, exchange: Exchange, pool: ConnectionPool, started_at: float, error: ExchangeError
    ) -> AttemptResult:
        if not exchange.may_have_arrived:
            return AttemptResult(make_failure(Verdict.NOT_RUN, RefusalReason.CONNECTION_LOST))
        if isinstance(error, ResponseTooLargeError):
            return AttemptResult(make_lost_answer(RefusalReason.ANSWER_TOO_LARGE))
        if self._crash_watch.begin_check(self._running.values(), started_at):
            await self._check_crash(pool, error)
        return AttemptResult(make_lost_answer(RefusalReason.CONNECTION_LOST))

    async def _check_crash(self, pool: ConnectionPool, error: ExchangeError) -> None:
        crashed = False
        try:
            crashed = await pool.refuses_connections()
        finally:
            suspects = self._crash_watch.end_check(crashed, trio.current_time())
        if crashed and pool is self._pool:
            self._mark_unreachable(str(error))
        if suspects:
            self._on_suspects(suspects)

    def _make_headers(
        self, hop: HopRequest, request: ReceivedRequest, deadline: float
    ) -> list[tuple[bytes, bytes]]:
        announcement = self._announcement
        return make_upstream_headers(
            self._names,
            hop,
            request,
            deadline - trio.current_time(),
            upstream_id="" if announcement is None else announcement.upstream_id,
            # The entry daemon may still have a document without customers.
            names_customers=bool(hop.customer) or self.names_customers(),
        )

    def _mark_unreachable(self, reason: str) -> None:
        now = trio.current_time()
        announcement = self._announcement
        if now >= self._unreachable_until and announcement is not None:
            self._log.write(
                UpstreamChanged(
                    upstream=announcement.upstream_id,
                    born_ms=announcement.born_ms,
                    change=f"unreachable: {reason}",
                )
            )
        self._unreachable_until = now + _UNREACHABLE_S


def _return_connection(
    pool: ConnectionPool, connection: ClientConnection, is_reusable: bool
) -> None:
    if is_reusable:
        pool.release(connection)
    else:
        pool.discard(connection)
