"""Connections for calls between daemons in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_calls.request import CallRefusal, RefusalReason
from fulmarstile_testing.scenarios.calls.messages import HopReply
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_testing.scenarios.calls.messages import HopRequest
    from fulmarstile_testing.scenarios.virtual_daemon import VirtualDaemon
    from fulmarstile_testing.scenarios.world import World

CONNECT_TIMEOUT_S: Final = 1.0
"""Time after which a connection that is not answered counts as failed, in seconds."""


class CallLinks:
    """Carries requests to the daemons beside upstreams, and replies back.

    Args:
        world: Simulated environment of the daemons.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._silent: set[tuple[str, str]] = set()

    def silence(self, first: str, second: str) -> None:
        """Loses everything on the open connections between two daemons."""
        self._silent |= {(first, second), (second, first)}

    def send(
        self,
        source: VirtualDaemon,
        destination: str,
        hop: HopRequest,
        on_reply: Callable[[HopReply], None],
    ) -> None:
        """Sends a request; a refused connection is replied to as not run.

        Args:
            source: Sending daemon.
            destination: Name of the daemon beside the upstream.
            hop: The request.
            on_reply: Called with the reply, if one arrives.
        """
        target = self._world.daemons.get(destination)
        latency_s = self._latency_s(source.daemon_id, destination)
        if self._is_blocked(source.daemon_id, destination):
            self._reply_later(source, CONNECT_TIMEOUT_S, _connect_failed(), on_reply)
            return
        if target is None:
            self._reply_later(source, 2 * latency_s, _connect_failed(), on_reply)
            return
        if (source.daemon_id, destination) in self._silent:
            return

        def reply(answer: HopReply) -> None:
            if not self._is_blocked(source.daemon_id, destination):
                self._reply_later(source, latency_s, answer, on_reply)

        def arrive() -> None:
            target.run(lambda: target.guard.on_request(hop, reply, target.now))

        self._world.clock.call_later(latency_s, arrive)

    def cancel(self, source: VirtualDaemon, destination: str, attempt_id: int) -> None:
        """Closes the connection of a request whose reply is no longer awaited."""
        self._silent.discard((source.daemon_id, destination))
        target = self._world.daemons.get(destination)
        if target is None or self._is_blocked(source.daemon_id, destination):
            return
        latency_s = self._latency_s(source.daemon_id, destination)
        self._world.clock.call_later(
            latency_s,
            lambda: target.run(lambda: target.guard.on_cancel(attempt_id, target.now)),
        )

    def _reply_later(
        self,
        source: VirtualDaemon,
        delay_s: float,
        reply: HopReply,
        on_reply: Callable[[HopReply], None],
    ) -> None:
        self._world.clock.call_later(delay_s, lambda: source.run(lambda: on_reply(reply)))

    def _is_blocked(self, first: str, second: str) -> bool:
        address_of = self._world.address_of
        return self._world.links.is_blocked(address_of(first), address_of(second))

    def _latency_s(self, first: str, second: str) -> float:
        return self._world.latency_s(self._world.address_of(first), self._world.address_of(second))


def _connect_failed() -> HopReply:
    return HopReply(refusal=CallRefusal(RefusalReason.CONNECT_FAILED, Verdict.NOT_RUN, 503))
