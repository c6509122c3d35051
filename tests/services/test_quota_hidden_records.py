"""A quota shard has one owner, also if a read of the newest records lacks some."""

from __future__ import annotations

import unittest

import trio
import trio.testing

from fulmarstile_daemon.services._quota_owner import (
    HOLDERS_KEY,
    OWNER_KEY,
    TOPIC_PREFIX,
    ShardOwner,
)
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_services.quotas.plan import TAKEOVER_S
from fulmarstile_services.quotas.shard import QuotaShard
from fulmarstile_testing.fakes.odd_keyed_log import OddKeyedLog
from fulmarstile_wire.quotas import (
    HoldersRecord,
    OwnerRecord,
    ShareHolder,
    encode_holders,
    encode_owner,
)

TOPIC = f"{TOPIC_PREFIX}0"
WINDOW_S = 5.0
START_GAP_S = 1.3
"""Time between the starts of two daemons, in seconds; the first one has then just renewed."""
RUN_S = 2.0 * TAKEOVER_S
STEP_S = 0.01


class HiddenOwnerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = OddKeyedLog()
        self.granting: list[set[str]] = []
        """Daemons that may grant tokens, whenever they change."""

    def run_owners(self, *names: str) -> dict[str, QuotaShard]:
        """Starts daemons, one after another; returns their shards."""
        shards = {name: QuotaShard(name, 1, 0, WINDOW_S) for name in names}

        async def run_owner(name: str) -> None:
            owner = ShardOwner(
                0,
                shards[name],
                lambda _: list(names),
                lambda _: 1,
                trio.current_time,
                EventLog(name),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(owner.follow, self.store)
                nursery.start_soon(owner.append_forever, self.store)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                for name in names:
                    nursery.start_soon(run_owner, name)
                    await self.watch(shards, START_GAP_S)
                await self.watch(shards, RUN_S)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return shards

    async def watch(self, shards: dict[str, QuotaShard], for_s: float) -> None:
        with trio.move_on_after(for_s):
            while True:
                await trio.sleep(STEP_S)
                now = trio.current_time()
                granting = {
                    name for name, shard in shards.items() if shard.ownership.may_grant(now)
                }
                if not self.granting or granting != self.granting[-1]:
                    self.granting.append(granting)

    def test_a_shard_whose_owner_the_newest_records_lack_has_no_second_owner(self) -> None:
        """Guards against two owners that each grant a customer the whole quota."""
        self.store.hidden.update(range(100))
        self.run_owners("daemon-1", "daemon-2")
        self.assertEqual(self.granting, [set(), {"daemon-1"}])

    def test_shares_that_the_newest_records_lack_are_known_to_the_next_owner(self) -> None:
        """Guards against granting what daemons still use of the owner before."""
        holder = ShareHolder("daemon-3", 1, {})
        owner = OwnerRecord("daemon-1", 1, lists_holders=True, incarnation=1)
        self.store.put(TOPIC, OWNER_KEY, encode_owner(owner))
        self.store.put(TOPIC, HOLDERS_KEY, encode_holders(HoldersRecord(1, (holder,))))
        self.store.hidden.add(1)
        shard = self.run_owners("daemon-2")["daemon-2"]
        self.assertEqual(self.granting, [set(), {"daemon-2"}])
        earlier = shard.ownership.earlier_shares
        assert earlier is not None
        self.assertEqual(earlier.holders, (holder,))

    def test_a_shard_has_an_owner_where_records_behind_the_newest_have_expired(self) -> None:
        self.store.put(TOPIC, HOLDERS_KEY, b"")
        self.store.hidden.add(0)
        self.store.forget_history(TOPIC)
        self.run_owners("daemon-1")
        self.assertEqual(self.granting, [set(), {"daemon-1"}])


if __name__ == "__main__":
    unittest.main()
