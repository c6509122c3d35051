"""State of the decision core that the call proxy needs."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_calls.request import UpstreamEndpoint
    from fulmarstile_config import RoutingTable
    from fulmarstile_daemon.calls import Claims
    from fulmarstile_daemon.core import DaemonCore


class CoreCallContext:
    """Implements the context of the call proxy with the decision core.

    Args:
        daemon_id: Identifier of this daemon.
        default_customer: Customer of requests that name none; empty to refuse them.
        core: The decision core.
        claims: Claims on at-most-once calls.
        report_crash: Reports the requests suspected of crashing the local upstream.
    """

    def __init__(
        self,
        daemon_id: str,
        default_customer: str,
        core: DaemonCore,
        claims: Claims,
        report_crash: Callable[[tuple[bytes, ...]], None],
    ) -> None:
        self._daemon_id = daemon_id
        self._default_customer = default_customer
        self._core = core
        self._claims = claims
        self._report_crash = report_crash

    @property
    def routing_table(self) -> RoutingTable:
        """Active routing table."""
        return self._core.routing_table

    @property
    def endpoints(self) -> tuple[UpstreamEndpoint, ...]:
        """Upstreams that may receive new calls."""
        return self._core.endpoints

    @property
    def default_customer(self) -> str:
        """Customer of requests that name none; empty to refuse them."""
        return self._default_customer

    @property
    def daemon_id(self) -> str:
        """Identifier of this daemon."""
        return self._daemon_id

    @property
    def claims(self) -> Claims | None:
        """Claims on at-most-once calls."""
        return self._claims

    def is_starting(self, customer: str) -> bool:
        """Returns whether a customer is served but has no applied configuration yet."""
        core = self._core
        return customer in core.folds and customer not in core.routing_table.versions

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Returns whether a request is refused because it crashed upstreams."""
        return fingerprint in self._core.quarantine

    def on_upstream_crash(self, fingerprints: tuple[bytes, ...]) -> None:
        """Reports the requests that are suspected of crashing the local upstream."""
        self._report_crash(fingerprints)
