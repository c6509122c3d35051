"""Headers of a request to the upstream on this VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_daemon.services._server_connection import ReceivedRequest
    from fulmarstile_daemon.services.ports import CallHeaderNames
    from fulmarstile_wire.services import HopRequest


def make_upstream_headers(
    names: CallHeaderNames,
    hop: HopRequest,
    request: ReceivedRequest,
    left_s: float,
    *,
    upstream_id: str,
    names_customers: bool,
) -> list[tuple[bytes, bytes]]:
    """Makes the headers of a request, with those that the daemons set in place of the caller's.

    Args:
        names: Names of headers.
        hop: Metadata from the entry daemon.
        request: The request as the caller sent it.
        left_s: Time until the deadline, in seconds.
        upstream_id: Id of the upstream that is to run it; empty if it is not known.
        names_customers: Whether the caller's key must not reach the upstream.

    Returns:
        Names and values.
    """
    replaced = (names.caller_service, names.expected_upstream, names.time_left_ms)
    if names_customers:
        replaced += (names.api_key, names.customer)
    headers = [header for header in request.headers.end_to_end if header[0] not in replaced]
    headers.append((names.time_left_ms, b"%d" % max(1, int(left_s * 1000))))
    headers.append((names.caller_service, hop.caller_service.encode()))
    if hop.customer:
        headers.append((names.customer, hop.customer.encode()))
    if upstream_id:
        headers.append((names.expected_upstream, upstream_id.encode()))
    return headers
