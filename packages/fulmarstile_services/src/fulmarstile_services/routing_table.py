"""Immutable routing table of one document."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_services.document import DocumentError

if TYPE_CHECKING:
    from fulmarstile_services.document import ServiceDocument, ServiceRoute

_SHORT_SHARE: Final = 0.5
"""Part of the longest target latency of a service and priority up to which one is short."""


class RoutingTable:
    """Finds the route of a request.

    Args:
        document: Document to compile.

    Raises:
        DocumentError: If two routes share a host and a prefix, or a part's service is unknown.
    """

    def __init__(self, document: ServiceDocument) -> None:
        self._document = document
        self._hosts: dict[str, dict[str, ServiceRoute]] = {}
        self._longest_targets: dict[tuple[str, int], float] = {}
        for route in document.routes:
            self._add(route)

    @property
    def document(self) -> ServiceDocument:
        """Document that the table was compiled from."""
        return self._document

    @property
    def version(self) -> int:
        """Version of the document."""
        return self._document.version

    def find(self, host: str, path: str) -> ServiceRoute | None:
        """Finds the route with the longest prefix of a path.

        Args:
            host: Host of the request; a port and the case of letters don't matter.
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
        """Returns the rank of a route's requests among those of its service.

        Requests whose target latency is much shorter than that of others with their priority
        go first; the others can wait for them and still be on time.

        Args:
            route: A route of the table.

        Returns:
            The rank; 0 goes first.
        """
        longest_s = max(
            self._longest_targets.get((part.service, route.priority), 0.0)
            for part in route.destinations
        )
        if route.target_latency_s <= longest_s * _SHORT_SHARE:
            return max(0, route.priority - 1)
        return route.priority

    def _add(self, route: ServiceRoute) -> None:
        prefixes = self._hosts.setdefault(normalize_host(route.host), {})
        if route.prefix in prefixes:
            raise DocumentError(f"two routes of {route.host} have the prefix {route.prefix}")
        for part in route.destinations:
            if part.service not in self._document.services:
                raise DocumentError(f"route {route.host}{route.prefix}: no service {part.service}")
            key = (part.service, route.priority)
            longest_s = self._longest_targets.get(key, 0.0)
            self._longest_targets[key] = max(longest_s, route.target_latency_s)
        prefixes[route.prefix] = route


def normalize_host(host: str) -> str:
    """Strips the port from a host and lowers its case.

    Args:
        host: Value of a `Host` header or of a route.

    Returns:
        The bare host.
    """
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.lower()
