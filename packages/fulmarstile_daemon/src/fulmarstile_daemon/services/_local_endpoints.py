"""HTTP addresses for callers on the VM: readiness probes, announcements, metrics and state."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from fulmarstile_platform.http_server import (
    HttpAnswer,
    HttpProblemError,
    encode_answer,
    listen_http,
    serve_http,
)
from fulmarstile_platform.message_memory import MessageMemory

if TYPE_CHECKING:
    from collections.abc import Callable

    import trio

    from fulmarstile_daemon.services.metrics import ServiceMetrics
    from fulmarstile_daemon.services.ports import Platform, UpstreamEvents
    from fulmarstile_daemon.services.state import ServiceState
    from fulmarstile_platform.http_server import HttpRequest
    from fulmarstile_services.settings import Listeners

_MAX_CONNECTIONS: Final = 64
"""Connections served at a time at each address."""
_MAX_BODY_BYTES: Final = 64 * 1024
"""Largest body, in bytes; an announcement has less than 1 KB."""
_MAX_HELD_BYTES: Final = 4 << 20
"""Maximum number of bytes of all bodies and answers at all addresses together."""


class LocalEndpoints:
    """Serves the platform and the upstream on this VM.

    Args:
        platform: Translates their requests.
        announcements: Receives the announcements of the upstream.
        metrics: Metrics of the daemon.
        is_ready: Returns whether callers should send requests to the daemon.
        dump: Returns the state of the daemon.
    """

    def __init__(
        self,
        platform: Platform,
        announcements: UpstreamEvents,
        metrics: ServiceMetrics,
        is_ready: Callable[[], bool],
        dump: Callable[[], ServiceState],
    ) -> None:
        self._platform = platform
        self._announcements = announcements
        self._metrics = metrics
        self._is_ready = is_ready
        self._dump = dump

    async def serve(self, nursery: trio.Nursery, listeners: Listeners) -> None:
        """Listens at the addresses, and serves them in tasks of their own.

        Args:
            nursery: Runs the tasks.
            listeners: Addresses of the daemon.

        Raises:
            HttpListenError: If it cannot listen at one of them.
        """
        memory = MessageMemory(_MAX_HELD_BYTES)
        for address, handler in (
            (listeners.readiness, self._handle_readiness),
            (listeners.announcements, self._handle_announcement),
            (listeners.metrics, self._handle_metrics),
        ):
            listener = await listen_http(address)
            nursery.start_soon(
                serve_http, listener, handler, _MAX_CONNECTIONS, _MAX_BODY_BYTES, memory
            )

    async def _handle_readiness(self, request: HttpRequest) -> HttpAnswer:
        return await self._platform.handle_readiness(request, self._is_ready())

    async def _handle_announcement(self, request: HttpRequest) -> HttpAnswer:
        return await self._platform.handle_announcement(request, self._announcements)

    async def _handle_metrics(self, request: HttpRequest) -> HttpAnswer:
        if request.path == "/state":
            return encode_answer(self._dump())
        if request.path != "/metrics":
            raise HttpProblemError(HTTPStatus.NOT_FOUND, "only /metrics and /state are served here")
        return HttpAnswer(200, self._metrics.render(), "text/plain; version=0.0.4")
