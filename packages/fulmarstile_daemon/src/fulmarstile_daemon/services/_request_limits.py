"""Limits of callers' requests, and whether they may be those of an outdated document."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_services.document import RequestLimits

if TYPE_CHECKING:
    from fulmarstile_daemon.services.active_routes import ActiveRoutes

_DEFAULT_LIMITS: Final = RequestLimits()


class DocumentLimits:
    """Limits of the active document.

    Args:
        routes: Active routing table.
    """

    def __init__(self, routes: ActiveRoutes) -> None:
        self._routes = routes

    def get(self) -> RequestLimits:
        """Returns the limits; default ones while no document is known."""
        table = self._routes.table
        return _DEFAULT_LIMITS if table is None else table.document.limits

    def may_be_outdated(self) -> bool:
        """Returns whether a document that isn't known here may allow larger requests."""
        return self._routes.table is None or self._routes.is_outdated
