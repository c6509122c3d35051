"""Hedging: a second attempt is started while a slow first one still runs."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from fulmarstile_daemon.calls._call import CallerDisconnectedError, SupersededError
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_calls.balancing import Balancer
    from fulmarstile_calls.request import CallRefusal, UpstreamEndpoint
    from fulmarstile_calls.retries import RetryPolicy
    from fulmarstile_daemon.calls._attempts import AttemptRunner
    from fulmarstile_daemon.calls._call import Call
    from fulmarstile_daemon.calls._caller import CallerConnection
    from fulmarstile_daemon.calls.counters import CallCounters


class HedgedRunner:
    """Runs idempotent reads on a second upstream as well if the first is slow.

    Args:
        attempts: Runs attempts.
        balancer: Chooses upstreams.
        retries: Decides on hedges.
        counters: Counters to update.
    """

    def __init__(
        self,
        attempts: AttemptRunner,
        balancer: Balancer,
        retries: RetryPolicy,
        counters: CallCounters,
    ) -> None:
        self._attempts = attempts
        self._balancer = balancer
        self._retries = retries
        self._counters = counters

    def find_hedge_delay(self, call: Call) -> float | None:
        """Determines the delay after which a second attempt may start.

        Args:
            call: The call.

        Returns:
            Delay in seconds, or None if the call must not be hedged.
        """
        route = call.route
        if route is None or route.retry is None or not route.retry.hedge_after_ms:
            return None
        if not call.body_complete:
            return None
        now = trio.current_time()
        method = call.request.method.decode()
        return self._retries.decide_hedge(route, call.attempt, method, now, call.deadline - now)

    async def run(
        self, call: Call, caller: CallerConnection, endpoint: UpstreamEndpoint, delay_s: float
    ) -> CallRefusal | None:
        """Runs an attempt, and a second one if the first has no answer after a delay.

        Args:
            call: The call.
            caller: Connection that it came from.
            endpoint: Upstream of the first attempt.
            delay_s: The delay, in seconds.

        Returns:
            Why all attempts failed, or None if an answer was sent.

        Raises:
            CallerDisconnectedError: If the caller disconnected.
        """
        race = _Race(self._attempts, call, caller)
        try:
            async with trio.open_nursery() as nursery:
                call.scope = nursery.cancel_scope
                race.start(endpoint, nursery)
                with trio.move_on_after(delay_s):
                    await race.settled.wait()
                if race.is_undecided:
                    self._start_hedge(race, call, endpoint, nursery)
                await race.settled.wait()
                nursery.cancel_scope.cancel()
        finally:
            race.update_verdict()
        return race.finish()

    def _start_hedge(
        self, race: _Race, call: Call, first: UpstreamEndpoint, nursery: trio.Nursery
    ) -> None:
        now = trio.current_time()
        assert call.route is not None
        other = self._balancer.choose(call.route.pool, now, frozenset({first.daemon_id}))
        if other is None or not self._retries.start_hedge(call.route, call.attempt, now):
            return
        self._counters.hedges += 1
        race.start(other, nursery)


class _Race:
    """Concurrent attempts of one call; the first that has an answer sends it."""

    def __init__(self, attempts: AttemptRunner, call: Call, caller: CallerConnection) -> None:
        self._attempts = attempts
        self._call = call
        self._caller = caller
        self._calls: list[Call] = []
        self._refusals: list[CallRefusal] = []
        self._winner: Call | None = None
        self._answered = False
        self.settled = trio.Event()

    @property
    def is_undecided(self) -> bool:
        """Whether no attempt has an answer yet, and at least one still runs."""
        return self._winner is None and not self.settled.is_set()

    def start(self, endpoint: UpstreamEndpoint, nursery: trio.Nursery) -> None:
        call = replace(self._call, scope=None, try_to_win=self._try_to_win)
        self._calls.append(call)
        nursery.start_soon(self._run, call, endpoint)

    def update_verdict(self) -> None:
        if any(call.verdict is not Verdict.NOT_RUN for call in self._calls):
            self._call.verdict = Verdict.MAY_HAVE_RUN

    def finish(self) -> CallRefusal | None:
        call = self._call
        if self._answered:
            return None
        if call.abandoned or not self._refusals:
            raise CallerDisconnectedError
        call.answer_started = self._winner is not None
        return max(self._refusals, key=lambda refusal: refusal.verdict is not Verdict.NOT_RUN)

    def _try_to_win(self, call: Call) -> None:
        if self._winner is None:
            self._winner = call
        elif self._winner is not call:
            raise SupersededError

    async def _run(self, call: Call, endpoint: UpstreamEndpoint) -> None:
        try:
            refusal = await self._attempts.run(call, self._caller, endpoint)
        except SupersededError:
            return
        except CallerDisconnectedError:
            self._call.abandoned = True
            self.settled.set()
            return
        if refusal is None:
            self._answered = True
        else:
            self._refusals.append(refusal)
        if self._winner is call or len(self._refusals) == len(self._calls):
            self.settled.set()
