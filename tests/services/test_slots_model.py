"""Slots survive any order of arrivals, cancellations, withdrawals and changes of the upstream.

An error there ends the request that it occurs in, or in the periodic task the whole daemon.
"""

from __future__ import annotations

import math
import random
import unittest
from collections import Counter

import trio
import trio.testing

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._slots import SlotRefusedError, Slots
from fulmarstile_services.slot_class import SlotClass
from fulmarstile_wire.services import HopRequest

SEED = 5
STEPS = 10_000
MAX_SLOTS = 4
DRAIN_S = 100.0
"""Time after which every request has ended, in seconds."""


class SlotsModel:
    """Applies random operations to slots.

    Args:
        nursery: Runs the requests.
        rng: Source of randomness.
    """

    def __init__(self, nursery: trio.Nursery, rng: random.Random) -> None:
        self._nursery = nursery
        self._random = rng
        self.slots = Slots()
        self.incarnation = 0
        self.holders: Counter[int] = Counter()
        """Requests that hold a slot, by the incarnation that they acquired it from."""
        self.open_requests: dict[trio.CancelScope, AttemptProgress] = {}
        self.outcomes: Counter[str] = Counter()
        self.restart()

    def step(self) -> None:
        operations = [
            (self.arrive, 60),
            (self.cancel, 15),
            (self.withdraw, 10),
            (self.resize, 5),
            (self.set_rate_limit, 3),
            (self.restart, 3),
            (self.refuse_queued, 2),
            (self.slots.refuse_all, 1),
        ]
        functions, weights = zip(*operations, strict=True)
        self._random.choices(functions, weights)[0]()

    def arrive(self) -> None:
        self._nursery.start_soon(self._request)

    def cancel(self) -> None:
        if self.open_requests:
            self._random.choice(list(self.open_requests)).cancel()

    def withdraw(self) -> None:
        if self.open_requests:
            self._random.choice(list(self.open_requests.values())).withdraw()

    def resize(self) -> None:
        self.slots.resize(self._random.randint(0, MAX_SLOTS))

    def set_rate_limit(self) -> None:
        self.slots.set_rate_limit(self._random.choice([0.0, 0.5, 20.0, 1000.0]))

    def restart(self) -> None:
        self.incarnation += 1
        self.slots.restart(self._random.randint(1, MAX_SLOTS), MAX_SLOTS)

    def refuse_queued(self) -> None:
        self.slots.refuse_queued(RefusalReason.NO_UPSTREAM)

    async def _request(self) -> None:
        rng = self._random
        priority = rng.randrange(len(SlotClass))
        hop = HopRequest("s", "u", "c", priority, 1, 1, False, rng.choice([1, 50, 5_000]))
        progress = AttemptProgress()
        now = trio.current_time()
        deadline = now + rng.choice([0.0, 0.03, 0.5, 5.0])
        useful_until = now + rng.choice([0.0, 0.03, 0.5, 5.0])
        hold_s = rng.choice([0.0, 0.01, 0.1, 1.0])
        with trio.CancelScope() as scope:
            self.open_requests[scope] = progress
            try:
                await self._hold_slot(hop, deadline, useful_until, progress, hold_s)
            finally:
                del self.open_requests[scope]
        if scope.cancelled_caught:
            self.outcomes["cancelled"] += 1

    async def _hold_slot(
        self,
        hop: HopRequest,
        deadline: float,
        useful_until: float,
        progress: AttemptProgress,
        hold_s: float,
    ) -> None:
        try:
            ticket_id = await self.slots.acquire(hop, deadline, useful_until, progress)
        except SlotRefusedError as error:
            self.outcomes[error.refusal.reason.value] += 1
            return
        incarnation = self.incarnation
        self.holders[incarnation] += 1
        if self.holders[incarnation] > MAX_SLOTS:
            raise AssertionError("more requests hold a slot than there are slots")
        try:
            await trio.sleep(hold_s)
        finally:
            self.holders[incarnation] -= 1
            self.slots.release(ticket_id)
        self.outcomes["held"] += 1


class SlotsModelTest(unittest.TestCase):
    def test_any_order_of_operations_leaves_no_slot_taken_and_nobody_waiting(self) -> None:
        async def run() -> None:
            rng = random.Random(SEED)
            async with trio.open_nursery() as nursery:
                model = SlotsModel(nursery, rng)
                nursery.start_soon(model.slots.tick_forever)
                for _ in range(STEPS):
                    model.step()
                    # Several operations often come before any task notices the first of them.
                    if rng.random() < 0.5:
                        await trio.sleep(rng.choice([0.0, 0.001, 0.02]))
                await trio.sleep(DRAIN_S)
                self.assertEqual(model.open_requests, {})
                self.assertEqual((model.slots.running, model.slots.queued), (0, 0))
                nursery.cancel_scope.cancel()
            self.assertGreater(min(model.outcomes["held"], model.outcomes["cancelled"]), 100)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_cancelled_request_of_a_replaced_upstream_assigns_no_slot_to_those_refused(
        self,
    ) -> None:
        async def run() -> None:
            slots = Slots()
            slots.restart(1, 10)
            results: list[object] = []

            async def wait_for_slot(scope: trio.CancelScope) -> None:
                hop = HopRequest("s", "u", "c", 0, 1, 1, False, 1)
                with scope:
                    try:
                        await slots.acquire(hop, math.inf, math.inf, AttemptProgress())
                    except SlotRefusedError as error:
                        results.append(error.refusal.reason)
                    except KeyError as error:
                        results.append(error)

            async with trio.open_nursery() as nursery:
                scopes = [trio.CancelScope() for _ in range(5)]
                for scope in scopes:
                    nursery.start_soon(wait_for_slot, scope)
                    await trio.testing.wait_all_tasks_blocked()
                scopes[1].cancel()
                slots.resize(2)
                slots.restart(1, 10)
            self.assertEqual(results, [RefusalReason.NO_UPSTREAM] * 3)

        for _ in range(20):
            trio.run(run)


if __name__ == "__main__":
    unittest.main()
