"""Builders of documents, member records and announcements for calls between services."""

from __future__ import annotations

from typing import Any

from fulmarstile_services.document import (
    Customer,
    Repeatability,
    ServiceDefinition,
    ServiceDocument,
    ServiceRoute,
    WeightedDestination,
)
from fulmarstile_services.identity import digest_key
from fulmarstile_services.upstream_registry import UpstreamAnnouncement, UpstreamPhase
from fulmarstile_wire.services import Member, MemberPhase, UpstreamNotice


def make_route(host: str = "shop.example", prefix: str = "/", **changes: Any) -> ServiceRoute:
    """Makes a route of the service `shop`, with some fields changed."""
    fields: dict[str, Any] = {
        "destinations": (WeightedDestination("shop", 1.0),),
        "repeatability": Repeatability.IDEMPOTENT,
        "timeout_s": 1.0,
        "target_latency_s": 0.4,
        "max_attempts": 2,
        "priority": 1,
    }
    return ServiceRoute(host, prefix, **(fields | changes))


def make_document(
    *routes: ServiceRoute,
    version: int = 1,
    services: tuple[str, ...] = ("shop", "stock"),
    customers: tuple[Customer, ...] | None = None,
) -> ServiceDocument:
    """Makes a document with routes and services."""
    definitions = {name: ServiceDefinition(name, "/health", 100) for name in services}
    return ServiceDocument(version, routes, definitions, customers=customers)


def make_customer(name: str = "baker", *keys: str, **changes: Any) -> Customer:
    """Makes a customer with keys, and with some fields changed."""
    return Customer(name, frozenset(digest_key(key.encode()) for key in keys), **changes)


def make_member(name: str = "daemon-1", **changes: Any) -> Member:
    """Makes the record of a daemon beside a serving upstream of `shop`."""
    fields: dict[str, Any] = {
        "address": f"{name}:7000",
        "availability_zone": "zone-a",
        "incarnation": 1_000,
        "phase": MemberPhase.SERVING,
        "service": "shop",
        "upstream_id": f"upstream-of-{name}",
        "upstream_born_ms": 500,
        "slots": 4,
    }
    return Member(name, **(fields | changes))


def make_announcement(**changes: Any) -> UpstreamAnnouncement:
    """Makes the first announcement of an upstream of `shop`."""
    fields: dict[str, Any] = {
        "upstream_id": "upstream-1",
        "born_ms": 1_000,
        "sequence": 1,
        "service": "shop",
        "slots": 4,
        "phase": UpstreamPhase.READY,
    }
    return UpstreamAnnouncement(**(fields | changes))


def make_notice(**changes: Any) -> UpstreamNotice:
    """Makes what `make_announcement`'s upstream says of itself, with some fields changed."""
    fields: dict[str, Any] = {
        "upstream_id": "upstream-1",
        "upstream_born_ms": 1_000,
        "dated_ms": 10,
    }
    return UpstreamNotice(**(fields | changes))
