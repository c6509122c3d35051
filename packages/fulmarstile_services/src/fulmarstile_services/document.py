"""Model of the operator's configuration document: routes, services and request limits."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    from collections.abc import Mapping


class DocumentError(FulmarstileError):
    """A document is malformed or inconsistent."""


class Repeatability(enum.Enum):
    """Whether the requests of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


@dataclass(frozen=True, slots=True)
class WeightedDestination:
    """A service that a route sends requests to, with its weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class ServiceRoute:
    """Maps the requests of one host and path prefix to one or more services."""

    host: str
    prefix: str
    """Path prefix; starts and ends with a slash."""
    destinations: tuple[WeightedDestination, ...]
    repeatability: Repeatability
    timeout_s: float
    """Longest time from the arrival of a request to its answer, in seconds."""
    target_latency_s: float
    """Latency up to which an answer counts as on time, in seconds."""
    max_attempts: int
    """Maximum number of upstreams that one request is sent to."""
    priority: int
    """Priority among the requests of a service; 0 is the most urgent."""
    needs_key: bool = True
    """Whether callers must present a customer's key, if the document names customers."""

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeatability is Repeatability.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class ServiceDefinition:
    """A service that upstreams belong to."""

    name: str
    health_path: str
    connection_limit: int
    """Maximum number of connections that each upstream accepts."""


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer whose callers present one of its keys."""

    name: str
    key_digests: frozenset[bytes]
    """Digests of its keys; the keys themselves are not kept."""
    priority: int | None = None
    """Priority that replaces that of the route; None to keep the route's."""
    rate_per_s: float = 0.0
    """Requests per second that it may send to all daemons together; 0 for no limit."""
    burst: float = 0.0
    """Requests that it may send at once beyond this rate."""


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the size of callers' requests and on how long they may take to arrive."""

    head_bytes: int = 32 * 1024
    body_bytes: int = 16 * 1024 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    """Longest time that a connection stays open without a request, in seconds."""


@dataclass(frozen=True, slots=True)
class ServiceDocument:
    """One version of the configuration document."""

    version: int
    routes: tuple[ServiceRoute, ...]
    services: Mapping[str, ServiceDefinition] = field(default_factory=dict)
    limits: RequestLimits = RequestLimits()
    customers: tuple[Customer, ...] | None = None
    """Customers; None if callers present no keys."""
