"""Immutable routing table compiled from a document."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_config.document import Limit, Pool, Priority, RetryRule, Route


@dataclass(frozen=True, slots=True)
class CompiledRoute:
    """A route with everything it names resolved."""

    customer: str
    route: Route
    pool: Pool
    limit: Limit | None
    retry: RetryRule | None
    priority: Priority
    methods: frozenset[str]
    """Methods matched; empty for all."""
    version: int
    """Version of the document that the route comes from."""
