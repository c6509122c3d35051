"""A new owner waits only for processes that can still hold shares of an earlier owner."""

from __future__ import annotations

import unittest

from fulmarstile_services.document import Customer
from fulmarstile_services.quotas.holders import (
    MAX_LISTED_SHARES,
    RECORD_INTERVAL_S,
    DaemonProcess,
    ShareHolders,
)
from fulmarstile_services.quotas.ownership import ShardOwnership
from fulmarstile_services.quotas.plan import (
    CLOCK_MARGIN_S,
    GRANTING_S,
    LEASE_S,
    SHARE_LIFETIME_S,
    TAKEOVER_S,
    QuotaPlan,
    plan_quota,
)
from fulmarstile_services.quotas.shard import QuotaShard
from fulmarstile_services.settings import QuotaBounds
from fulmarstile_wire.errors import WireError
from fulmarstile_wire.quotas import (
    NO_SHARE,
    HoldersRecord,
    OwnerRecord,
    QuotaDemand,
    QuotaRequest,
    QuotaShare,
    ShareHolder,
    decode_holders,
)

BOUNDS = QuotaBounds(5.0, 0.1, 20.0)
SHARE = QuotaShare(10_000, 2)
HOLDERS = (
    ShareHolder("daemon-2", 20, {"baker": QuotaShare(50_000, 4)}),
    ShareHolder("daemon-3", 30, {"baker": QuotaShare(20_000, 2)}),
)
NEWCOMER = ShareHolder("daemon-4", 40, {})


def make_plans(rate: float) -> dict[str, QuotaPlan]:
    return {"baker": plan_quota(Customer("baker", frozenset(), rate_per_s=rate), BOUNDS)}


def acquire(
    *, holders: tuple[ShareHolder, ...] = HOLDERS, lists_holders: bool = True
) -> QuotaShard:
    """Makes a shard that daemon-1 acquires at `TAKEOVER_S` from an owner that listed holders."""
    shard = QuotaShard("daemon-1", 10, 0, BOUNDS.window_s)
    shard.set_plans(make_plans(100.0), 0.0)
    earlier = OwnerRecord("daemon-9", 3, lists_holders=lists_holders, incarnation=90)
    shard.ownership.on_read((HoldersRecord(3, holders), earlier), 8, 0.0)
    propose(shard.ownership, 0.0, 91)
    record = propose(shard.ownership, TAKEOVER_S, 91)
    assert record is not None
    shard.on_appended(record, 8, TAKEOVER_S, TAKEOVER_S)
    return shard


def ask(
    shard: QuotaShard,
    holder: ShareHolder,
    number: int,
    *,
    share: QuotaShare = NO_SHARE,
    is_answered: bool = False,
) -> QuotaShare:
    """Sends a daemon's request to the owner, and returns the share that it assigns."""
    epoch = shard.ownership.epoch if is_answered else 0
    demand = QuotaDemand("baker", wanted=1, pace=100, share=share, mean_pace=100)
    request = QuotaRequest(
        holder.name, holder.incarnation, 0, epoch, number, number - 1 if epoch else 0, (demand,)
    )
    (grant,) = shard.on_request(request, TAKEOVER_S).grants
    return grant.share


def propose(ownership: ShardOwnership, now: float, owner_incarnation: int) -> OwnerRecord | None:
    """Returns the record that a candidate appends which knows an incarnation of the owner."""
    return ownership.next_record(
        now, is_candidate=True, find_incarnation=lambda _: owner_incarnation
    )


def find_unknown(shard: QuotaShard) -> float:
    """Returns what the owner deducts for unreported shares, in requests per second."""
    assert shard.ledger is not None
    return shard.ledger.deducted_rates.unknown


