"""The upstream on this VM: its slots, its connections and what it answers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_calls.crash_watch import CrashWatch
from fulmarstile_calls.quarantine import Quarantine, QuarantineSettings
from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._call import AttemptResult, make_failure
from fulmarstile_daemon.services._exchange import AnswerTooLargeError, Exchange
from fulmarstile_daemon.services._slots import SlotRefusedError, Slots
from fulmarstile_daemon.services.events import UpstreamChanged
from fulmarstile_http.client_connection import ExchangeError
from fulmarstile_http.connection_pool import ConnectionPool, PoolSettings
from fulmarstile_services.slot_class import SlotClass
from fulmarstile_services.upstream_registry import UpstreamPhase
from fulmarstile_wire.services import HopOutcome, MemberPhase
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._byte_budget import ByteBudget
    from fulmarstile_daemon.services._exchange import Answer
    from fulmarstile_daemon.services._handover import Handover
    from fulmarstile_daemon.services._server_connection import ReceivedRequest
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.ports import CallHeaderNames
    from fulmarstile_http.client_connection import ClientConnection
    from fulmarstile_services.upstream_registry import UpstreamAnnouncement
    from fulmarstile_wire.services import HopRequest

_UNSAFE_IDLE_S: Final = 0.5
"""Idle time after which a connection is not used for a request that may run only once."""
_DOWN_S: Final = 0.5
"""Time for which an upstream that refuses connections gets no request, in seconds."""
_MISDIRECTED: Final = 421
_POOL: Final = PoolSettings(connect_timeout_s=0.5, fresh_connection_s=4.0)
_MAX_STRAY_ANSWERS: Final = 8
"""Answers to other requests that are skipped on a connection before it is given up."""
_SERVICE_GAIN: Final = 0.05
_NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request has not run."""


