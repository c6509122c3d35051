"""The call proxy: forwards callers' HTTP requests to upstreams."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, Final

import trio
from loguru import logger

from fulmarstile_calls.balancing import BalancerSettings, TwoChoicesBalancer
from fulmarstile_calls.drain import Drain, DrainPhase, DrainSettings
from fulmarstile_calls.rate_limiter import RateLimiter
from fulmarstile_calls.request import RefusalReason
from fulmarstile_calls.retries import RetryBudgets, RetrySettings
from fulmarstile_calls.scheduling_delay import SchedulingDelay
from fulmarstile_daemon.background_tasks import keep_running, run_and_log
from fulmarstile_daemon.calls._attempts import AttemptRunner
from fulmarstile_daemon.calls._call import CallerDisconnectedError, CallFailedError, make_refusal
from fulmarstile_daemon.calls._call_reader import CallReader
from fulmarstile_daemon.calls._caller import CallerConnection
from fulmarstile_daemon.calls._disconnect_watch import DisconnectWatch
from fulmarstile_daemon.calls._hop import HopHeaders
from fulmarstile_daemon.calls._local_upstream import LocalUpstream, dump_pool
from fulmarstile_daemon.calls._runner import CallRunner
from fulmarstile_daemon.calls.counters import CallCounters
from fulmarstile_daemon.calls.dump import CallDump
from fulmarstile_http.late_readers import STALLED_CHECK_INTERVAL_S
from fulmarstile_http.listener import OutOfDescriptorsError, listen
from fulmarstile_platform.message_memory import MessageMemory
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_calls.balancing import Balancer
    from fulmarstile_calls.request import CallRefusal, UpstreamEndpoint
    from fulmarstile_calls.retries import RetryPolicy
    from fulmarstile_daemon.calls._call import Call
    from fulmarstile_daemon.calls._caller import ReceivedRequest
    from fulmarstile_daemon.calls.context import CallContext
    from fulmarstile_daemon.calls.settings import CallSettings
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_http.listener import ConnectionListener

_TICK_INTERVAL_S: Final = 0.05
"""Interval of the check for missed deadlines of waiting calls and disconnects, in seconds."""
_IDLE_CHECK_INTERVAL_S: Final = 1.0
"""Interval of the check for idle connections, in seconds."""
_DRAIN_POLL_INTERVAL_S: Final = 0.02
_TERMINATE_TIMEOUT_S: Final = 1.5
"""Longest time to send the final answers and wait for callers to close, in seconds."""
_STOP_RETRY_AFTER_S: Final = 1.0
"""Delay after which to retry at another daemon than the stopped one, in seconds."""
_ACCEPT_RETRY_S: Final = 0.05
"""Delay before accepting again when the process is out of file descriptors, in seconds."""
_EVICTION_RETRY_S: Final = 0.02
"""Time in which input that has arrived is read, in seconds."""


class CallProxy:
    """Serves callers and other daemons on one HTTP listener.

    Args:
        settings: Settings.
        context: State of the daemon that the proxy belongs to.
        balancer: Chooses upstreams; by default power of two choices.
        retries: Decides on retries and hedges; by default within retry budgets.
        local: Admission to the upstream on the VM of the daemon.
    """

    def __init__(
        self,
        settings: CallSettings,
        context: CallContext,
        *,
        balancer: Balancer | None = None,
        retries: RetryPolicy | None = None,
        local: LocalUpstream | None = None,
    ) -> None:
        rng = random.Random()
        budgets = RetryBudgets(RetrySettings(), rng)
        hop = HopHeaders(context.daemon_id, settings.mesh_key)
        self._settings = settings
        self._context = context
        self._balancer = balancer or TwoChoicesBalancer(
            BalancerSettings(), settings.availability_zone, rng
        )
        self._local = local or LocalUpstream(settings)
        self._limiter = RateLimiter()
        self._reader = CallReader(context, hop, budgets)
        self._counters = CallCounters()
        self._scheduling_delay = SchedulingDelay()
        self._attempts = AttemptRunner(
            settings,
            self._local,
            self._balancer,
            hop,
            self._scheduling_delay,
            self._on_connection_lost,
        )
        self._runner = CallRunner(
            settings, context, self._attempts, self._balancer, retries or budgets, self._counters
        )
        self._disconnect_watch = DisconnectWatch()
        self._connections: dict[CallerConnection, None] = {}
        self._costly_input = trio.Lock()
        self._memory = MessageMemory(settings.message_memory_bytes)
        self._nursery: trio.Nursery | None = None
        self._accept_scope = trio.CancelScope()
        self._address = settings.address
        self._drain = Drain(DrainSettings(settings.drain_announce_s, limit_s=math.inf))

    @property
    def counters(self) -> CallCounters:
        """Counts of events in the proxy."""
        return self._counters

    @property
    def address(self) -> str:
        """`host:port` that the proxy listens on."""
        return self._address

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._drain.phase is not DrainPhase.SERVING

    async def serve(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Accepts and serves connections until cancelled.

        Args:
            task_status: Receives the `host:port` that the proxy listens on.

        Raises:
            OSError: If the proxy cannot listen on the address.
        """
        self.replace_endpoints(self._context.endpoints)
        with listen(self._settings.address, peer_may_read_late=True) as listener:
            self._address = listener.address
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(keep_running, self._tick_forever)
                task_status.started(listener.address)
                try:
                    with self._accept_scope:
                        await keep_running(self._accept_forever, listener, nursery)
                    for stream in listener.accept_pending():
                        nursery.start_soon(self._serve_or_refuse, stream)
                    listener.close()
                    await trio.sleep_forever()
                finally:
                    self._local.close()
                    self._attempts.close_unknown_daemons(frozenset())

    def replace_endpoints(self, endpoints: tuple[UpstreamEndpoint, ...]) -> None:
        """Replaces the upstreams that calls may be sent to.

        Args:
            endpoints: All upstreams, of any service.
        """
        self._balancer.replace_endpoints(endpoints, trio.current_time())
        for endpoint in endpoints:
            if endpoint.is_local:
                self._local.service = endpoint.service
        self._attempts.close_unknown_daemons(
            frozenset(endpoint.calls_address for endpoint in endpoints)
        )

    def set_upstream(
        self,
        address: str,
        slots: int,
        connections: int,
        *,
        draining: bool = False,
        service: str = "",
    ) -> None:
        """Applies an announcement of the local upstream.

        Args:
            address: `host:port` of the upstream.
            slots: Most requests that it runs concurrently.
            connections: Most connections that it accepts.
            draining: Whether the upstream is draining; it gets no new calls once other daemons
                have had time to learn of it.
            service: Service of the upstream; empty to take it from the endpoints. Forwarded calls
                to another service are refused.
        """
        if service:
            self._local.service = service
        now = trio.current_time()
        self._local.configure(address, slots, connections, now)
        self._local.set_draining(draining, now)

    def begin_draining(self) -> None:
        """Begins a planned stop.

        New calls are still accepted for `drain_announce_s`, until other daemons have learned of the
        stop; then new and waiting calls are refused, and those in flight finish.
        """
        now = trio.current_time()
        self._drain.begin(now)
        for caller in self._connections:
            caller.is_draining = True
        self._advance_drain(now)

    async def wait_drained(self) -> None:
        """Waits until new calls are refused and none is in flight."""
        while not self._drain.is_finished:
            await trio.sleep(_DRAIN_POLL_INTERVAL_S)
            self._advance_drain(trio.current_time())

    def stop_listening(self) -> None:
        """Stops accepting connections; open ones are still served."""
        self._accept_scope.cancel()

    async def terminate_calls(self) -> None:
        """Refuses new calls, and ends each call in flight with a final answer.

        An answer that has begun cannot be replaced; it gets a short time to finish.
        """
        self._drain.time_out()
        self._advance_drain(trio.current_time())
        for caller in self._connections:
            caller.terminate_request()
        with trio.move_on_after(_TERMINATE_TIMEOUT_S):
            while any(caller.is_in_use for caller in self._connections):
                await trio.sleep(_DRAIN_POLL_INTERVAL_S)

    def dump(self) -> CallDump:
        """Describes the state of the proxy."""
        return CallDump(
            address=self._address,
            draining=self.is_draining,
            caller_connections=len(self._connections),
            calls_in_flight=len(self._disconnect_watch),
            upstream_running=self._local.running,
            upstream_queued=self._local.queued,
            upstream=self._local.dump(),
            daemons=tuple(map(dump_pool, self._attempts.daemon_pools)),
        )

    async def _tick_forever(self) -> None:
        next_idle_check = next_reader_check = 0.0
        while True:
            self._scheduling_delay.plan_wake(trio.current_time() + _TICK_INTERVAL_S)
            await trio.sleep(_TICK_INTERVAL_S)
            now = trio.current_time()
            self._scheduling_delay.on_wake(now)
            self._local.tick(now)
            self._disconnect_watch.tick(now)
            self._advance_drain(now)
            if now >= next_reader_check:
                next_reader_check = now + STALLED_CHECK_INTERVAL_S
                self._attempts.allow_late_readers(now)
            if now >= next_idle_check:
                next_idle_check = now + _IDLE_CHECK_INTERVAL_S
                self._close_idle(now - self._settings.idle_timeout_s)

    async def _accept_forever(self, listener: ConnectionListener, nursery: trio.Nursery) -> None:
        while True:
            try:
                stream = await listener.accept()
            except OutOfDescriptorsError:
                self._evict_idle()
                await trio.sleep(_ACCEPT_RETRY_S)
                continue
            nursery.start_soon(self._serve_or_refuse, stream)

    def _advance_drain(self, now: float) -> None:
        if not self.is_draining:
            return
        in_use = sum(caller.is_in_use for caller in self._connections)
        if self._drain.on_tick(in_use, now) is not DrainPhase.ANNOUNCED:
            self._local.begin_draining(now)

    def _close_idle(self, oldest: float) -> None:
        """Closes the connections that have been idle since before a time."""
        for caller in self._connections:
            if caller.is_idle and caller.idle_since < oldest and not caller.has_unread:
                caller.scope.cancel()

    def _evict_idle(self) -> bool:
        """Closes the oldest idle connection; returns whether there was one."""
        for caller in self._connections:
            if caller.is_idle and not caller.has_unread:
                self._counters.connections_evicted += 1
                caller.scope.cancel()
                return True
        return False

    async def _serve_or_refuse(self, stream: ByteStream) -> None:
        """Serves a connection; an error ends this connection alone."""
        self._counters.connections += 1
        try:
            if await self._find_place():
                await self._serve_connection(stream)
            else:
                await self._refuse_connection(stream)
        except Exception:
            self._counters.errors += 1
            logger.exception("unexpected error while accepting a connection")
            stream.close()

    async def _find_place(self) -> bool:
        """Evicts a connection if there are too many; returns whether one more may be served.

        If none is idle, one may prove idle once its input is read.
        """
        if len(self._connections) < self._settings.connection_limit or self._evict_idle():
            return True
        await trio.sleep(_EVICTION_RETRY_S)
        return self._evict_idle()

    async def _refuse_connection(self, stream: ByteStream) -> None:
        """Refuses the first request on a connection beyond the connection limit."""
        caller = CallerConnection(stream, self._settings, self._costly_input, self._memory)
        detail = "all connections are in use"
        refusal = make_refusal(RefusalReason.OVERLOADED, Verdict.NOT_RUN, detail, retry_after_s=1.0)
        try:
            await self._refuse(caller, refusal, close=True)
            await caller.close()
        except CallerDisconnectedError:
            caller.close_now()

    async def _serve_connection(self, stream: ByteStream) -> None:
        caller = CallerConnection(stream, self._settings, self._costly_input, self._memory)
        caller.is_draining = self.is_draining
        self._connections[caller] = None
        try:
            with caller.scope:
                await self._serve_requests(caller)
            if caller.is_terminated:
                await self._answer_terminated(caller)
        except CallerDisconnectedError:
            pass
        except Exception:
            self._counters.errors += 1
            logger.exception("unexpected error while serving a connection")
        finally:
            del self._connections[caller]
            caller.close_now()

    async def _serve_requests(self, caller: CallerConnection) -> None:
        while True:
            try:
                request = await caller.receive_request()
            except CallFailedError as error:
                await self._refuse(caller, error.refusal, close=True)
                break
            if request is None:
                return
            await self._serve_request(caller, request)
            # A connection that waits for its next request must not keep the head of the last one.
            del request
            if not caller.is_reusable:
                break
            caller.is_idle = True
        await caller.close()

    async def _answer_terminated(self, caller: CallerConnection) -> None:
        if not caller.is_answered:
            await self._refuse(caller, _make_termination_refusal(caller.call), close=True)
        await caller.close()

    async def _serve_request(self, caller: CallerConnection, request: ReceivedRequest) -> None:
        now = trio.current_time()
        self._counters.calls += 1
        call: Call | None = None
        try:
            call = self._reader.read(request, caller, now)
            self._check_admissible(call, now)
            caller.call = call
            self._disconnect_watch.add(call, caller)
            await self._runner.run(call, caller)
            self._counters.answers += 1
        except CallFailedError as error:
            is_malformed = error.refusal.reason is RefusalReason.BAD_REQUEST
            await self._refuse(caller, error.refusal, close=is_malformed)
        except CallerDisconnectedError:
            self._counters.callers_gone += 1
            raise
        finally:
            self._disconnect_watch.discard(call)

    def _check_admissible(self, call: Call, now: float) -> None:
        refusal = self._drain.check_new_call(now)
        if refusal is not None:
            raise CallFailedError(refusal)
        if call.route is None:
            self._counters.forwarded_calls += 1
            return
        refusal = self._limiter.check(call.route, now)
        if refusal is not None:
            raise CallFailedError(refusal)

    async def _refuse(self, caller: CallerConnection, refusal: CallRefusal, *, close: bool) -> None:
        self._counters.count_refusal(refusal)
        with trio.move_on_after(self._settings.progress_timeout_s) as scope:
            await caller.send_refusal(refusal, close=close)
        if scope.cancelled_caught:
            raise CallerDisconnectedError

    def _on_connection_lost(self, in_flight: tuple[bytes, ...], started_at: float) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(run_and_log, self._check_crash, in_flight, started_at)

    async def _check_crash(self, in_flight: tuple[bytes, ...], started_at: float) -> None:
        suspects = await self._local.find_suspects(in_flight, started_at)
        if suspects is None:
            return
        self._counters.upstream_crashes += 1
        logger.warning("the upstream crashed with {} calls in flight", len(in_flight))
        self._context.on_upstream_crash(suspects)


def _make_termination_refusal(call: Call | None) -> CallRefusal:
    """Makes the refusal of a request that was terminated because the daemon stops."""
    if call is None or call.combined_verdict is Verdict.NOT_RUN:
        detail = "the daemon stopped before the request was sent"
        return make_refusal(
            RefusalReason.DRAINING, Verdict.NOT_RUN, detail, retry_after_s=_STOP_RETRY_AFTER_S
        )
    return call.make_error(
        RefusalReason.TIMEOUT, "the daemon stopped before the answer came"
    ).refusal