class EarlierSharesTest(unittest.TestCase):
    def test_shares_of_processes_that_have_ended_are_not_deducted(self) -> None:
        shard = acquire()
        self.assertEqual(find_unknown(shard), 70.0)
        shard.observe_restarts({"daemon-2": 21, "daemon-3": 31}.get, TAKEOVER_S)
        self.assertEqual(find_unknown(shard), 0.0)

    def test_the_share_of_a_listed_process_that_may_be_running_is_deducted(self) -> None:
        shard = acquire()
        shard.observe_restarts({"daemon-2": 21, "daemon-3": 30}.get, TAKEOVER_S)
        self.assertEqual(find_unknown(shard), 20.0)

    def test_no_more_than_all_shares_can_be_is_deducted(self) -> None:
        holder = ShareHolder("daemon-2", 20, {"baker": QuotaShare(1_000_000, 4)})
        self.assertEqual(find_unknown(acquire(holders=(holder,))), 90.0)

    def test_a_share_that_was_reported_is_all_that_is_booked(self) -> None:
        shard = acquire()
        shard.observe_restarts({"daemon-2": 21, "daemon-3": 30}.get, TAKEOVER_S)
        ask(shard, HOLDERS[1], 1, share=SHARE)
        self.assertEqual(find_unknown(shard), 10.0)
        ask(shard, HOLDERS[1], 2, share=SHARE, is_answered=True)
        self.assertEqual(find_unknown(shard), 0.0)

    def test_one_request_does_not_prove_that_a_process_holds_no_other_share(self) -> None:
        shard = acquire(holders=HOLDERS[:1])
        ask(shard, HOLDERS[0], 1)
        self.assertEqual(find_unknown(shard), 50.0)

    def test_the_share_of_a_daemon_that_has_restarted_without_demand_is_not_deducted(self) -> None:
        shard = acquire(holders=HOLDERS[:1])
        assert shard.ledger is not None
        ask(shard, HOLDERS[0], 1, share=SHARE)
        self.assertGreater(shard.ledger.deducted_rates.silent, 0.0)
        shard.observe_restarts({"daemon-2": 21}.get, TAKEOVER_S)
        self.assertEqual(shard.ledger.deducted_rates.silent, 0.0)

    def test_unlisted_shares_are_deducted_until_they_have_ended(self) -> None:
        shard = acquire(lists_holders=False)
        end = GRANTING_S + SHARE_LIFETIME_S
        now = TAKEOVER_S
        while now < end:
            shard.on_appended(OwnerRecord("daemon-1", 4), shard.ownership.end_offset or 0, now, now)
            shard.observe_restarts(lambda _: 99, now)
            self.assertEqual(find_unknown(shard), 90.0)
            self.assertIsNone(shard.next_holders(now))
            now += 2.0