class LocalUpstream:
    """Guards the upstream on this VM; nobody else sends requests to it.

    Args:
        names: Names of headers.
        connection_limit: Returns how many connections an upstream of a service accepts.
        on_suspects: Called with the fingerprints of the requests that were running when the
            upstream crashed.
        budget: Bound of the memory that answers take.
        log: Log of the daemon.
    """

    def __init__(
        self,
        names: CallHeaderNames,
        connection_limit: Callable[[str], int],
        on_suspects: Callable[[tuple[bytes, ...]], None],
        budget: ByteBudget,
        log: EventLog,
    ) -> None:
        self._names = names
        self._connection_limit = connection_limit
        self._on_suspects = on_suspects
        self._budget = budget
        self._log = log
        self._announcement: UpstreamAnnouncement | None = None
        self._slots = Slots()
        self._pool: ConnectionPool | None = None
        self._running: dict[int, bytes] = {}
        self._classes: dict[bytes, SlotClass] = {}
        self._quarantine = Quarantine(QuarantineSettings())
        self._crash_watch = CrashWatch(self._quarantine)
        self._down_until = -math.inf
        self._service_s = 0.0
        self._class_service_s: dict[int, float] = {}
        self._is_stopping = False

    @property
    def phase(self) -> MemberPhase:
        """Whether the upstream takes requests."""
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
        """Slots of the upstream."""
        return self._slots.count

    @property
    def service_s(self) -> float:
        """Mean time that the upstream takes for a request lately, in seconds."""
        return self._service_s

    def find_parent(self, request_id: bytes) -> SlotClass | None:
        """Tells the class of the running request during which the upstream makes a call.

        Args:
            request_id: Id of the call.

        Returns:
            The class; None if the id names no request that runs here.
        """
        separator = self._names.call_separator
        if not separator or separator not in request_id:
            return None
        return self._classes.get(request_id.rpartition(separator)[0])

    def replace(self, announcement: UpstreamAnnouncement, address: str) -> None:
        """Takes over another incarnation, or a change of the known one.

        Args:
            announcement: What the upstream said.
            address: `host:port` of the upstream.
        """
        known = self._announcement
        is_new = known is None or (known.upstream_id, known.born_ms) != (
            announcement.upstream_id,
            announcement.born_ms,
        )
        self._announcement = announcement
        if is_new:
            self._start(announcement, address)
        if announcement.phase is UpstreamPhase.LEAVING:
            self._slots.refuse_all()
        else:
            self._slots.resize(announcement.slots)
        self._down_until = -math.inf

    def stop(self) -> None:
        """Refuses waiting and later requests, because the daemon stops."""
        self._is_stopping = True
        self._slots.close()

    def trust_no_idle_connection(self) -> None:
        """Closes idle connections, because the VM stood still."""
        if self._pool is not None:
            self._pool.close_idle()

    async def tick_forever(self) -> None:
        """Refuses waiting requests whose time has run out, until cancelled."""
        await self._slots.tick_forever()

    async def run(
        self,
        hop: HopRequest,
        request: ReceivedRequest,
        deadline: float,
        useful_until: float,
        handover: Handover,
    ) -> AttemptResult:
        """Runs one request, or refuses it.

        Args:
            hop: What the entry daemon says of the request.
            request: The request.
            deadline: Time by which the caller needs the answer, in seconds; the caller of this
                cancels it then.
            useful_until: Time until which waiting for a slot is of use, in seconds.
            handover: Told when the upstream gets the request; may withdraw it until then.

        Returns:
            How it ended.
        """
        refusal = self._check(hop)
        if refusal is not None:
            return AttemptResult(self.describe(refusal, hop.priority))
        try:
            ticket_id = await self._slots.enter(hop, deadline, useful_until, handover)
        except SlotRefusedError as error:
            failure = make_failure(
                Verdict.NOT_RUN, error.refusal.reason, retry_after_s=error.refusal.retry_after_s
            )
            return AttemptResult(self.describe(failure, hop.priority))
        self._running[ticket_id] = hop.fingerprint
        request_id = request.headers.get_bytes(self._names.request_id)
        self._classes[request_id] = SlotClass(min(hop.priority, SlotClass.OTHER))
        started_at = trio.current_time()
        try:
            result = await self._run_admitted(hop, request, deadline, handover)
        finally:
            del self._running[ticket_id]
            self._classes.pop(request_id, None)
            self._slots.leave(ticket_id)
        if result.answer is not None:
            ended_at = trio.current_time()
            self._observe(hop.priority, ended_at - started_at)
            self._quarantine.on_completed(hop.fingerprint, ended_at)
        return AttemptResult(self.describe(result.outcome, hop.priority), result.answer)

    def describe(self, outcome: HopOutcome, priority: int = -1) -> HopOutcome:
        """Adds the load that other daemons choose by.

        Args:
            outcome: How a request ended.
            priority: Its priority, if it is known.

        Returns:
            The outcome with the load.
        """
        return msgspec.structs.replace(
            outcome,
            running=self.running,
            queued=self.queued,
            slots=self.slots,
            service_ms=round(self._service_s * 1000, 2),
            class_service_ms=round(self._class_service_s.get(priority, 0.0) * 1000, 2),
            phase=self.phase,
        )

    def _start(self, announcement: UpstreamAnnouncement, address: str) -> None:
        limit = self._connection_limit(announcement.service)
        if self._pool is not None:
            self._pool.retire()
        self._pool = ConnectionPool(address, limit, _POOL)
        self._slots.restart(announcement.slots, limit)

    def _check(self, hop: HopRequest) -> HopOutcome | None:
        """Refuses what the upstream here must not get."""
        announcement = self._announcement
        phase = self.phase
        if announcement is None or phase is not MemberPhase.SERVING:
            reason = RefusalReason.DRAINING if announcement else RefusalReason.NO_UPSTREAM
            return make_failure(Verdict.NOT_RUN, reason)
        if hop.service != announcement.service:
            return make_failure(Verdict.NOT_RUN, RefusalReason.NO_UPSTREAM)
        if trio.current_time() < self._down_until:
            return make_failure(Verdict.NOT_RUN, RefusalReason.CONNECT_FAILED)
        return None

    async def _run_admitted(
        self, hop: HopRequest, request: ReceivedRequest, deadline: float, handover: Handover
    ) -> AttemptResult:
        pool = self._pool
        # The upstream may have been replaced by one of another service meanwhile.
        refusal = self._check(hop)
        if pool is None or refusal is not None:
            return AttemptResult(
                refusal or make_failure(Verdict.NOT_RUN, RefusalReason.NO_UPSTREAM)
            )
        try:
            connection = await pool.acquire(math.inf if hop.idempotent else _UNSAFE_IDLE_S)
        except ExchangeError as error:
            self._note_down(str(error))
            return AttemptResult(make_failure(Verdict.NOT_RUN, RefusalReason.CONNECT_FAILED))
        if not handover.begin():
            pool.release(connection)
            return AttemptResult(make_failure(Verdict.NOT_RUN, RefusalReason.DRAINING))
        exchange = Exchange(
            connection,
            request.method,
            request.target,
            self._make_headers(hop, request, deadline),
            request.body,
            self._budget,
        )
        started_at = trio.current_time()
        is_whole = False
        try:
            answer = await self._receive_own(exchange, request)
            is_whole = not exchange.is_cut
        except trio.Cancelled:
            if trio.current_time() >= deadline:
                pool.report_timeout(connection)
            raise
        except ExchangeError as error:
            return await self._describe_break(exchange, pool, started_at, error)
        finally:
            _release(pool, connection, is_whole)
        return self._judge(answer)

    async def _receive_own(self, exchange: Exchange, request: ReceivedRequest) -> Answer:
        """Receives the answer that bears the request's id; others belong to earlier ones."""
        request_id = request.headers.get_bytes(self._names.request_id)
        answer = await exchange.run()
        for _ in range(_MAX_STRAY_ANSWERS):
            answer_id = answer.headers.get_bytes(self._names.request_id)
            if answer_id == request_id or (not answer_id and answer.status >= 400):
                return answer
            if not answer_id:
                raise ExchangeError("the answer does not say which request it belongs to")
            answer = await exchange.receive_next()
        raise ExchangeError("too many answers belong to other requests")

    def _judge(self, answer: Answer) -> AttemptResult:
        headers = answer.headers
        not_run = headers.get_bytes(self._names.not_run)
        if not_run or answer.status == _MISDIRECTED:
            reason = RefusalReason.OVERLOADED if not_run else RefusalReason.NO_UPSTREAM
            return AttemptResult(make_failure(Verdict.NOT_RUN, reason, reached_upstream=True))
        is_success = 200 <= answer.status < 300
        if is_success and not headers.get_bytes(self._names.answer_proof):
            return AttemptResult(
                make_failure(Verdict.RAN, RefusalReason.TRUNCATED, reached_upstream=True)
            )
        if answer.status in _NOT_RUN_STATUSES:
            return AttemptResult(
                make_failure(Verdict.RAN, RefusalReason.UPSTREAM_FAILED, reached_upstream=True)
            )
        return AttemptResult(HopOutcome(Verdict.RAN, reached_upstream=True), answer)

    async def _describe_break(
        self, exchange: Exchange, pool: ConnectionPool, started_at: float, error: ExchangeError
    ) -> AttemptResult:
        if not exchange.may_have_arrived:
            return AttemptResult(make_failure(Verdict.NOT_RUN, RefusalReason.CONNECTION_LOST))
        if isinstance(error, AnswerTooLargeError):
            return AttemptResult(
                make_failure(
                    Verdict.MAY_HAVE_RUN, RefusalReason.ANSWER_TOO_LARGE, reached_upstream=True
                )
            )
        if self._crash_watch.begin_check(self._running.values(), started_at):
            await self._check_crash(pool, error)
        return AttemptResult(
            make_failure(Verdict.MAY_HAVE_RUN, RefusalReason.CONNECTION_LOST, reached_upstream=True)
        )

    async def _check_crash(self, pool: ConnectionPool, error: ExchangeError) -> None:
        crashed = False
        try:
            crashed = await _refuses_connections(pool)
        finally:
            suspects = self._crash_watch.end_check(crashed, trio.current_time())
        if crashed:
            self._note_down(str(error))
        if suspects:
            self._on_suspects(suspects)

    def _make_headers(
        self, hop: HopRequest, request: ReceivedRequest, deadline: float
    ) -> list[tuple[bytes, bytes]]:
        names = self._names
        own = (names.caller_service, names.expected_upstream, names.time_left_ms)
        headers = [each for each in request.headers.end_to_end if each[0] not in own]
        left_ms = max(1, int((deadline - trio.current_time()) * 1000))
        headers.append((names.time_left_ms, b"%d" % left_ms))
        headers.append((names.caller_service, hop.caller_service.encode()))
        if self._announcement is not None:
            upstream_id = self._announcement.upstream_id.encode()
            headers.append((names.expected_upstream, upstream_id))
        return headers

    def _observe(self, priority: int, elapsed_s: float) -> None:
        self._service_s = _follow(self._service_s, elapsed_s)
        known_s = self._class_service_s.get(priority, 0.0)
        self._class_service_s[priority] = _follow(known_s, elapsed_s)

    def _note_down(self, reason: str) -> None:
        now = trio.current_time()
        announcement = self._announcement
        if now >= self._down_until and announcement is not None:
            self._log.write(
                UpstreamChanged(
                    upstream=announcement.upstream_id,
                    born_ms=announcement.born_ms,
                    change=f"unreachable: {reason}",
                )
            )
        self._down_until = now + _DOWN_S


def _follow(mean_s: float, elapsed_s: float) -> float:
    """Takes a time into a moving mean, in seconds; 0 is no mean yet."""
    return mean_s + _SERVICE_GAIN * (elapsed_s - mean_s) if mean_s else elapsed_s


def _release(pool: ConnectionPool, connection: ClientConnection, is_whole: bool) -> None:
    if is_whole:
        pool.release(connection)
    else:
        pool.discard(connection)


async def _refuses_connections(pool: ConnectionPool) -> bool:
    """Tells whether the upstream accepts no new connection."""
    try:
        connection = await pool.open()
    except ExchangeError:
        return True
    pool.release(connection)
    return False
