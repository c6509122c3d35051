"""Admission, balancing and retries against their baselines, in virtual time.

Run as `python -m fulmarstile_testing.bench_policies`. The same seed gives the same figures on
every machine.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from absl import app, flags

from fulmarstile_calls.admission import (
    AdmissionSettings,
    FairAdmission,
    FifoAdmission,
    UnboundedAdmission,
)
from fulmarstile_calls.balancing import (
    BalancerSettings,
    RandomBalancer,
    RoundRobinBalancer,
    TwoChoicesBalancer,
)
from fulmarstile_calls.retries import FixedRetries, RetryBudgets, RetrySettings
from fulmarstile_config.document import Priority, RetryRule
from fulmarstile_testing.builders.calls import make_pool
from fulmarstile_testing.virtual_chain import VirtualChain
from fulmarstile_testing.virtual_pool import VirtualInstance, VirtualPool
from fulmarstile_testing.virtual_upstream import Load, VirtualUpstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_calls.balancing import Balancer

ADMISSION_SECONDS: Final = 60
POOL_SECONDS: Final = 30
DAEMONS: Final = 8
FAILING: Final = 1 / 3
CAPACITY: Final = 500
"""Calls a second of ten slots at 20 ms a request."""

ZONES: Final = ("be-bru", "be-ant", "be-lie")

_SEED = flags.DEFINE_integer("seed", 1, "Seed of all randomness.")


def bench_admission() -> None:
    """Prints goodput, latency and refusals of loads on one upstream of ten slots."""
    others = [Load(name, 0.16 * CAPACITY) for name in "abcd"]
    cases = {
        "five customers at 0.8 of their share": [*others, Load("e", 0.16 * CAPACITY)],
        "one of them at 10 times its share": [*others, Load("e", 2 * CAPACITY)],
        "3 times overload, 1 s deadline": [Load(name, CAPACITY) for name in "abc"],
        "3 times overload, 60 ms deadline": [
            Load(name, CAPACITY, timeout_s=0.06) for name in "abc"
        ],
        "2 times overload, each refusal resent 5 times": [
            Load(name, CAPACITY / 2, retries=5) for name in "abcd"
        ],
        "critical calls and a flood of low ones": [
            Load("a", 0.2 * CAPACITY, priority=Priority.CRITICAL),
            Load("a", 2 * CAPACITY, priority=Priority.LOW),
        ],
        "low calls and a flood of critical ones": [
            Load("a", 2 * CAPACITY, priority=Priority.CRITICAL),
            Load("a", 0.2 * CAPACITY, priority=Priority.LOW),
        ],
    }
    settings = AdmissionSettings(slots=10, queue_limit=50, connections=130)
    for name, loads in cases.items():
        print(f"\n{name}")
        for admission_type in (FairAdmission, FifoAdmission, UnboundedAdmission):
            upstream = VirtualUpstream(admission_type(settings), _SEED.value)
            results = upstream.run(loads, ADMISSION_SECONDS)
            total = sum(result.good for result in results.values()) / ADMISSION_SECONDS
            parts = [
                f"{customer} {result.good / ADMISSION_SECONDS:.0f}/s"
                f" p99 {result.p99_s * 1000:.0f} ms"
                for customer, result in results.items()
            ]
            print(f"  {admission_type.__name__:<20} good {total:4.0f}/s: {', '.join(parts)}")


def bench_balancing() -> None:
    """Prints latency, failures and refusals of loads on pools of differing upstreams."""
    any_zone = make_pool(prefer_availability_zone=False)
    cases: dict[str, tuple[Callable[[int], VirtualInstance], int, float, bool]] = {
        "seven equal upstreams at 80%": (VirtualInstance, 7, 2800.0, False),
        "seven upstreams of 10 to 70 ms": (
            lambda n: VirtualInstance(n, service_s=0.01 * (n + 1)),
            7,
            1700.0,
            False,
        ),
        "six upstreams of 4, 10 and 20 slots": (
            lambda n: VirtualInstance(n, slots=(4, 10, 20)[n % 3]),
            6,
            2000.0,
            False,
        ),
        "two of six fail": (
            lambda n: VirtualInstance(n, failing=1.0 if n < 2 else 0.0),
            6,
            1000.0,
            False,
        ),
        "three zones at 20%": (_make_zoned, 6, 600.0, True),
        "three zones at 73%": (_make_zoned, 6, 2200.0, True),
    }
    for name, (make_instance, count, calls_per_s, zoned) in cases.items():
        print(f"\n{name}")
        for balancer_name, make_balancer in _balancers().items():
            pool = VirtualPool(
                [make_balancer(number) for number in range(DAEMONS)],
                [make_instance(number) for number in range(count)],
                _SEED.value,
                make_pool() if zoned else any_zone,
            )
            pool.run(calls_per_s, 5.0)
            pool.reset_counts()
            pool.run(calls_per_s, POOL_SECONDS)
            local = (pool.sent[0] + pool.sent[3]) / sum(pool.sent.values())
            zone = f", own zone {local:.0%}" if zoned else ""
            print(
                f"  {balancer_name:<14} p99 {pool.p99_s * 1000:4.0f} ms,"
                f" good {pool.good / POOL_SECONDS:5.0f}/s,"
                f" failed {pool.failed / POOL_SECONDS:4.0f}/s,"
                f" refused {pool.refused / POOL_SECONDS:4.0f}/s{zone}"
            )


def bench_retries() -> None:
    """Prints the attempts at the busiest hop of chains with a third of the attempts failing."""
    rule = RetryRule("standard", attempts=3, budget_percent=10.0)
    for before_run in (0.0, 0.5, 0.9):
        print(f"\na third fails, {before_run:.0%} of it before the request runs")
        for name, make_policy, depth, calls in (
            ("budgets", lambda: RetryBudgets(RetrySettings(), random.Random(1)), 17, 3000),
            ("three attempts", lambda: FixedRetries(3), 10, 50),
        ):
            chain = VirtualChain(depth, make_policy, rule, _SEED.value)
            chain.failing = FAILING
            chain.failing_before_run = before_run
            for _ in range(calls):
                chain.call()
            print(
                f"  {name:<14} depth {depth:2}: {max(chain.attempts) / calls:6.2f} attempts,"
                f" {max(chain.runs) / calls:6.2f} runs a call at the busiest hop"
            )


def _make_zoned(number: int) -> VirtualInstance:
    return VirtualInstance(number, availability_zone=ZONES[number % len(ZONES)])


def _balancers() -> dict[str, Callable[[int], Balancer]]:
    return {
        "two choices": lambda seed: TwoChoicesBalancer(
            BalancerSettings(), ZONES[0], random.Random(seed)
        ),
        "random": lambda seed: RandomBalancer(random.Random(seed)),
        "round robin": lambda _: RoundRobinBalancer(),
    }


def main(_: list[str]) -> None:
    """Runs all comparisons."""
    bench_admission()
    bench_balancing()
    bench_retries()


if __name__ == "__main__":
    app.run(main)