class HolderListTest(unittest.TestCase):
    def test_a_daemon_is_listed_in_the_store_before_it_is_assigned_a_share(self) -> None:
        shard = acquire(holders=())
        self.assertEqual(ask(shard, NEWCOMER, 1), NO_SHARE)
        record = shard.next_holders(TAKEOVER_S)
        assert record is not None
        self.assertEqual([each.name for each in record.holders], ["daemon-4"])
        self.assertEqual(ask(shard, NEWCOMER, 2, is_answered=True), NO_SHARE)
        shard.on_holders_appended(record, 9, TAKEOVER_S)
        share = ask(shard, NEWCOMER, 3, is_answered=True)
        self.assertGreater(share.rate, 0)
        self.assertLessEqual(share.rate, record.holders[0].shares["baker"].rate)
        self.assertLessEqual(share.burst, record.holders[0].shares["baker"].burst)

    def test_a_list_keeps_the_shares_of_processes_that_have_not_reported(self) -> None:
        shard = acquire()
        ask(shard, NEWCOMER, 1)
        record = shard.next_holders(TAKEOVER_S)
        assert record is not None
        left = {each.name: (each.shares, each.valid_ms / 1000) for each in record.holders}
        for holder in HOLDERS:
            shares, left_s = left[holder.name]
            self.assertEqual(shares, holder.shares)
            self.assertGreaterEqual(left_s, GRANTING_S + SHARE_LIFETIME_S - TAKEOVER_S)

    def test_a_process_left_out_of_a_list_whose_reply_was_lost_is_assigned_no_share(self) -> None:
        shard = acquire()
        shard.observe_restarts({"daemon-2": 21, "daemon-3": 31}.get, TAKEOVER_S)
        self.assertIsNotNone(shard.next_holders(TAKEOVER_S))
        self.assertEqual(ask(shard, HOLDERS[0], 1), NO_SHARE)

    def test_no_more_shares_are_listed_than_a_record_can_hold(self) -> None:
        holders = ShareHolders(None)
        processes = [DaemonProcess(f"daemon-{n}", 1) for n in range(MAX_LISTED_SHARES + 100)]
        for process in processes:
            holders.limit(process, "baker", SHARE, NO_SHARE)
        record = holders.make_record(1, {process: {} for process in processes}, 0.0)
        self.assertEqual(len(record.holders), MAX_LISTED_SHARES)
        holders.on_recorded(record)
        self.assertEqual(holders.limit(processes[-1], "baker", SHARE, NO_SHARE), NO_SHARE)
        self.assertFalse(holders.is_record_due(RECORD_INTERVAL_S))

    def test_takeovers_do_not_prolong_the_shares_of_a_process_that_is_not_heard_from(self) -> None:
        holders = (ShareHolder("daemon-2", 20, {"baker": SHARE}, valid_ms=5000),)
        shard = acquire(holders=holders)
        shard.observe_restarts(lambda _: 0, TAKEOVER_S + 0.9)
        self.assertEqual(find_unknown(shard), 10.0)
        shard.observe_restarts(lambda _: 0, 5.0 + CLOCK_MARGIN_S)
        self.assertEqual(find_unknown(shard), 0.0)

    def test_a_process_listed_with_a_time_is_assigned_nothing_until_it_is_listed_again(
        self,
    ) -> None:
        holder = ShareHolder("daemon-2", 20, {"baker": SHARE}, valid_ms=5000)
        shard = acquire(holders=(holder,))
        self.assertEqual(ask(shard, holder, 1, share=SHARE), NO_SHARE)
        self.assertEqual(ask(shard, holder, 2, share=NO_SHARE, is_answered=True), NO_SHARE)
        record = shard.next_holders(TAKEOVER_S)
        assert record is not None
        self.assertEqual([each.valid_ms for each in record.holders], [0])
        shard.on_holders_appended(record, 9, TAKEOVER_S)
        self.assertGreater(ask(shard, holder, 3, is_answered=True).rate, 0)

    def test_a_process_that_reports_while_it_is_listed_with_a_time_is_assigned_nothing(
        self,
    ) -> None:
        shard = acquire(holders=HOLDERS[:1])
        ask(shard, NEWCOMER, 1)
        shard.set_plans(make_plans(200.0), TAKEOVER_S)
        ask(shard, NEWCOMER, 2)
        self.assertIsNotNone(shard.next_holders(TAKEOVER_S))
        self.assertEqual(ask(shard, HOLDERS[0], 1, share=SHARE), NO_SHARE)

    def test_a_list_whose_reply_was_lost_is_written_again(self) -> None:
        shard = acquire(holders=())
        ask(shard, NEWCOMER, 1)
        self.assertIsNotNone(shard.next_holders(TAKEOVER_S))
        self.assertIsNotNone(shard.next_holders(TAKEOVER_S + RECORD_INTERVAL_S))

    def test_a_renewal_says_that_holders_are_listed_once_they_are(self) -> None:
        shard = acquire(lists_holders=False)
        assert shard.ledger is not None
        shard.ledger.observe_restarts(lambda _: 0, 100.0)
        record = shard.ledger.next_holders(100.0)
        assert record is not None
        shard.on_holders_appended(record, 9, TAKEOVER_S)
        renewal = shard.ownership.next_record(TAKEOVER_S + 1.0, is_candidate=True)
        self.assertEqual(renewal, OwnerRecord("daemon-1", 4, lists_holders=True, incarnation=10))

    def test_an_unreadable_list_counts_as_unknown_holders(self) -> None:
        shard = QuotaShard("daemon-1", 10, 0, BOUNDS.window_s)
        shard.set_plans(make_plans(100.0), 0.0)
        earlier = OwnerRecord("daemon-9", 3, lists_holders=True)
        shard.ownership.on_read((HoldersRecord(3, ()), earlier), 8, 0.0)
        shard.ownership.on_unreadable_holders()
        record = shard.ownership.next_record(TAKEOVER_S, is_candidate=True)
        assert record is not None
        self.assertFalse(record.lists_holders)
        shard.on_appended(record, 8, TAKEOVER_S, TAKEOVER_S)
        self.assertEqual(find_unknown(shard), 90.0)

    def test_an_unreadable_list_is_rejected(self) -> None:
        for value in (b"", b"{}", b"[" * 100_000, b'{"holders_epoch":1,"holders":[["a",1]]}'):
            with self.subTest(value=value[:20]), self.assertRaises(WireError):
                decode_holders(value)


