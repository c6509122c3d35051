"""Model of a customer's configuration document.

A document consists of sections. A section has a kind and an optional name, and its
identifier is `kind` or `kind.name` (`routes`, `routes.booking`). Its body is a YAML
mapping with one key, the kind, whose value is a list of items.
"""

from __future__ import annotations

import enum

import msgspec

from fulmarstile_wire.priority import Priority

__all__ = [
    "Document",
    "Limit",
    "Pool",
    "Priority",
    "RetryRule",
    "Route",
    "SectionKind",
    "Service",
    "Team",
]


class SectionKind(enum.Enum):
    """What a section configures."""

    TEAMS = "teams"
    SERVICES = "services"
    POOLS = "pools"
    LIMITS = "limits"
    RETRIES = "retries"
    ROUTES = "routes"


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team, its public key and the sections it owns."""

    name: str
    public_key: str
    """Ed25519 public key, base64."""
    sections: tuple[str, ...]
    """Section identifiers that the team may publish."""


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service that upstreams can announce themselves for."""

    name: str


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The upstreams of one service as a target of routes, and how calls are balanced over them."""

    name: str
    service: str
    prefer_availability_zone: bool = True
    """Whether upstreams in the caller's availability zone are preferred while they have free
    capacity."""
    slow_start_ms: int = 0
    """Time over which a new upstream's share of calls grows to its full weight."""


class Limit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rate limit on a customer's calls, and the customer's share of upstreams."""

    name: str
    calls_per_s: float
    burst: int
    weight: float = 1.0
    """Share of an upstream's slots relative to other customers."""


class RetryRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How often a call is retried, and when it is hedged."""

    name: str
    attempts: int = 1
    """Maximum number of attempts, including the first."""
    budget_percent: float = 10.0
    """Retries allowed per 100 calls."""
    hedge_after_ms: int = 0
    """Delay before an idempotent call is sent to a second upstream; 0 disables hedging."""


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Maps requests to a pool."""

    name: str
    path: str
    """Path prefix; the longest matching prefix wins."""
    pool: str
    methods: tuple[str, ...] = ()
    """Methods matched; empty for all."""
    limit: str = ""
    """Name of a limit; empty for none."""
    retry: str = ""
    """Name of a retry rule; empty for no retries."""
    priority: str = "normal"
    """One of `critical`, `high`, `normal` and `low`."""
    idempotent: bool = False
    """Whether a request may run more than once."""
    at_most_once: bool = False
    """Whether requests need an idempotency key and are claimed in the log before they run."""
    timeout_ms: int = 10_000


class Document(msgspec.Struct, frozen=True):
    """A customer's whole configuration: the items of all its sections."""

    teams: tuple[Team, ...] = ()
    services: tuple[Service, ...] = ()
    pools: tuple[Pool, ...] = ()
    limits: tuple[Limit, ...] = ()
    retries: tuple[RetryRule, ...] = ()
    routes: tuple[Route, ...] = ()
