"""What the call proxy reads from the decision core."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_calls.request import UpstreamEndpoint
    from fulmarstile_config import RoutingTable
    from fulmarstile_daemon.calls import Claims
    from fulmarstile_daemon.core import DaemonCore


class CoreCallContext:
    """Supplies the call proxy from the core, which is attached once it exists.

    Args:
        daemon_id: Identifier of this daemon.
        default_customer: Customer of requests that name none.
    """

    def __init__(self, daemon_id: str, default_customer: str) -> None:
        self._daemon_id = daemon_id
        self._default_customer = default_customer
        self._core: DaemonCore | None = None
        self._claims: Claims | None = None
        self._routing_table = _empty_table()

    @property
    def routing_table(self) -> RoutingTable:
        """Routing table in force."""
        if self._core is None:
            return self._routing_table
        return self._core.routing_table

    @property
    def endpoints(self) -> tuple[UpstreamEndpoint, ...]:
        """Upstreams that may get new calls."""
        if self._core is None:
            return ()
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

    def attach(self, core: DaemonCore) -> None:
        """Connects the context to the core."""
        self._core = core

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Tells whether a request is refused because it crashed upstreams."""
        return self._core is not None and fingerprint in self._core.membership.quarantine

    def on_upstream_crash(self, fingerprints: tuple[bytes, ...]) -> None:
        """Reports the requests that were in flight when the local upstream crashed."""
        if self._core is not None:
            self._core.report_crash(fingerprints)


def _empty_table() -> RoutingTable:
    from fulmarstile_config import RoutingTable

    return RoutingTable()
