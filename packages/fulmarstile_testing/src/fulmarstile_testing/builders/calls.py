"""Builders of test data for the call cores."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Final

from fulmarstile_calls.admission import AdmissionTicket
from fulmarstile_calls.request import UpstreamEndpoint
from fulmarstile_config.document import Limit, Pool, Priority, RetryRule, Route
from fulmarstile_config.routing_table import CompiledRoute
from fulmarstile_wire.records import MemberRecord, MemberStatus

if TYPE_CHECKING:
    import random

EPOCH_MS: Final = 1_800_000_000_000
"""Wall-clock time at virtual time 0, in milliseconds since the epoch."""

_KEY_RANDOM_BITS: Final = 74
_KEY_LOW_BITS: Final = 62


def make_key(random: random.Random, created_ms: int) -> str:
    """Returns an idempotency key (UUIDv7) created at a time in milliseconds since the epoch."""
    bits = random.getrandbits(_KEY_RANDOM_BITS)
    high = bits >> _KEY_LOW_BITS
    low = bits & ((1 << _KEY_LOW_BITS) - 1)
    value = created_ms << 80 | 7 << 76 | high << 64 | 0b10 << 62 | low
    return str(uuid.UUID(int=value))


def make_pool(
    service: str = "reservations", *, prefer_availability_zone: bool = True, slow_start_ms: int = 0
) -> Pool:
    """Returns a pool with the same name as its service."""
    return Pool(service, service, prefer_availability_zone, slow_start_ms)


def make_endpoint(
    number: int = 0,
    *,
    service: str = "reservations",
    availability_zone: str = "be-bru",
    slots: int = 10,
) -> UpstreamEndpoint:
    """Returns the endpoint of the upstream beside a numbered daemon."""
    return UpstreamEndpoint(
        f"daemon-{number:03}",
        f"10.0.0.{number}:8080",
        service,
        availability_zone,
        "be",
        slots,
        False,
    )


def make_route(
    *,
    customer: str = "laundry",
    name: str = "reserve",
    limit: Limit | None = None,
    retry: RetryRule | None = None,
    priority: Priority = Priority.NORMAL,
    idempotent: bool = False,
    at_most_once: bool = False,
) -> CompiledRoute:
    """Returns a compiled route to the reservations service."""
    route = Route(
        name,
        f"/{name}",
        "reservations",
        limit=limit.name if limit else "",
        retry=retry.name if retry else "",
        priority=priority.name.lower(),
        idempotent=idempotent,
        at_most_once=at_most_once,
    )
    return CompiledRoute(customer, route, make_pool(), limit, retry, priority, frozenset(), 1)


def make_ticket(
    ticket_id: int,
    *,
    customer: str = "laundry",
    priority: Priority = Priority.NORMAL,
    weight: float = 1.0,
    deadline_s: float = 1e9,
) -> AdmissionTicket:
    """Returns the admission ticket of a request that asks for a slot."""
    return AdmissionTicket(ticket_id, customer, priority, weight, deadline_s)


def make_member(
    daemon_id: str, *, incarnation: int = 1, status: MemberStatus = MemberStatus.ALIVE
) -> MemberRecord:
    """Returns the record of a daemon whose addresses are derived from its id."""
    return MemberRecord(
        daemon_id, incarnation, status, f"{daemon_id}:7000", f"{daemon_id}:8080", "be-bru", "be"
    )
