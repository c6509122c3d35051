"""Immutable routing table compiled from the documents of all customers."""

from __future__ import annotations

from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TYPE_CHECKING

from fulmarstile_config.document import Priority

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarstile_config.document import Document, Limit, Pool, RetryRule, Route


@dataclass(frozen=True, slots=True)
class CompiledRoute:
    """A route with its references resolved."""

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


@dataclass(frozen=True, slots=True)
class CompiledDocument:
    """A customer's document with its routes indexed by path."""

    customer: str
    version: int
    document: Document
    routes: tuple[CompiledRoute, ...]
    routes_by_path: Mapping[str, tuple[CompiledRoute, ...]] = field(repr=False)
    """Routes of each path; those limited to some methods come first and so take precedence."""
    max_path_chars: int = 0
    """Length of the longest path of a route; longer request paths are cut before the look-up."""

    def match(self, method: str, path: str) -> CompiledRoute | None:
        """Returns the route with the longest path prefix that matches the method.

        Args:
            method: Method of the request, in upper case.
            path: Path of the request; a query is ignored.

        Returns:
            The route, or None.
        """
        prefix = path.partition("?")[0]
        if len(prefix) > self.max_path_chars:
            prefix = prefix[: self.max_path_chars + 1].rpartition("/")[0]
        while prefix:
            for compiled in self.routes_by_path.get(prefix, ()):
                if not compiled.methods or method in compiled.methods:
                    return compiled
            prefix = prefix.rpartition("/")[0]
        return self._match_root(method)

    def _match_root(self, method: str) -> CompiledRoute | None:
        for compiled in self.routes_by_path.get("/", ()):
            if not compiled.methods or method in compiled.methods:
                return compiled
        return None


def compile_document(customer: str, document: Document, version: int) -> CompiledDocument:
    """Resolves every reference of a valid document.

    Args:
        customer: Customer that the document belongs to.
        document: Valid document; each of its references resolves.
        version: Version of the document.

    Returns:
        The compiled document.
    """
    pools = {pool.name: pool for pool in document.pools}
    limits = {limit.name: limit for limit in document.limits}
    retries = {rule.name: rule for rule in document.retries}
    routes = tuple(
        CompiledRoute(
            customer=customer,
            route=route,
            pool=pools[route.pool],
            limit=limits[route.limit] if route.limit else None,
            retry=retries[route.retry] if route.retry else None,
            priority=Priority[route.priority.upper()],
            methods=frozenset(route.methods),
            version=version,
        )
        for route in document.routes
    )
    max_path_chars = max((len(route.path) for route in document.routes), default=0)
    routes_by_path = _index_routes_by_path(routes)
    return CompiledDocument(customer, version, document, routes, routes_by_path, max_path_chars)


def _index_routes_by_path(
    routes: tuple[CompiledRoute, ...],
) -> Mapping[str, tuple[CompiledRoute, ...]]:
    routes_by_path: dict[str, list[CompiledRoute]] = {}
    for compiled in routes:
        routes_by_path.setdefault(compiled.route.path, []).append(compiled)
    return MappingProxyType(
        {
            path: tuple(sorted(compiled, key=lambda entry: not entry.methods))
            for path, compiled in routes_by_path.items()
        }
    )


class RoutingTable:
    """Immutable routes of all customers; a change makes a new table."""

    __slots__ = ("_documents",)

    def __init__(self, documents: Mapping[str, CompiledDocument] | None = None) -> None:
        self._documents = MappingProxyType(dict(documents or {}))

    @property
    def customers(self) -> tuple[str, ...]:
        """Customers in the table, sorted."""
        return tuple(sorted(self._documents))

    @property
    def versions(self) -> Mapping[str, int]:
        """Version of each customer's document."""
        return MappingProxyType(
            {customer: compiled.version for customer, compiled in self._documents.items()}
        )

    @property
    def documents(self) -> Mapping[str, CompiledDocument]:
        """Compiled document of each customer."""
        return self._documents

    def replace_customer(self, compiled: CompiledDocument) -> RoutingTable:
        """Returns a table with one customer's document replaced or added."""
        return RoutingTable({**self._documents, compiled.customer: compiled})

    def match(self, customer: str, method: str, path: str) -> CompiledRoute | None:
        """Returns the customer's route with the longest matching path prefix.

        Args:
            customer: Customer that the request names.
            method: Method of the request, in upper case.
            path: Path of the request; prefixes match whole segments, a query is ignored.

        Returns:
            The route, or None if no route matches.
        """
        compiled = self._documents.get(customer)
        return compiled.match(method, path) if compiled is not None else None
