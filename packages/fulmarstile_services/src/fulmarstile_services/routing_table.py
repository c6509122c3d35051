"""Immutable routing table of one document."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_services.document import DocumentError

if TYPE_CHECKING:
    from fulmarstile_services.document import ServiceDocument, ServiceRoute


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

    def _add(self, route: ServiceRoute) -> None:
        prefixes = self._hosts.setdefault(normalize_host(route.host), {})
        if route.prefix in prefixes:
            raise DocumentError(f"two routes of {route.host} have the prefix {route.prefix}")
        for part in route.parts:
            if part.service not in self._document.services:
                raise DocumentError(f"route {route.host}{route.prefix}: no service {part.service}")
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
