"""A daemon in virtual time: the real decision core between fake links and a fake log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_mesh import AppendLog, Disconnect, ReadLog, Send
from fulmarstile_testing.scenarios.calls.claims import CLAIM_RESULTS, ClaimResults
from fulmarstile_testing.scenarios.calls.entry import EntryProxy
from fulmarstile_testing.scenarios.calls.guard import UpstreamGuard
from fulmarstile_testing.scenarios.reference import digest_document
from fulmarstile_testing.scenarios.trace import RouteInForce, TableApplied, UpstreamLeaving
from fulmarstile_wire import Verdict, decode_message, encode_message

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from fulmarstile_config import CompiledDocument
    from fulmarstile_daemon.core import DaemonCore
    from fulmarstile_mesh import Effect
    from fulmarstile_platform.log import LogPage
    from fulmarstile_testing.scenarios.world import World
    from fulmarstile_wire.messages import AnyMessage

TICK_INTERVAL_S: Final = 0.1
"""Time between two ticks of the cores, in seconds."""

LEAVE_FLUSH_S: Final = 0.3
"""Time for which links stay open after the daemon has announced its stop, in seconds."""


class VirtualDaemon:
    """Executes the effects of a daemon's core in virtual time.

    Args:
        world: Simulated environment of the daemon.
        core: The decision core.
        clock_offset_s: Reading of the daemon's monotonic clock at virtual time 0, in seconds.
        random: Source of the random choices of the call cores.
    """

    def __init__(
        self, world: World, core: DaemonCore, clock_offset_s: float, random: Random
    ) -> None:
        self._world = world
        self._core = core
        self._clock_offset_s = clock_offset_s
        self._record = core.membership.record
        self._is_running = False
        self._is_paused = False
        self._deferred: list[Callable[[], None]] = []
        self._recorded_documents: dict[str, CompiledDocument] = {}
        self._on_stopped: Callable[[], None] | None = None
        self.claims = ClaimResults()
        """Calls that wait for the result of a claim."""
        self.entry = EntryProxy(world, self, random)
        """Proxy for the callers that are connected to the daemon."""
        self.guard = UpstreamGuard(world, self, world.service_of(self.daemon_id))
        """Guard of the upstream beside the daemon."""

    @property
    def core(self) -> DaemonCore:
        """The decision core."""
        return self._core

    @property
    def daemon_id(self) -> str:
        """Name of the daemon."""
        return self._record.daemon_id

    @property
    def address(self) -> str:
        """Address of the listener for messages."""
        return self._record.peer_address

    @property
    def availability_zone(self) -> str:
        """Availability zone of the daemon."""
        return self._record.availability_zone

    @property
    def is_running(self) -> bool:
        """Whether the process exists, paused or not."""
        return self._is_running

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return self._is_paused

    @property
    def now(self) -> float:
        """The daemon's monotonic clock, in seconds."""
        return self._world.clock.now + self._clock_offset_s

    def start(self) -> None:
        """Opens the listener and starts the ticks."""
        self._is_running = True
        self._world.links.attach(self.address, self._receive)
        self.execute_effects(self._core.start(self.now))
        self._world.clock.call_later(
            TICK_INTERVAL_S * self._world.random.random(), self._tick_and_reschedule
        )

    def end(self) -> None:
        """Ends the process at once."""
        self._is_running = False
        self._is_paused = False
        self._deferred.clear()
        self._world.links.detach(self.address)

    def pause(self) -> None:
        """Pauses the process; its input is queued."""
        self._is_paused = True

    def resume(self) -> None:
        """Resumes the process and handles the queued input."""
        self._is_paused = False
        deferred, self._deferred = self._deferred, []
        for callback in deferred:
            self.run(callback)

    def begin_stop(self, on_stopped: Callable[[], None]) -> None:
        """Begins a planned stop.

        Args:
            on_stopped: Is called when the process may end.
        """
        self.run(lambda: self._begin_stop(on_stopped))

    def on_announcement(self, *, is_draining: bool) -> None:
        """Handles an announcement of the upstream beside the daemon."""
        self.run(lambda: self.guard.on_announcement(is_draining=is_draining, now=self.now))

    def run(self, callback: Callable[[], None]) -> None:
        """Runs a callback in the process: now, after its pause, or never if the process ended.

        Args:
            callback: What to run.
        """
        if not self._is_running:
            return
        if self._is_paused:
            self._deferred.append(callback)
            return
        callback()

    def execute_effects(self, effects: Iterable[Effect]) -> None:
        """Executes effects of the core, and records tables that were put in force.

        Args:
            effects: The effects.
        """
        for effect in self._core.apply_local_effects(effects, self.now):
            match effect:
                case Send(address, message):
                    self._send(address, message)
                case Disconnect(address):
                    self._world.links.disconnect(self.address, address)
                case ReadLog():
                    self._read_log(effect)
                case AppendLog(stream, payload):
                    self._append_log(stream, payload)
                case _ if isinstance(effect, CLAIM_RESULTS):
                    self.claims.on_result(effect)
        self._record_tables()
        self.entry.refresh_endpoints(self.now)

    def _receive(self, frame: bytes) -> None:
        self.run(lambda: self._handle_frame(frame))

    def _handle_frame(self, frame: bytes) -> None:
        message = decode_message(frame)
        self.execute_effects(self._core.on_message(message, self.now))

    def _tick_and_reschedule(self) -> None:
        if not self._is_running:
            return
        if not self._is_paused:
            self._tick(self.now)
        self._world.clock.call_later(TICK_INTERVAL_S, self._tick_and_reschedule)

    def _tick(self, now: float) -> None:
        self.execute_effects(self._core.on_tick(now))
        self.guard.on_tick(now)
        self._advance_stop(now)

    def _begin_stop(self, on_stopped: Callable[[], None]) -> None:
        if self._on_stopped is not None:
            return
        self._on_stopped = on_stopped
        self._world.record(UpstreamLeaving(self.daemon_id))
        self.entry.drain.begin(self.now)
        self.guard.begin_draining(self.now)
        self.execute_effects(self._core.begin_leaving(self.now))

    def _advance_stop(self, now: float) -> None:
        drain = self.entry.drain
        if self._on_stopped is None or drain.is_finished:
            return
        drain.on_tick(self.entry.in_flight + self.guard.in_flight, now)
        if drain.is_finished:
            self.execute_effects(self._core.leave(now))
            self._world.clock.call_later(LEAVE_FLUSH_S, self._finish_stop)

    def _finish_stop(self) -> None:
        if self._is_running and self._on_stopped is not None:
            self._on_stopped()

    def _send(self, address: str, message: AnyMessage) -> None:
        frame = encode_message(message)
        self._world.record_message(self.address, address, frame)
        self._world.links.send(self.address, address, frame)

    def _read_log(self, effect: ReadLog) -> None:
        stream = effect.stream

        def on_page(page: LogPage) -> None:
            if self._world.is_cut_from_log(self.daemon_id):
                on_failure()
                return
            self.run(lambda: self.execute_effects(self._core.on_log_page(stream, page, self.now)))

        def on_failure() -> None:
            self.run(lambda: self.execute_effects(self._core.on_log_failure(stream, self.now)))

        if self._world.is_cut_from_log(self.daemon_id):
            self._world.clock.call_later(self._world.connect_timeout_s, on_failure)
            return
        self._world.log.read(stream, effect.offset, effect.wait_s, on_page, on_failure)

    def _append_log(self, stream: str, payload: bytes) -> None:
        def on_done(offset: int) -> None:
            self.run(
                lambda: self.execute_effects(self._core.on_append_done(stream, offset, self.now))
            )

        def on_failure(verdict: Verdict) -> None:
            self.run(lambda: self._handle_append_failure(stream, verdict))

        if self._world.is_cut_from_log(self.daemon_id):
            self._world.clock.call_later(
                self._world.connect_timeout_s, lambda: on_failure(Verdict.NOT_RUN)
            )
            return
        self._world.log.append(stream, payload, on_done, on_failure)

    def _handle_append_failure(self, stream: str, verdict: Verdict) -> None:
        self.execute_effects(self._core.on_append_failure(stream, verdict, self.now))

    def _record_tables(self) -> None:
        for customer, compiled in self._core.routing_table.documents.items():
            if self._recorded_documents.get(customer) is not compiled:
                self._recorded_documents[customer] = compiled
                self._world.record(_describe_table(self.daemon_id, compiled))


def _describe_table(daemon_id: str, compiled: CompiledDocument) -> TableApplied:
    return TableApplied(
        daemon=daemon_id,
        customer=compiled.customer,
        version=compiled.version,
        content=digest_document(compiled.document),
        routes=tuple(
            RouteInForce(entry.route.name, entry.pool.name, entry.pool.service)
            for entry in compiled.routes
        ),
        pools=tuple(pool.name for pool in compiled.document.pools),
        services=tuple(service.name for service in compiled.document.services),
    )
