"""Messages by which daemons collect evidence about a roll-out and share its state."""

from __future__ import annotations

import enum

import msgspec


class RolloutPhase(enum.Enum):
    """How far a roll-out has come."""

    CANARY = "canary"
    """A share of the requests goes to the target version."""
    PROMOTED = "promoted"
    """All requests go to the target version; the other upstreams finish theirs."""
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"

    @property
    def is_final(self) -> bool:
        """Whether the phase never changes again."""
        return self in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)


class RouteEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one route that an upstream has run; all counts only grow."""

    route: str
    completed: int
    """Requests that ended, including those that failed and those cancelled while running."""
    failed: int
    """Failure responses, and responses that broke off or were invalid."""
    service_times: tuple[int, ...]
    """Histogram of the times from sending a request to its response, without the slot wait.

    The buckets are those of `fulmarstile_services.rollouts.histogram`; trailing zeros are left out.
    """


class UpstreamEvidence(msgspec.Struct, frozen=True, array_like=True):
    """What the daemon beside an upstream has counted since it saw the order."""

    daemon: str
    incarnation: int
    """Incarnation of the daemon."""
    upstream_id: str
    upstream_born_ms: int
    version: str
    """Version of the upstream's software."""
    age_ms: int = 0
    """Age of the order when this was counted, in milliseconds."""
    running: int = 0
    queued: int = 0
    routes: tuple[RouteEvidence, ...] = ()


class RolloutState(msgspec.Struct, frozen=True, array_like=True):
    """State of the roll-out of one order."""

    service: str
    order_offset: int
    """Offset of the operator's order in the store, which identifies it."""
    target_version: str
    duration_ms: int
    """Time from the order to its deadline, in milliseconds."""
    age_ms: int
    """Time since the order, in milliseconds."""
    phase: RolloutPhase
    share: float = 0.0
    """Fraction of the service's requests that goes to the target version."""
    canaries: tuple[str, ...] = ()
    """Names of the daemons beside the upstreams that receive this share."""
    promote_at_ms: int = 0
    """Age of the order at which all requests move to the target version; 0 if undecided."""
    reason: str = ""
    """Why the roll-out is in this phase."""
    is_recorded: bool = False
    """Whether the store has accepted the decision.

    A roll-back takes effect before; a completion does not.
    """


class RolloutReport(msgspec.Struct, frozen=True, array_like=True, tag="rollout"):
    """Evidence of a daemon, and what it knows of the roll-out's state."""

    sender: str
    service: str
    order_offset: int
    evidence: UpstreamEvidence | None = None
    """None if the daemon is not beside an upstream of the service."""
    state: RolloutState | None = None
    age_ms: int = 0
    """Time since the sender, or a daemon that it heard of, saw the order, in milliseconds."""
    seeks_state: bool = False
    """Whether the sender only asks for the state, so that the receiver need not evaluate."""


class RolloutReply(msgspec.Struct, frozen=True, array_like=True, tag="rollout"):
    """Answers a `RolloutReport`."""

    state: RolloutState | None = None
    """None if the replying daemon does not know the order."""