class EndedOwnerTest(unittest.TestCase):
    def test_an_owner_that_has_restarted_is_followed_after_one_lease(self) -> None:
        for name in ("daemon-1", "daemon-9"):
            with self.subTest(name=name):
                ownership = ShardOwnership(name, 10)
                record = OwnerRecord("daemon-9", 3, lists_holders=True, incarnation=90)
                ownership.on_read((record,), 5, 0.0)
                self.assertIsNone(propose(ownership, 0.9, 90))
                self.assertIsNone(propose(ownership, 1.0, 91))
                self.assertIsNone(propose(ownership, 0.9 + LEASE_S, 91))
                following = OwnerRecord(name, 4, lists_holders=True, incarnation=10)
                self.assertEqual(propose(ownership, 1.0 + LEASE_S, 91), following)

    def test_an_owner_that_may_be_running_is_waited_for(self) -> None:
        for incarnation, known in ((90, 90), (90, 0), (0, 91)):
            with self.subTest(incarnation=incarnation, known=known):
                ownership = ShardOwnership("daemon-1", 10)
                ownership.on_read((OwnerRecord("daemon-9", 3, incarnation=incarnation),), 5, 0.0)
                self.assertIsNone(propose(ownership, TAKEOVER_S - 0.1, known))

    def test_the_end_of_an_owner_says_nothing_of_the_next_one_that_was_started_with_it(
        self,
    ) -> None:
        ownership = ShardOwnership("daemon-1", 10)
        ownership.on_read((OwnerRecord("daemon-8", 3, incarnation=90),), 5, 0.0)
        self.assertIsNone(propose(ownership, 0.1, 91))
        ownership.on_read((OwnerRecord("daemon-9", 4, incarnation=90),), 6, 1.1)
        self.assertIsNone(propose(ownership, 1.1 + TAKEOVER_S - 0.1, 90))

    def test_a_daemon_that_lost_its_ownership_waits_for_its_own_tokens(self) -> None:
        shard = acquire()
        shard.restart(11)
        self.assertIsNone(propose(shard.ownership, TAKEOVER_S + 0.1, 11))
        self.assertIsNone(propose(shard.ownership, TAKEOVER_S + LEASE_S, 11))
        self.assertIsNotNone(propose(shard.ownership, TAKEOVER_S + 0.1 + LEASE_S, 11))

    def test_an_append_from_before_a_later_incarnation_gives_no_ownership(self) -> None:
        ownership = ShardOwnership("daemon-1", 10)
        ownership.on_read((), 0, 0.0)
        record = propose(ownership, 0.0, 0)
        assert record is not None
        ownership.restart(11)
        ownership.on_appended(record, 0, 0.0, 0.1)
        self.assertFalse(ownership.may_grant(0.1))

    def test_an_owner_that_others_take_for_a_later_process_stops_granting(self) -> None:
        shard = acquire()
        self.assertTrue(shard.ownership.may_grant(TAKEOVER_S))
        shard.restart(11)
        self.assertFalse(shard.ownership.may_grant(TAKEOVER_S))
