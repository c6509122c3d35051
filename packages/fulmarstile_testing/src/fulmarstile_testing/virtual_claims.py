"""Fleet of claim cores in virtual time, with faults of network, log and processes."""

from __future__ import annotations

import functools
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fulmarstile_calls.claims import (
    ClaimFailed,
    ClaimLost,
    ClaimRequester,
    ClaimSettings,
    ClaimWon,
    ShardBatchers,
)
from fulmarstile_mesh.effects import AppendLog, ReadLog, Send
from fulmarstile_testing.builders.calls import EPOCH_MS, make_key, make_member
from fulmarstile_testing.virtual_log import LogFaults, VirtualLog
from fulmarstile_testing.virtual_time import VirtualTime
from fulmarstile_wire.messages import ClaimReply, ClaimRequest, OutcomeReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarstile_calls.request import CallRefusal
    from fulmarstile_mesh.effects import Effect
    from fulmarstile_wire.messages import AnyMessage


@dataclass(slots=True)
class NetworkFaults:
    """How messages between daemons fail."""

    lost: float = 0.0
    """Share of messages that are lost."""
    repeated: float = 0.0
    """Share of messages that arrive twice."""
    latency_s: float = 0.002
    """Mean latency, in seconds."""
    late: float = 0.0
    """Share of messages that arrive up to `late_s` late."""
    late_s: float = 3.0


@dataclass(slots=True)
class ClaimCall:
    """One call of a caller and what became of it."""

    key: str
    claim_id: str = ""
    daemon_id: str = ""
    runs: int = 0
    """How often an upstream ran the request of this call."""
    won_at: float | None = None
    finished_at: float | None = None
    refusal: CallRefusal | None = None
    stored_status: int = 0
    """Status of the stored answer that the caller got instead of a run."""


@dataclass(slots=True)
class ClaimFleet:
    """Daemons, their log and network, and the callers of one route.

    Args:
        seed: Seed of all randomness.
        daemon_count: Number of daemons.
        settings: Settings of the cores.
        requester_type: Class of the requesters.
    """

    seed: int
    daemon_count: int = 4
    settings: ClaimSettings = field(default_factory=ClaimSettings)
    requester_type: type[ClaimRequester] = ClaimRequester
    network: NetworkFaults = field(default_factory=NetworkFaults)
    log_faults: LogFaults = field(default_factory=LogFaults)
    run_s: float = 0.02
    """Mean duration of a request at the upstream, in seconds."""
    unknown: float = 0.0
    """Share of requests that run without a whole answer."""
    not_run: float = 0.0
    """Share of requests that the upstream refuses before running them."""
    time: VirtualTime = field(init=False, default_factory=VirtualTime)
    random: random.Random = field(init=False)
    log: VirtualLog = field(init=False)
    daemons: dict[str, VirtualDaemon] = field(init=False, default_factory=dict)
    calls: list[ClaimCall] = field(init=False, default_factory=list)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.log = VirtualLog(self.time, self.random, self.log_faults)
        for number in range(self.daemon_count):
            daemon_id = f"daemon-{number}"
            self.daemons[daemon_id] = VirtualDaemon(self, daemon_id)
        self.share_members()

    @property
    def runs_by_key(self) -> Counter[str]:
        """How often each key's request ran."""
        runs: Counter[str] = Counter()
        for call in self.calls:
            runs[call.key] += call.runs
        return runs

    def wall_clock_ms(self) -> int:
        """Returns the time of day."""
        return EPOCH_MS + int(self.time.now * 1000)

    def make_key(self) -> str:
        """Returns a key made now."""
        return make_key(self.random, self.wall_clock_ms())

    def share_members(self, daemon_ids: Iterable[str] = (), *, hidden: Iterable[str] = ()) -> None:
        """Tells daemons about the running ones, except about those that are hidden."""
        unseen = set(hidden)
        members = [
            make_member(daemon.daemon_id)
            for daemon in self.daemons.values()
            if daemon.is_running and daemon.daemon_id not in unseen
        ]
        for daemon_id in tuple(daemon_ids) or tuple(self.daemons):
            self.daemons[daemon_id].replace_members(members)

    def call(
        self, daemon_id: str, key: str, *, deadline_s: float = 5.0, body: bytes = b"body"
    ) -> ClaimCall:
        """Makes a call with a key at a daemon, now."""
        call = ClaimCall(key, daemon_id=daemon_id)
        self.calls.append(call)
        self.daemons[daemon_id].start_call(call, deadline_s, body)
        return call

    def send(self, address: str, message: AnyMessage) -> None:
        """Carries a message with the network's faults."""
        copies = 0 if self.random.random() < self.network.lost else 1
        if self.random.random() < self.network.repeated:
            copies += 1
        for _ in range(copies):
            delay_s = self.random.expovariate(1 / self.network.latency_s)
            if self.random.random() < self.network.late:
                delay_s += self.random.random() * self.network.late_s
            daemon = self.daemons.get(address.partition(":")[0])
            if daemon is not None:
                receive = functools.partial(daemon.receive, message)
                self.time.call_later(delay_s, receive)

    def run(self, duration_s: float) -> None:
        """Lets virtual time pass."""
        self.time.run_until(self.time.now + duration_s)


