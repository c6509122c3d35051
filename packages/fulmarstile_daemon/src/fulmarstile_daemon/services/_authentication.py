"""Stage of a request that finds its customer by the key that it presents."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._boot_clock import read_boot_clock
from fulmarstile_daemon.services._request_server import make_error_response
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.headers import MessageHeaders

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._replies import CallReplies
    from fulmarstile_daemon.services._server_connection import CallerResponse
    from fulmarstile_daemon.services.metrics import ServiceMetrics
    from fulmarstile_daemon.services.ports import CallHeaderNames
    from fulmarstile_services.document import Customer, ServiceRoute
    from fulmarstile_services.freshness import Freshness
    from fulmarstile_services.routing_table import RoutingTable

_STALE_RETRY_S: Final = 0.5
"""`retry-after` while the document may be outdated, in seconds."""
_CHALLENGE: Final = (b"www-authenticate", b"ApiKey")


@dataclass(frozen=True, slots=True)
class Authentication:
    """Result of the stage for a request that may proceed."""

    request: ReceivedRequest
    """The request without what must not be forwarded."""
    route: ServiceRoute
    """Its route, with the priority of its customer."""
    customer: Customer | None = None
    """Its customer; None if it needs none."""


class Authenticator:
    """Accepts requests that present the key of a customer or need none.

    Args:
        names: Names of headers.
        freshness: Age of the knowledge of the document.
        replies: Counts and logs refusals.
        metrics: Counters.
        is_behind: Returns whether there may be a newer version of the document.
        clock: Returns the time that `freshness` is measured by, in seconds.
    """

    def __init__(
        self,
        names: CallHeaderNames,
        freshness: Freshness,
        replies: CallReplies,
        metrics: ServiceMetrics,
        is_behind: Callable[[], bool],
        clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._names = names
        self._withheld = (names.api_key, names.customer)
        self._freshness = freshness
        self._replies = replies
        self._metrics = metrics
        self._is_behind = is_behind
        self._clock = clock

    def authenticate(
        self, request: ReceivedRequest, route: ServiceRoute, table: RoutingTable, *, is_nested: bool
    ) -> Authentication | CallerResponse:
        """Finds the customer of a request.

        Args:
            request: The request.
            route: Its route.
            table: The active table.
            is_nested: Whether its id names a request that the upstream on this VM is running.

        Returns:
            The result, or the refusal.
        """
        keys, stripped = self._split(request)
        if table.customers is None:
            # A document that names no customers may itself be the outdated one.
            if keys and not self._is_fresh():
                return self._refuse_stale(request)
            return Authentication(request, route)
        if not route.needs_key or (is_nested and not keys):
            return Authentication(stripped, route)
        if not self._is_fresh():
            return self._refuse_stale(request)
        # With several keys, it would depend on the order of headers which one counts.
        if len(keys) != 1:
            return self._refuse_key(request, RefusalReason.API_KEY_MISSING)
        customer = table.customers.find(keys[0])
        if customer is None:
            return self._refuse_key(request, RefusalReason.API_KEY_UNKNOWN)
        if customer.priority is not None and customer.priority != route.priority:
            route = table.prioritize(route, customer.priority)
        return Authentication(stripped, route, customer)

    def _is_fresh(self) -> bool:
        return self._freshness.is_usable(self._clock())

    def _split(self, request: ReceivedRequest) -> tuple[list[bytes], ReceivedRequest]:
        """Returns the keys, and the request without them and the customer that it claims to have.

        It is called for every request, so it copies the request without `dataclasses.replace`.
        """
        headers = request.headers
        withheld = self._withheld
        kept = [header for header in headers.end_to_end if header[0] not in withheld]
        if len(kept) == len(headers.end_to_end):
            return [], request
        name = self._names.api_key
        keys = [value for key, value in headers.end_to_end if key == name and value]
        rest = MessageHeaders(
            kept, headers.daemon_headers, headers.content_length, headers.is_chunked
        )
        stripped = ReceivedRequest(
            request.method, request.target, rest, request.body, request.arrived_at
        )
        return keys, stripped

    def _refuse_stale(self, request: ReceivedRequest) -> CallerResponse:
        reply = make_error_response(503, "the configuration may be outdated", _STALE_RETRY_S)
        reason = RefusalReason.STALE_CONFIGURATION
        return self._replies.reject(request, reply, reason, self._age_s())

    def _refuse_key(self, request: ReceivedRequest, reason: RefusalReason) -> CallerResponse:
        if self._is_behind():
            # A newer version may have the key, or need none.
            return self._refuse_stale(request)
        self._metrics.count_unauthorized(reason)
        reply = make_error_response(401, "the request has no valid key")
        reply.headers.append(_CHALLENGE)
        return self._replies.reject(request, reply, reason, self._age_s())

    def _age_s(self) -> float | None:
        """Returns the age of the knowledge of the document in seconds; None if there is none."""
        age_s = self._freshness.age_s(self._clock())
        return round(age_s, 3) if math.isfinite(age_s) else None
