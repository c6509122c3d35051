"""Runs one scenario with one seed."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Final

from fulmarstile_testing.scenarios import model
from fulmarstile_testing.scenarios.checkers import CheckerSet
from fulmarstile_testing.scenarios.expectations import Expectations
from fulmarstile_testing.scenarios.trace import (
    DaemonKilled,
    DaemonPaused,
    DaemonResumed,
    LogForgot,
    StopBegan,
    StopEnded,
    Trace,
)
from fulmarstile_testing.scenarios.world import World

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_testing.scenarios.virtual_daemon import VirtualDaemon

START_INTERVAL_S: Final = 0.01
"""Time between the starts of two daemons of one group, in seconds."""


@dataclass(frozen=True, slots=True)
class RunResult:
    """Outcome of a run."""

    trace: Trace
    failure: Exception | None
    """Broken promise, failed expectation or error raised by a core, or None."""


def run_scenario(scenario: model.Scenario, seed: int) -> RunResult:
    """Runs a scenario in virtual time, watched by all checkers.

    Args:
        scenario: The scenario.
        seed: Seed of all random choices; the same one gives the same trace.

    Returns:
        The trace and the first failure.
    """
    trace = Trace()
    checkers = CheckerSet()
    trace.add_listener(checkers.on_event)
    try:
        driver = ScenarioDriver(scenario, seed, trace)
        driver.run()
        checkers.on_end(scenario.end_s)
    except Exception as error:
        return RunResult(trace, error)
    return RunResult(trace, None)


class ScenarioDriver:
    """Carries out the steps of a scenario.

    Args:
        scenario: The scenario.
        seed: Seed of all random choices.
        trace: Records the events.
    """

    def __init__(self, scenario: model.Scenario, seed: int, trace: Trace) -> None:
        self._scenario = scenario
        self._expectations = Expectations()
        trace.add_listener(self._expectations.on_event)
        self._world = World(scenario, seed, trace)

    @property
    def world(self) -> World:
        """Simulated environment of the daemons."""
        return self._world

    def run(self) -> None:
        """Runs the scenario to its end.

        Raises:
            FulmarstileError: If a promise is broken or an expectation fails.
        """
        clock = self._world.clock
        for step in self._scenario.steps:
            clock.call_at(step.at_s, lambda action=step.action: self._perform(action))
        self._start(self._scenario.daemon_ids)
        for traffic in self._scenario.traffic:
            self._world.callers.schedule(traffic)
        clock.run_until(self._scenario.end_s)

    def _select(self, target: model.Target) -> list[str]:
        daemons = self._world.select_daemons(target.name)
        count = round(len(daemons) * target.percent / 100)
        if count >= len(daemons):
            return list(daemons)
        return sorted(self._world.random.sample(daemons, count))

    def _select_running(self, target: model.Target) -> list[VirtualDaemon]:
        running = self._world.daemons
        return [running[name] for name in self._select(target) if name in running]

    def _addresses(self, target: model.Target) -> frozenset[str]:
        names = self._world.select_daemons(target.name)
        return frozenset(self._world.address_of(name) for name in names)

    def _start(self, daemons: tuple[str, ...] | list[str]) -> None:
        for index, daemon_id in enumerate(daemons):
            self._world.clock.call_later(
                index * START_INTERVAL_S, lambda name=daemon_id: self._start_if_not_running(name)
            )

    def _start_if_not_running(self, daemon_id: str) -> None:
        if daemon_id not in self._world.daemons:
            self._world.start_daemon(daemon_id)

    def _schedule_end(self, duration_s: float, end: Callable[[], None]) -> None:
        self._world.clock.call_later(duration_s, end)

    @singledispatchmethod
    def _perform(self, action: model.Action) -> None:
        raise NotImplementedError(type(action).__name__)

    @_perform.register
    def _publish(self, action: model.Publish) -> None:
        fold = self._world.reference.fold(action.customer)
        publisher = self._world.publishers[action.customer]
        publisher.publish(action.kind, fold)
        self._expectations.publication_id = publisher.last_publication_id

    @_perform.register
    def _kill(self, action: model.Kill) -> None:
        for daemon in self._select_running(action.target):
            self._world.record(DaemonKilled(daemon.daemon_id))
            self._world.end_daemon(daemon)

    @_perform.register
    def _start_target(self, action: model.Start) -> None:
        self._start(self._select(action.target))

    @_perform.register
    def _stop(self, action: model.Stop) -> None:
        for daemon in self._select_running(action.target):
            self._world.record(StopBegan(daemon.daemon_id))
            daemon.begin_stop(lambda daemon=daemon: self._end_stop(daemon))

    def _end_stop(self, daemon: VirtualDaemon) -> None:
        self._world.record(StopEnded(daemon.daemon_id))
        self._world.end_daemon(daemon)

    @_perform.register
    def _pause(self, action: model.Pause) -> None:
        for daemon in self._select_running(action.target):
            if daemon.is_paused:
                continue
            self._world.record(DaemonPaused(daemon.daemon_id))
            daemon.pause()
            self._schedule_end(action.duration_s, lambda daemon=daemon: self._resume(daemon))
        self._world.update_isolation()

    def _resume(self, daemon: VirtualDaemon) -> None:
        if not daemon.is_paused:
            return
        self._world.record(DaemonResumed(daemon.daemon_id))
        daemon.resume()
        self._world.update_isolation()

    @_perform.register
    def _silence_link(self, action: model.SilenceLink) -> None:
        first = self._world.address_of(action.first)
        self._world.links.silence(first, self._world.address_of(action.second))
        self._world.call_links.silence(action.first, action.second)

    @_perform.register
    def _partition(self, action: model.Partition) -> None:
        links = self._world.links
        second = self._addresses(action.second)
        first = self._addresses(action.first) - second
        links.block(first, second)
        self._world.update_isolation()

        def end() -> None:
            links.unblock(first, second)
            self._world.update_isolation()

        self._schedule_end(action.duration_s, end)

    @_perform.register
    def _cut_log(self, action: model.CutLog) -> None:
        group = frozenset(self._select(action.target))
        self._world.cut_from_log(group)
        self._schedule_end(action.duration_s, lambda: self._world.reconnect_to_log(group))

    @_perform.register
    def _lose_messages(self, action: model.LoseMessages) -> None:
        faults = self._world.links.faults
        faults.loss = action.percent / 100
        self._schedule_end(action.duration_s, lambda: setattr(faults, "loss", 0.0))

    @_perform.register
    def _cross_messages(self, action: model.CrossMessages) -> None:
        faults = self._world.links.faults
        faults.is_reordering = True
        self._schedule_end(action.duration_s, lambda: setattr(faults, "is_reordering", False))

    @_perform.register
    def _log_outage(self, action: model.LogOutage) -> None:
        self._world.log.begin_outage()
        self._world.update_isolation()

        def end() -> None:
            self._world.log.end_outage()
            self._world.update_isolation()

        self._schedule_end(action.duration_s, end)

    @_perform.register
    def _log_slow(self, action: model.LogSlow) -> None:
        switches = self._world.log.switches
        switches.delay_ms = round(action.delay_s * 1000)
        self._world.update_isolation()

        def end() -> None:
            switches.delay_ms = 0
            self._world.update_isolation()

        self._schedule_end(action.duration_s, end)

    @_perform.register
    def _log_loses_answers(self, action: model.LogLosesAnswers) -> None:
        self._world.log.switches.lose_next_answers += action.count

    @_perform.register
    def _log_forgets(self, action: model.LogForgets) -> None:
        self._world.record(LogForgot())
        self._world.forget_log()

    @_perform.register
    def _log_keeps(self, action: model.LogKeeps) -> None:
        self._world.log.switches.retention_s = action.retention_s

    @_perform.register
    def _crash_upstream(self, action: model.CrashUpstream) -> None:
        self._world.upstreams[action.daemon_id].crash(action.duration_s)

    @_perform.register
    def _slow_upstream(self, action: model.SlowUpstream) -> None:
        upstream = self._world.upstreams[action.daemon_id]
        upstream.delay_s = action.delay_s
        self._schedule_end(action.duration_s, lambda: setattr(upstream, "delay_s", 0.0))

    @_perform.register
    def _lying_upstream(self, action: model.LyingUpstream) -> None:
        upstream = self._world.upstreams[action.daemon_id]
        upstream.is_failing_requests = True
        self._schedule_end(
            action.duration_s, lambda: setattr(upstream, "is_failing_requests", False)
        )

    @_perform.register
    def _drain_upstream(self, action: model.DrainUpstream) -> None:
        self._world.upstreams[action.daemon_id].begin_draining()

    @_perform.register
    def _ready_upstream(self, action: model.ReadyUpstream) -> None:
        self._world.upstreams[action.daemon_id].end_draining()

    @_perform.register
    def _poison_request(self, action: model.PoisonRequest) -> None:
        self._world.callers.send_poison(action.service)

    @_perform.register
    def _expect_in_force(self, action: model.ExpectInForce) -> None:
        self._expectations.check_in_force(action.customer)

    @_perform.register
    def _expect_publication(self, action: model.ExpectPublication) -> None:
        self._expectations.check_publication(action.verdict)

    @_perform.register
    def _expect_answered(self, action: model.ExpectAnswered) -> None:
        self._expectations.check_answered(action.percent)

    @_perform.register
    def _expect_crashes(self, action: model.ExpectCrashes) -> None:
        self._expectations.check_crashes(action.limit)

    @_perform.register
    def _expect_no_call_cut(self, action: model.ExpectNoCallCut) -> None:
        self._expectations.check_no_call_cut()
