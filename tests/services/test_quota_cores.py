"""Tokens are leased, returned once and bounded by the document in force."""

from __future__ import annotations

import unittest

from fulmarstile_services.document import Customer
from fulmarstile_services.quotas.lease import Source
from fulmarstile_services.quotas.ownership import ShardOwnership
from fulmarstile_services.quotas.plan import GRANTING_S, LEASE_S, TAKEOVER_S, QuotaPlan, plan_quota
from fulmarstile_services.quotas.shard import QuotaShard
from fulmarstile_services.settings import QuotaBounds
from fulmarstile_wire.quotas import OwnerRecord, QuotaDemand, QuotaRequest

BOUNDS = QuotaBounds(5.0, 0.1, 20.0)


def make_plans(rate: float) -> dict[str, QuotaPlan]:
    return {"baker": plan_quota(Customer("baker", frozenset(), rate_per_s=rate), BOUNDS)}


def make_shard(rate: float = 100.0) -> QuotaShard:
    """Makes a shard that its daemon owns in the first epoch."""
    shard = QuotaShard("daemon-1", 1, 0, BOUNDS.window_s)
    shard.set_plans(make_plans(rate), 0.0)
    shard.ownership.on_read((), 0, 0.0)
    shard.on_appended(OwnerRecord("daemon-1", 1), 0, 0.0, 0.0)
    return shard


def exchange(shard: QuotaShard, now: float) -> None:
    """Lets a daemon ask itself as owner."""
    reply = shard.on_request(shard.lease.make_request(now), now)
    shard.on_reply("daemon-1", reply, now)


def take_all(shard: QuotaShard, now: float) -> int:
    """Takes tokens until there are none, and returns their number."""
    count = 0
    while shard.lease.take("baker", now, is_first=False).source is Source.TOKEN:
        count += 1
    return count


def lease_tokens(shard: QuotaShard, now: float) -> None:
    """Obtains tokens for waiting requests."""
    shard.lease.take("baker", now)
    shard.lease.add_waiting("baker", 10)
    exchange(shard, now)
    shard.lease.add_waiting("baker", -10)


class QuotaLeaseTest(unittest.TestCase):
    def test_tokens_cannot_be_used_after_a_suspension(self) -> None:
        shard = make_shard()
        lease_tokens(shard, 0.0)
        self.assertIsNot(shard.lease.take("baker", LEASE_S + 5.0).source, Source.TOKEN)

    def test_a_token_is_given_back_at_most_once(self) -> None:
        shard = make_shard()
        lease_tokens(shard, 0.0)
        count = take_all(shard, 0.01)
        self.assertGreater(count, 0)
        for _ in range(count + 5):
            shard.lease.give_back("baker", 0.01, 0.02)
        self.assertEqual(take_all(shard, 0.03), count)

    def test_tokens_of_a_lost_reply_are_not_granted_twice(self) -> None:
        shard = make_shard()
        lost = QuotaRequest("daemon-2", 1, 0, 1, 1, 0, (QuotaDemand("baker", 20, 20),))
        capacity = make_plans(100.0)["baker"].capacity
        granted = sum(grant.tokens for grant in shard.on_request(lost, 0.0).grants)
        late = shard.on_request(lost, 0.1)
        self.assertEqual(late.grants, ())
        again = QuotaRequest("daemon-3", 1, 0, 1, 1, 0, (QuotaDemand("baker", 1000, 1000),))
        granted += sum(grant.tokens for grant in shard.on_request(again, 0.0).grants)
        self.assertLessEqual(granted, capacity)

    def test_a_lowered_limit_applies_to_tokens_held_at_once(self) -> None:
        shard = make_shard(100.0)
        lease_tokens(shard, 0.0)
        shard.set_plans(make_plans(10.0), 0.0)
        self.assertLessEqual(take_all(shard, 0.0), 1)

    def test_a_customer_whose_limit_was_removed_is_not_refused(self) -> None:
        shard = make_shard(100.0)
        shard.set_plans({}, 0.0)
        self.assertIs(shard.lease.take("baker", 0.0).source, Source.UNLIMITED)


class ShardOwnershipTest(unittest.TestCase):
    def test_no_token_of_an_earlier_owner_is_valid_when_the_next_one_grants(self) -> None:
        self.assertLess(GRANTING_S + LEASE_S, TAKEOVER_S)

    def test_an_owner_frozen_between_renewal_and_grant_grants_nothing(self) -> None:
        shard = make_shard()
        request = QuotaRequest("daemon-2", 1, 0, 1, 1, 0, (QuotaDemand("baker", 1, 1),))
        self.assertFalse(shard.on_request(request, GRANTING_S).is_owner)

    def test_a_released_shard_is_taken_over_after_one_lease(self) -> None:
        ownership = ShardOwnership("daemon-2")
        ownership.on_read((OwnerRecord("daemon-1", 3, is_released=True),), 5, 0.0)
        self.assertIsNone(ownership.next_record(LEASE_S - 0.1, is_candidate=True))
        self.assertEqual(
            ownership.next_record(LEASE_S, is_candidate=True), OwnerRecord("daemon-2", 4)
        )

    def test_an_append_whose_reply_was_lost_gives_no_ownership(self) -> None:
        ownership = ShardOwnership("daemon-2")
        ownership.on_read((), 0, 0.0)
        record = ownership.next_record(0.0, is_candidate=True)
        assert record is not None
        ownership.on_read((record,), 1, 1.0)
        self.assertFalse(ownership.may_grant(1.0))
        self.assertIsNone(ownership.next_record(1.0 + TAKEOVER_S - 0.1, is_candidate=True))
