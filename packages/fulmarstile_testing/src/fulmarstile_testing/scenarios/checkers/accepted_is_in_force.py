"""Promise: an accepted configuration is in force everywhere in seconds and never reverts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from fulmarstile_testing.scenarios.checkers.base import PromiseViolatedError
from fulmarstile_testing.scenarios.trace import (
    DaemonKilled,
    DaemonPaused,
    DaemonResumed,
    DaemonStarted,
    IsolationChanged,
    LogForgot,
    MemoryLost,
    PublicationDecided,
    StopBegan,
    TableApplied,
    TimePassed,
)

if TYPE_CHECKING:
    from fulmarstile_testing.scenarios.trace import TraceEvent

CONVERGENCE_LIMIT_S: Final = 13.0
"""Time in which an accepted version must be in force on every daemon, in seconds."""


@dataclass(slots=True)
class _Daemon:
    customers: tuple[str, ...]
    reachable_since: float
    is_paused: bool = False
    is_isolated: bool = False
    applied: dict[str, int] = field(default_factory=dict)


class AcceptedIsInForce:
    """Compares the versions in force with the accepted ones.

    The time limit runs from the acceptance, or from when the daemon last started, resumed or
    regained a path to the log.
    """

    def __init__(self) -> None:
        self._daemons: dict[str, _Daemon] = {}
        self._accepted: dict[str, list[tuple[float, int]]] = {}
        self._isolated: frozenset[str] = frozenset()

    def on_event(self, at: float, event: TraceEvent) -> None:
        """Handles an event."""
        match event:
            case DaemonStarted():
                self._on_started(at, event)
            case DaemonKilled() | StopBegan():
                self._daemons.pop(event.daemon, None)
            case DaemonPaused():
                self._set_paused(at, event.daemon, paused=True)
            case DaemonResumed():
                self._set_paused(at, event.daemon, paused=False)
            case IsolationChanged():
                self._on_isolation(at, event)
            case LogForgot():
                self._on_log_forgot()
            case MemoryLost():
                self._accepted.pop(event.customer, None)
            case PublicationDecided() if event.accepted:
                self._accepted.setdefault(event.customer, []).append((at, event.version))
            case TableApplied() if event.daemon in self._daemons:
                self._daemons[event.daemon].applied[event.customer] = event.version
            case TimePassed():
                self._check(at)

    def on_end(self, at: float) -> None:
        """Handles the end of the run."""
        self._check(at)

    def _on_started(self, at: float, event: DaemonStarted) -> None:
        daemon = _Daemon(event.customers, at)
        daemon.is_isolated = event.daemon in self._isolated
        self._daemons[event.daemon] = daemon

    def _set_paused(self, at: float, name: str, *, paused: bool) -> None:
        daemon = self._daemons.get(name)
        if daemon is not None:
            daemon.is_paused = paused
            daemon.reachable_since = at

    def _on_isolation(self, at: float, event: IsolationChanged) -> None:
        self._isolated = frozenset(event.isolated)
        for name, daemon in self._daemons.items():
            is_isolated = name in self._isolated
            if is_isolated != daemon.is_isolated:
                daemon.is_isolated = is_isolated
                daemon.reachable_since = at

    def _on_log_forgot(self) -> None:
        """Drops the versions that no daemon had in force: no copy of them is left."""
        for customer, versions in self._accepted.items():
            applied = [d.applied.get(customer, 0) for d in self._daemons.values()]
            highest = max(applied, default=0)
            self._accepted[customer] = [item for item in versions if item[1] <= highest]

    def _check(self, at: float) -> None:
        for customer, versions in sorted(self._accepted.items()):
            for accepted_at, version in versions:
                for name, daemon in sorted(self._daemons.items()):
                    self._check_daemon(at, name, daemon, customer, accepted_at, version)

    def _check_daemon(
        self,
        at: float,
        name: str,
        daemon: _Daemon,
        customer: str,
        accepted_at: float,
        version: int,
    ) -> None:
        if customer not in daemon.customers or daemon.is_paused or daemon.is_isolated:
            return
        deadline = max(accepted_at, daemon.reachable_since) + CONVERGENCE_LIMIT_S
        applied = daemon.applied.get(customer, 0)
        if applied < version and at > deadline:
            raise PromiseViolatedError(
                self,
                f"{name} has version {applied} of {customer} in force at {at:.3f} s;"
                f" version {version} was accepted at {accepted_at:.3f} s",
            )