class VirtualDaemon:
    """Claim cores of one daemon with the shell's part done in virtual time."""

    def __init__(self, fleet: ClaimFleet, daemon_id: str) -> None:
        self.daemon_id = daemon_id
        self.is_running = False
        self._fleet = fleet
        self._incarnation = 0
        self._paused_until = 0.0
        self._calls: dict[str, ClaimCall] = {}
        self._wake_at = float("inf")
        self.start()

    def start(self) -> None:
        """Starts a new process with nothing remembered."""
        self._incarnation += 1
        self.is_running = True
        self._paused_until = 0.0
        self._wake_at = float("inf")
        self._calls = {}
        settings = self._fleet.settings
        address = f"{self.daemon_id}:7000"
        self.requester = self._fleet.requester_type(
            settings, self.daemon_id, address, self._incarnation
        )
        self.batchers = ShardBatchers(settings, self.daemon_id, address)
        self._schedule_tick()

    def kill(self) -> None:
        """Ends the process at once."""
        self.is_running = False
        self._incarnation += 1

    def pause(self, duration_s: float) -> None:
        """Stops the process for a time; what it is sent waits."""
        self._paused_until = self._fleet.time.now + duration_s

    def replace_members(self, members: list) -> None:
        """Takes in a membership view."""
        if not self.is_running:
            return
        now = self._fleet.time.now
        self.requester.replace_members(members, now)
        self._perform(self.batchers.replace_members(members, now))

    def start_call(self, call: ClaimCall, deadline_s: float, body: bytes) -> None:
        """Claims a call's key."""
        now = self._fleet.time.now
        started = self.requester.claim(
            "laundry",
            call.key,
            body.ljust(16)[:16],
            now,
            wall_clock_ms=self._fleet.wall_clock_ms(),
            deadline_s=now + deadline_s,
        )
        call.claim_id = started.claim_id
        self._calls[started.claim_id] = call
        self._perform(started.effects)

    def receive(self, message: AnyMessage) -> None:
        """Takes a message."""
        self._resume(functools.partial(self._receive_now, message))()

    def _receive_now(self, message: AnyMessage) -> None:
        now = self._fleet.time.now
        if isinstance(message, ClaimRequest):
            self._perform(self.batchers.on_claim_request(message, now))
        elif isinstance(message, OutcomeReport):
            self._perform(self.batchers.on_outcome_report(message, now))
        elif isinstance(message, ClaimReply):
            self._perform(self.requester.on_claim_reply(message, now))

    def _resume(self, action: Callable[..., None]) -> Callable[..., None]:
        """Wraps an action of this process: it waits during a pause and ends with the process."""
        incarnation = self._incarnation

        def guarded(*args: object) -> None:
            if not self.is_running or incarnation != self._incarnation:
                return
            if self._fleet.time.now < self._paused_until:
                self._fleet.time.call_at(self._paused_until, lambda: guarded(*args))
                return
            action(*args)

        return guarded

    def _schedule_tick(self) -> None:
        self._fleet.time.call_later(0.05, self._resume(self._tick))

    def _tick(self) -> None:
        now = self._fleet.time.now
        self._perform(self.requester.on_tick(now))
        self._perform(self.batchers.on_tick(now))
        self._schedule_tick()

    def _schedule_append(self) -> None:
        due_at = self.batchers.due_at
        if due_at is None or due_at >= self._wake_at:
            return
        self._wake_at = due_at
        self._fleet.time.call_at(due_at, self._resume(self._wake))

    def _wake(self) -> None:
        self._wake_at = float("inf")
        self._perform(self.batchers.on_tick(self._fleet.time.now))

    def _perform(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._fleet.send(effect.address, effect.message)
            elif isinstance(effect, AppendLog):
                self._append(effect)
            elif isinstance(effect, ReadLog):
                self._read(effect)
            elif isinstance(effect, ClaimWon):
                self._begin_run(self._calls[effect.claim_id])
            elif isinstance(effect, ClaimLost):
                call = self._calls[effect.claim_id]
                call.finished_at = self._fleet.time.now
                call.refusal = effect.refusal
                call.stored_status = effect.outcome.status if effect.outcome else 0
            elif isinstance(effect, ClaimFailed):
                call = self._calls[effect.claim_id]
                call.finished_at = self._fleet.time.now
                call.refusal = effect.refusal
        self._schedule_append()

    def _append(self, effect: AppendLog) -> None:
        stream = effect.stream

        def on_done(offset: int) -> None:
            self._perform(self.batchers.on_append_done(stream, offset, self._fleet.time.now))

        def on_failure(verdict: object) -> None:
            self._perform(self.batchers.on_append_failure(stream, verdict, self._fleet.time.now))

        self._fleet.log.append(
            stream, effect.payload, self._resume(on_done), self._resume(on_failure)
        )

    def _read(self, effect: ReadLog) -> None:
        stream = effect.stream

        def on_page(page: object) -> None:
            self._perform(self.batchers.on_log_page(stream, page, self._fleet.time.now))

        def on_failure() -> None:
            self._perform(self.batchers.on_log_failure(stream, self._fleet.time.now))

        self._fleet.log.read(
            stream, effect.offset, effect.wait_s, self._resume(on_page), self._resume(on_failure)
        )

    def _begin_run(self, call: ClaimCall) -> None:
        fleet = self._fleet
        call.won_at = fleet.time.now
        if not self.requester.may_run(call.claim_id, fleet.time.now):
            self._perform(self.requester.release(call.claim_id, fleet.time.now))
            return
        if fleet.random.random() < fleet.not_run:
            self._perform(self.requester.release(call.claim_id, fleet.time.now))
            return
        call.runs += 1
        delay_s = fleet.random.expovariate(1 / fleet.run_s)
        fleet.time.call_later(delay_s, self._resume(lambda: self._end_run(call)))

    def _end_run(self, call: ClaimCall) -> None:
        now = self._fleet.time.now
        call.finished_at = now
        if self._fleet.random.random() < self._fleet.unknown:
            self._perform(self.requester.finish_unknown(call.claim_id, now))
            return
        effects = self.requester.finish(call.claim_id, 201, "text/plain", b"reserved", now)
        self._perform(effects)
