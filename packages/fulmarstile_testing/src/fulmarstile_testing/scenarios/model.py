"""Parsed form of a scenario file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from fulmarstile_wire.errors import FulmarstileError

DEFAULT_RUN_S: Final = 0.02
"""Time for which an upstream runs a request, unless the scenario says otherwise."""


class ScenarioError(FulmarstileError):
    """A scenario file is malformed or uses a name that it does not declare."""


@dataclass(frozen=True, slots=True)
class AvailabilityZone:
    """An availability zone of a region."""

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class ServiceSetup:
    """A service and the daemons beside its upstreams, named `<service>-<number>`."""

    name: str
    customer: str
    upstreams: int
    slots: int
    run_s: float = DEFAULT_RUN_S

    @property
    def daemon_ids(self) -> tuple[str, ...]:
        """Daemons beside the upstreams."""
        return tuple(f"{self.name}-{number}" for number in range(1, self.upstreams + 1))


@dataclass(frozen=True, slots=True)
class Traffic:
    """Calls that arrive at a rate through daemons chosen at random."""

    start_s: float
    stop_s: float
    service: str
    calls_per_s: float
    reserve: bool
    """Whether the calls must run at most once and carry idempotency keys."""


@dataclass(frozen=True, slots=True)
class Target:
    """Daemons that a step applies to."""

    name: str = ""
    """A daemon, service, availability zone or region; empty for a share of all daemons."""
    percent: float = 100.0


class Action:
    """Base class of the actions of a step."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Publish(Action):
    """Append a publication to the log."""

    customer: str
    kind: str = ""
    """One of `broken`, `stale`, `forged`, `twice`, `racing`; empty for a valid one."""


@dataclass(frozen=True, slots=True)
class Kill(Action):
    """End daemons at once, with their connections."""

    target: Target


@dataclass(frozen=True, slots=True)
class Start(Action):
    """Start the daemons of the target that are not running."""

    target: Target


@dataclass(frozen=True, slots=True)
class Stop(Action):
    """Begin a planned stop of daemons."""

    target: Target


@dataclass(frozen=True, slots=True)
class Pause(Action):
    """Pause daemons for a time; their input is queued until they resume."""

    target: Target
    duration_s: float


@dataclass(frozen=True, slots=True)
class SilenceLink(Action):
    """Lose everything on the connections between two daemons until they are replaced."""

    first: str
    second: str


@dataclass(frozen=True, slots=True)
class Partition(Action):
    """Lose all messages between two groups of daemons for a time."""

    first: Target
    second: Target
    duration_s: float


@dataclass(frozen=True, slots=True)
class CutLog(Action):
    """Keep daemons from reaching the log for a time."""

    target: Target
    duration_s: float


@dataclass(frozen=True, slots=True)
class LoseMessages(Action):
    """Lose a share of the messages between daemons for a time."""

    percent: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class CrossMessages(Action):
    """Deliver messages between daemons late and out of order for a time."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class LogOutage(Action):
    """Fail every request to the log for a time."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class LogSlow(Action):
    """Delay every answer of the log for a time."""

    delay_s: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class LogLosesAnswers(Action):
    """Lose the answers to the next appends, which take effect."""

    count: int


@dataclass(frozen=True, slots=True)
class LogForgets(Action):
    """Empty the log; its offsets start at 0 again."""


@dataclass(frozen=True, slots=True)
class LogKeeps(Action):
    """Set the time for which the log keeps records."""

    retention_s: float


@dataclass(frozen=True, slots=True)
class CrashUpstream(Action):
    """End an upstream with its requests; it announces itself again after a time."""

    daemon_id: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class SlowUpstream(Action):
    """Add to the run time of an upstream's requests for a time."""

    daemon_id: str
    delay_s: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class LyingUpstream(Action):
    """Make an upstream fail its requests for a time while it reports no load and good health."""

    daemon_id: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class DrainUpstream(Action):
    """Make an upstream announce that it is leaving."""

    daemon_id: str


@dataclass(frozen=True, slots=True)
class ReadyUpstream(Action):
    """Make an upstream announce that it takes requests again."""

    daemon_id: str


@dataclass(frozen=True, slots=True)
class PoisonRequest(Action):
    """Send a request that crashes each upstream that runs it; its caller sends it again."""

    service: str


@dataclass(frozen=True, slots=True)
class ExpectInForce(Action):
    """Check that the newest accepted version is in force on every running daemon."""

    customer: str


@dataclass(frozen=True, slots=True)
class ExpectPublication(Action):
    """Check the verdict on the last publication."""

    verdict: str
    """One of `accepted`, `refused` and `conflicting`."""


@dataclass(frozen=True, slots=True)
class ExpectAnswered(Action):
    """Check the share of settled calls that were answered so far."""

    percent: float


@dataclass(frozen=True, slots=True)
class ExpectCrashes(Action):
    """Check the number of times that upstreams crashed so far."""

    limit: int


@dataclass(frozen=True, slots=True)
class ExpectNoCallCut(Action):
    """Check that each call so far was answered, or refused as not run."""


@dataclass(frozen=True, slots=True)
class Step:
    """An action and the virtual time at which it happens."""

    at_s: float
    action: Action


@dataclass(frozen=True, slots=True)
class Scenario:
    """A whole scenario file."""

    title: str
    availability_zones: tuple[AvailabilityZone, ...]
    customers: tuple[str, ...]
    services: tuple[ServiceSetup, ...]
    traffic: tuple[Traffic, ...]
    steps: tuple[Step, ...]
    """Sorted by time."""
    end_s: float

    @property
    def daemon_ids(self) -> tuple[str, ...]:
        """All daemons in the order in which they are declared."""
        return tuple(daemon for service in self.services for daemon in service.daemon_ids)
