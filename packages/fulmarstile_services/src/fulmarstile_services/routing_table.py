"""Immutable routing table of one configuration document."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Final

from fulmarstile_services.document import DocumentError
from fulmarstile_services.identity import CustomerIndex

if TYPE_CHECKING:
    from fulmarstile_services.document import ServiceDocument, ServiceRoute

_SHORT_TARGET_RATIO: Final = 0.5
"""Fraction of the longest target latency of a service and priority that still counts as short."""


class RoutingTable:
    """Finds the route of a request.

    Args:
        document: Document to build the table from.

    Raises:
        DocumentError: If two routes share a host and a prefix, a route names an unknown service, or
            the customers are inconsistent.
    """

    def __init__(self, document: ServiceDocument) -> None:
        self._document = document
        self._hosts: dict[str, dict[str, ServiceRoute]] = {}
        self._longest_targets: dict[tuple[str, int], float] = {}
        self._prioritized: dict[tuple[str, str, int], ServiceRoute] = {}
        for route in document.routes:
            self._add(route)
        customers = document.customers
        self.customers = None if customers is None else CustomerIndex(customers)
        """Customers by their keys; None if callers present no keys."""

    @property
    def document(self) -> ServiceDocument:
        """Document that the table was built from."""
        return self._document

    @property
    def version(self) -> int:
        """Version of the document."""
        return self._document.version

    def find(self, host: str, path: str) -> ServiceRoute | None:
        """Finds the route with the longest prefix that matches a path.

        Args:
            host: Host of the request; its port and case are ignored.
            path: Path of the request, without its query.

        Returns:
            The route, or None if none matches.
        """
        prefixes = self._hosts.get(normalize_host(host))
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def effective_priority(self, route: ServiceRoute) -> int:
        """Returns the priority of a route's requests among those of its service.

        Requests whose target latency is much shorter than that of others with the same priority
        go first; the others can wait for them and still be answered on time.

        Args:
            route: A route of the table.

        Returns:
            The priority; 0 is the most urgent.
        """
        longest_s = max(
            self._longest_targets.get((destination.service, route.priority), 0.0)
            for destination in route.destinations
        )
        if route.target_latency_s <= longest_s * _SHORT_TARGET_RATIO:
            return max(0, route.priority - 1)
        return route.priority

    def prioritize(self, route: ServiceRoute, priority: int) -> ServiceRoute:
        """Returns a route of the table with another priority.

        Args:
            route: A route of the table.
            priority: The priority; 0 is the most urgent.

        Returns:
            The changed route.
        """
        key = (route.host, route.prefix, priority)
        changed = self._prioritized.get(key)
        if changed is None:
            changed = self._prioritized[key] = dataclasses.replace(route, priority=priority)
        return changed

    def _add(self, route: ServiceRoute) -> None:
        prefixes = self._hosts.setdefault(normalize_host(route.host), {})
        if route.prefix in prefixes:
            raise DocumentError(f"two routes of host {route.host} have the prefix {route.prefix}")
        for destination in route.destinations:
            if destination.service not in self._document.services:
                raise DocumentError(
                    f"route {route.host}{route.prefix}: unknown service {destination.service}"
                )
            key = (destination.service, route.priority)
            longest_s = self._longest_targets.get(key, 0.0)
            self._longest_targets[key] = max(longest_s, route.target_latency_s)
        prefixes[route.prefix] = route


def normalize_host(host: str) -> str:
    """Removes what doesn't matter in a host: its port, its case and the dot behind a complete name.

    Args:
        host: Value of a `Host` header or of a route.

    Returns:
        The host name.
    """
    name, colon, port = host.rpartition(":")
    if colon and (not port or port.isdigit()):
        host = name
    return host.lower().removesuffix(".")
