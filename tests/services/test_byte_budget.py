"""Messages share a bounded memory; when it is full, the largest message is dropped."""

from __future__ import annotations

import unittest
from contextlib import ExitStack

import trio
from hypothesis import given
from hypothesis import strategies as st

from fulmarstile_daemon.services._byte_budget import Allocation, ByteBudget
from fulmarstile_http.transfers import Transfer

LIMIT = 1_000


class ByteBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = ByteBudget(LIMIT)
        self.cut: list[str] = []

    def open(self, name: str, size: int):
        allocation = self.budget.open(lambda: self.cut.append(name))
        self.assertTrue(allocation.try_grow(size))
        return allocation

    def test_the_largest_message_is_dropped_in_favour_of_a_small_one(self) -> None:
        self.open("large", 500)
        self.open("middle", 450)
        small = self.budget.open(lambda: self.cut.append("small"))
        self.assertTrue(small.try_grow(200))
        self.assertEqual(self.cut, ["large"])

    def test_the_largest_message_itself_gets_no_more_memory(self) -> None:
        large = self.open("large", 500)
        self.open("other", 400)
        self.assertFalse(large.try_grow(1))
        self.assertEqual(self.cut, [])

    def test_a_dropped_message_gets_no_more_memory(self) -> None:
        large = self.open("large", 500)
        self.open("middle", 450)
        self.open("small", 100)
        self.assertFalse(large.try_grow(1))

    def test_a_complete_answer_is_held_even_if_the_memory_is_full(self) -> None:
        with self.budget.allocate() as allocation:
            allocation.grow(2 * LIMIT)
            self.assertEqual(self.budget.used_bytes, 2 * LIMIT)
        self.assertEqual(self.budget.used_bytes, 0)

    def test_memory_is_scarce_while_answers_hold_more_than_half_of_it(self) -> None:
        with self.budget.allocate() as allocation:
            allocation.grow(LIMIT // 2)
            self.assertFalse(self.budget.is_scarce)
            allocation.grow(1)
            self.assertTrue(self.budget.is_scarce)
        self.assertFalse(self.budget.is_scarce)

    def test_memory_returned_after_the_release_is_not_counted_twice(self) -> None:
        allocation = self.open("ended", 300)
        self.budget.release(allocation)
        allocation.shrink(300)
        self.assertEqual(self.budget.used_bytes, 0)

    def test_requests_of_callers_leave_memory_for_answers(self) -> None:
        self.assertTrue(self.budget.try_reserve_for_caller(LIMIT // 2))
        self.assertFalse(self.budget.try_reserve_for_caller(1))
        self.open("answer", LIMIT // 2)

    def test_a_small_answer_finds_memory_although_requests_have_taken_all_they_can(self) -> None:
        # Without it, the answer of an upstream that has done its work was dropped (502).
        budget = ByteBudget(1_000_000)
        while budget.open().try_grow(20_000):
            pass
        while budget.try_reserve_for_caller(1_000):
            pass
        for _ in range(5):
            self.assertTrue(budget.open().try_grow(9_000))
        self.assertLessEqual(budget.used_bytes, 1_000_000)

    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(1, 600)), max_size=60))
    def test_no_order_of_messages_exceeds_the_bound(self, steps: list[tuple[int, int]]) -> None:
        budget = ByteBudget(LIMIT)
        holdings = [budget.open(lambda: None) for _ in range(6)]
        for number, size in steps:
            before = holdings[number].size
            if not holdings[number].try_grow(size):
                self.assertIn(holdings[number].size, (0, before))
            self.assertLessEqual(budget.used_bytes, LIMIT)
            self.assertEqual(budget.used_bytes, sum(each.size for each in holdings))
        for holding in holdings:
            budget.release(holding)
            budget.release(holding)
        self.assertEqual(budget.used_bytes, 0)

    def test_answers_that_wait_from_the_same_moment_do_not_exceed_twice_the_bound(self) -> None:
        async def run() -> None:
            dropped = []
            with ExitStack() as stack:
                for number in range(20):
                    allocation = stack.enter_context(self.budget.allocate())
                    allocation.grow(LIMIT // 3)

                    def drop(number: int = number, allocation: Allocation = allocation) -> None:
                        dropped.append(number)
                        allocation.shrink(allocation.size)

                    transfer = Transfer(lambda each=allocation: each.size, drop)
                    stack.enter_context(self.budget.transfers.track(transfer))
                    self.assertLessEqual(self.budget.used_bytes, 2 * LIMIT)
            self.assertEqual(dropped, sorted(dropped))
            self.assertEqual(self.budget.used_bytes, 0)

        trio.run(run)
