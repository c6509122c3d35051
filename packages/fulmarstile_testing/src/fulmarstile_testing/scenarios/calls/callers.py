"""Callers in virtual time: they send requests and resend some of them."""

from __future__ import annotations

import uuid
from dataclasses import dataclass, replace
from random import Random
from typing import TYPE_CHECKING, Final

from fulmarstile_calls.request import RefusalReason
from fulmarstile_testing.scenarios.calls.messages import CallRequest
from fulmarstile_testing.scenarios.publisher import CALL_TIMEOUT_S, call_path, reserve_path
from fulmarstile_testing.scenarios.trace import CallAnswered, CallCut, CallRefused, CallSent

if TYPE_CHECKING:
    from fulmarstile_calls.request import CallRefusal
    from fulmarstile_testing.scenarios.model import Traffic
    from fulmarstile_testing.scenarios.virtual_daemon import VirtualDaemon
    from fulmarstile_testing.scenarios.world import World

MAX_SENDS: Final = 4
"""Number of times that a caller sends a reservation, including the first."""

MAX_POISON_SENDS: Final = 10
"""Number of times that a caller sends a request that crashes upstreams, including the first."""

RESEND_DELAY_S: Final = 0.5
"""Minimum delay before a request is sent again, in seconds."""

DUPLICATE_SEND_SHARE: Final = 0.1
"""Share of the reservations that are sent through two daemons at once."""

_FINAL_REASONS: Final = frozenset({RefusalReason.NO_ROUTE, RefusalReason.KEY_OUTCOME_UNKNOWN})


@dataclass(slots=True, eq=False)
class _OpenCall:
    request: CallRequest
    daemon: VirtualDaemon
    sends_left: int


class Callers:
    """Sends requests through running daemons chosen at random.

    Args:
        world: Simulated environment of the callers.
        seed: Seed of all random choices.
    """

    def __init__(self, world: World, seed: int) -> None:
        self._world = world
        self._random = Random(f"{seed}/callers")
        self._customers = {item.name: item.customer for item in world.scenario.services}
        self._open_calls: dict[int, _OpenCall] = {}
        self._call_count = 0
        self._token_count = 0

    def schedule(self, traffic: Traffic) -> None:
        """Sends calls at a rate.

        Args:
            traffic: Service, rate and times.
        """
        at = traffic.start_s
        while at < traffic.stop_s:
            self._world.clock.call_at(at, lambda: self._send_new(traffic))
            at += self._random.expovariate(traffic.calls_per_s)

    def send_poison(self, service: str) -> None:
        """Sends a request that crashes each upstream that runs it.

        Args:
            service: Service that the request is for.
        """
        request = self._make_request(service, call_path(service), is_poison=True)
        self._send(request, MAX_POISON_SENDS - 1)

    def on_answered(self, request: CallRequest, token: str) -> None:
        """Handles the answer to a request."""
        if self._open_calls.pop(request.call, None) is not None:
            self._world.record(CallAnswered(request.call, token, complete=True))

    def on_refused(self, request: CallRequest, refusal: CallRefusal) -> None:
        """Handles a refusal or failure; the request may be sent again."""
        entry = self._open_calls.pop(request.call, None)
        if entry is None:
            return
        self._world.record(CallRefused(request.call, refusal.verdict, refusal.reason.value))
        if refusal.reason not in _FINAL_REASONS:
            self._send_again(entry)

    def on_daemon_ended(self, daemon: VirtualDaemon) -> None:
        """Handles the loss of the callers' connections to a daemon whose process ended."""
        for entry in [entry for entry in self._open_calls.values() if entry.daemon is daemon]:
            del self._open_calls[entry.request.call]
            self._world.record(CallCut(entry.request.call, daemon.daemon_id))
            self._send_again(entry)

    def _send_new(self, traffic: Traffic) -> None:
        if not traffic.reserve:
            self._send(self._make_request(traffic.service, call_path(traffic.service)), 0)
            return
        request = self._make_request(traffic.service, reserve_path(traffic.service))
        request = replace(request, key=self._make_key())
        self._send(request, MAX_SENDS - 1)
        if self._random.random() < DUPLICATE_SEND_SHARE:
            self._send(request, 0)

    def _send(self, request: CallRequest, sends_left: int) -> None:
        running = list(self._world.daemons.values())
        if not running:
            return
        daemon = self._random.choice(running)
        self._call_count += 1
        request = replace(request, call=self._call_count)
        self._open_calls[request.call] = _OpenCall(request, daemon, sends_left)
        self._world.record(
            CallSent(
                call=request.call,
                customer=request.customer,
                daemon=daemon.daemon_id,
                token=request.token,
                timeout_s=CALL_TIMEOUT_S,
                key=request.key,
            )
        )
        daemon.run(lambda: daemon.entry.on_call(request))

    def _send_again(self, entry: _OpenCall) -> None:
        if entry.sends_left <= 0:
            return
        delay_s = RESEND_DELAY_S * (1 + self._random.random())
        self._world.clock.call_later(
            delay_s, lambda: self._send(entry.request, entry.sends_left - 1)
        )

    def _make_request(self, service: str, path: str, *, is_poison: bool = False) -> CallRequest:
        self._token_count += 1
        token = f"{service}/{self._token_count}"
        return CallRequest(0, self._customers[service], path, token, is_poison=is_poison)

    def _make_key(self) -> str:
        time_bits = self._world.wall_clock_ms << 80
        version_bits = 7 << 76 | 2 << 62
        random_bits = self._random.getrandbits(12) << 64 | self._random.getrandbits(62)
        return str(uuid.UUID(int=time_bits | version_bits | random_bits))
