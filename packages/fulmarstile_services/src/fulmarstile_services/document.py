"""Model of the operator's whole document: routes, services and limits of requests."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    from collections.abc import Mapping


class DocumentError(FulmarstileError):
    """A document cannot be read or contradicts itself."""


class Repeatability(enum.Enum):
    """How often the requests of a route may run."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


@dataclass(frozen=True, slots=True)
class WeightedDestination:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class ServiceRoute:
    """Sends the requests of one host and path prefix to one or more services."""

    host: str
    prefix: str
    """Path prefix; begins and ends with a slash."""
    destinations: tuple[WeightedDestination, ...]
    repeatability: Repeatability
    timeout_s: float
    """Longest time that a request is kept waiting, in seconds."""
    target_latency_s: float
    """Time within which an answer has its full value, in seconds."""
    max_attempts: int
    """Most upstreams that one request is sent to."""
    priority: int
    """Rank among the requests of a service; 0 is the most urgent."""

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
    """Connections that each upstream accepts."""


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a caller may send, and how long it may take."""

    head_bytes: int = 32 * 1024
    body_bytes: int = 16 * 1024 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    """Longest time that a connection stays open without a request, in seconds."""


@dataclass(frozen=True, slots=True)
class ServiceDocument:
    """A whole accepted version."""

    version: int
    routes: tuple[ServiceRoute, ...]
    services: Mapping[str, ServiceDefinition] = field(default_factory=dict)
    limits: RequestLimits = RequestLimits()
