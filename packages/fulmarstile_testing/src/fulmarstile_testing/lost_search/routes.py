"""Routes of the requests of a case."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Final

from fulmarstile_services.document import Repeatability, RequestLimits
from fulmarstile_testing.builders.services import make_document, make_route

if TYPE_CHECKING:
    from fulmarstile_services.document import ServiceDocument

ROUTES: Final = {"/read/": 1.2, "/write/": 1.5, "/upload/": 3.0, "/long/": 7.5, "/sign/": 12.0}
"""Timeouts of the routes by their prefix, in seconds."""
LONG_ROUTES: Final = ("/long/", "/sign/")
READS: Final = ("/read/", "/long/")


def make_case_document(
    version: int, factor: float, idle_timeout_s: float, removed: str = ""
) -> ServiceDocument:
    """Makes a version of the document.

    Args:
        version: Number of the version.
        factor: Factor of all timeouts.
        idle_timeout_s: Time after which idle connections are closed, in seconds.
        removed: Prefix of a route to leave out.

    Returns:
        The version.
    """
    repeatable, once = Repeatability.IDEMPOTENT, Repeatability.AT_MOST_ONCE
    make = partial(make_route, target_latency_s=0.4, max_attempts=3)
    routes = [
        make(
            prefix=prefix,
            timeout_s=timeout_s * factor,
            repeatability=repeatable if prefix in READS else once,
        )
        for prefix, timeout_s in ROUTES.items()
        if prefix != removed
    ]
    document = make_document(*routes, version=version)
    return replace(document, limits=RequestLimits(idle_timeout_s=idle_timeout_s))
