"""Upstreams grouped by service, in a stable order."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_calls.request import UpstreamEndpoint


def group_by_service(
    endpoints: Iterable[UpstreamEndpoint],
) -> dict[str, tuple[UpstreamEndpoint, ...]]:
    """Groups upstreams by service, each group sorted by `daemon_id`."""
    groups: dict[str, list[UpstreamEndpoint]] = {}
    for endpoint in sorted(endpoints, key=lambda endpoint: endpoint.daemon_id):
        groups.setdefault(endpoint.service, []).append(endpoint)
    return {service: tuple(group) for service, group in groups.items()}
