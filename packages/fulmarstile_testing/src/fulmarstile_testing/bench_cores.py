"""Cost of the decisions on the call path, and of claims at full load.

Run as `python -m fulmarstile_testing.bench_cores`. Times are wall-clock times of this process
with the garbage collector on; the claim loads run in virtual time.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from typing import TYPE_CHECKING, Final

from absl import app, flags
from hdrh.histogram import HdrHistogram

from fulmarstile_calls.admission import AdmissionSettings, FairAdmission, FifoAdmission
from fulmarstile_calls.balancing import (
    BalancerSettings,
    CallSample,
    RandomBalancer,
    RoundRobinBalancer,
    TwoChoicesBalancer,
)
from fulmarstile_calls.claims import ClaimSettings, ClaimTable, shard_of
from fulmarstile_calls.claims.batch import ClaimBatch, encode_batch
from fulmarstile_calls.quarantine import Quarantine, QuarantineSettings, request_fingerprint
from fulmarstile_calls.rate_limiter import RateLimiter
from fulmarstile_calls.request import RefusalReason
from fulmarstile_calls.retries import RetryBudgets, RetrySettings
from fulmarstile_config.document import Limit, RetryRule
from fulmarstile_platform.log import LogRecord
from fulmarstile_services.balancing import BalancingSettings, LeastWaitBalancer
from fulmarstile_services.upstream_notices import UpstreamNotices
from fulmarstile_testing.builders.calls import (
    EPOCH_MS,
    make_endpoint,
    make_key,
    make_pool,
    make_route,
    make_ticket,
)
from fulmarstile_testing.builders.services import make_member
from fulmarstile_testing.virtual_claims import ClaimFleet
from fulmarstile_wire.records import ClaimRecord, OutcomeRecord
from fulmarstile_wire.services import HopOutcome
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_calls.admission import Admission
    from fulmarstile_calls.balancing import Balancer

ROUNDS: Final = 50_000
"""Decisions timed for each line."""

BOOK_BATCHES: Final = 600
BATCH_CLAIMS: Final = 18

_SECONDS = flags.DEFINE_float("claim_seconds", 10.0, "Virtual time of each claim load.")
_INTERVAL = flags.DEFINE_float("claim_interval", 0.1, "Shortest time between two appends.")
_SHARDS = flags.DEFINE_integer("claim_shards", 8, "Number of claim streams.")
_RATES = flags.DEFINE_list("claim_rates", ["100", "350", "700", "1400"], "Claims a second.")


def time_decision(name: str, decide: Callable[[int], object]) -> None:
    """Times a decision and prints its mean, in microseconds.

    Args:
        name: Name of the line.
        decide: Decision, called with the number of the round.
    """
    for number in range(ROUNDS // 10):
        decide(number)
    started_at = time.perf_counter()
    for number in range(ROUNDS // 10, ROUNDS // 10 + ROUNDS):
        decide(number)
    elapsed_s = time.perf_counter() - started_at
    print(f"{name:<52} {elapsed_s / ROUNDS * 1e6:8.2f} us")


def bench_balancer(name: str, balancer: Balancer, endpoint_count: int) -> None:
    """Times one call through a balancer: choice, start and end."""
    zones = ("be-bru", "be-ant", "be-lie")
    balancer.replace_endpoints(
        [make_endpoint(n, availability_zone=zones[n % 3]) for n in range(endpoint_count)], 0.0
    )
    pool = make_pool()
    sample = CallSample(0.02)

    def decide(number: int) -> None:
        now = number / 389
        endpoint = balancer.choose(pool, now)
        if endpoint is not None:
            balancer.on_started(endpoint.daemon_id, now)
            balancer.on_finished(endpoint.daemon_id, sample, now + 0.02)

    time_decision(f"{name}, {endpoint_count} upstreams", decide)


def bench_choice(upstreams: int) -> None:
    """Times the choice of an upstream for a call between services."""
    zones = [f"zone-{number}" for number in range(5)]
    members = tuple(
        make_member(f"daemon-{number}", availability_zone=zones[number % len(zones)])
        for number in range(upstreams)
    )
    balancer = LeastWaitBalancer(BalancingSettings(), zones[0], random.Random(1), UpstreamNotices())
    outcome = HopOutcome(Verdict.RAN, reached_upstream=True, service_ms=50.0, slots=4, running=2)
    for member in members:
        balancer.on_sent(member, 0.0)
        balancer.on_ended(member, outcome, False, 0.0)

    def decide(number: int) -> None:
        balancer.choose(members, 0, number / 389, frozenset(), 2, 0.4)

    time_decision(f"least wait of a sample, {upstreams} upstreams", decide)


def bench_admission(name: str, admission: Admission, overload: bool) -> None:
    """Times one request through admission, with free slots or with a full queue."""
    running: list[int] = []

    def decide(number: int) -> None:
        now = number / 389
        ticket = make_ticket(number, customer=f"customer-{number % 20}", deadline_s=now + 5.0)
        effects = admission.on_arrival(ticket, now)
        running.extend(effect.ticket_id for effect in effects if not hasattr(effect, "refusal"))
        if not overload or number % 3 == 0:
            effects = admission.on_finished(running.pop(0), now)
            running.extend(e.ticket_id for e in effects if not hasattr(e, "refusal"))

    time_decision(f"{name}, {'full queue' if overload else 'free slots'}", decide)


def bench_checks() -> None:
    """Times the other checks of a call."""
    rule = RetryRule("standard", attempts=3)
    route = make_route(
        limit=Limit("standard", calls_per_s=1e6, burst=1000), retry=rule, idempotent=True
    )
    limiter = RateLimiter()
    time_decision("rate limit", lambda number: limiter.check(route, number / 389))
    budgets = RetryBudgets(RetrySettings(), random.Random(1))

    def make_first_attempt(number: int) -> None:
        budgets.on_call(route, budgets.make_first_attempt("1", "1"), number / 389)

    time_decision("retry budget of a call", make_first_attempt)
    attempt = budgets.make_first_attempt()

    def decide(number: int) -> None:
        reason = RefusalReason.QUEUE_FULL
        budgets.decide_retry(route, attempt, Verdict.NOT_RUN, reason, number / 389, 5.0)

    time_decision("retry decision", decide)
    quarantine = Quarantine(QuarantineSettings())

    def note_completed(number: int) -> None:
        fingerprint = request_fingerprint("laundry", "POST", "/reserve", b"0123456789abcdef")
        quarantine.on_completed(fingerprint, number / 389)

    time_decision("fingerprint and quarantine", note_completed)


def bench_book() -> None:
    """Measures time and memory for each key of a claim book."""
    draw = random.Random(1)
    records = [_make_record(draw, offset) for offset in range(BOOK_BATCHES)]
    tracemalloc.start()
    book = ClaimTable(ClaimSettings())
    for record in records:
        book.fold(record)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    timed = ClaimTable(ClaimSettings())
    started_at = time.perf_counter()
    for record in records:
        timed.fold(record)
    elapsed_s = time.perf_counter() - started_at
    count = book.key_count
    print(f"{'claim and outcome folded':<52} {elapsed_s / count * 1e6:8.2f} us")
    print(f"{'memory of a key with a 200-byte answer':<52} {held_bytes / count:8.0f} bytes")


def _make_record(draw: random.Random, offset: int) -> LogRecord:
    appended_at_ms = EPOCH_MS + 10_000 + offset * 100
    keys = [make_key(draw, appended_at_ms) for _ in range(BATCH_CLAIMS)]
    claims = [
        ClaimRecord("laundry", key, f"daemon-{n:03}/{EPOCH_MS}/{offset}", draw.randbytes(16))
        for n, key in enumerate(keys)
    ]
    outcomes = [
        OutcomeRecord(c.customer, c.key, c.claim_id, False, 201, "application/json", bytes(200))
        for c in claims
    ]
    first = encode_batch(ClaimBatch((), tuple(claims)))
    both = encode_batch(ClaimBatch(tuple(outcomes), tuple(claims)))
    payload = both if offset else first
    return LogRecord(offset, payload, appended_at_ms)


def bench_claims(claims_per_s: float, duration_s: float) -> None:
    """Measures appends and added latency of a claim load in virtual time."""
    settings = ClaimSettings(shards=_SHARDS.value, append_interval_s=_INTERVAL.value)
    fleet = ClaimFleet(1, daemon_count=16, settings=settings)
    fleet.run(1.0)
    daemon_ids = sorted(fleet.daemons)
    before = fleet.log.appends
    end = fleet.time.now + duration_s
    at = fleet.time.now

    def make_call() -> None:
        fleet.call(fleet.random.choice(daemon_ids), fleet.make_key())

    while at < end:
        at += fleet.random.expovariate(claims_per_s)
        fleet.time.call_at(at, make_call)
    fleet.run(duration_s)
    appends_per_s = (fleet.log.appends - before) / duration_s
    fleet.run(3.0)
    histogram = HdrHistogram(1, 60_000_000, 3)
    for call in fleet.calls:
        if call.won_at is not None:
            created_ms = int(call.key.replace("-", "")[:12], 16)
            waited_s = call.won_at - (created_ms - EPOCH_MS) / 1000
            histogram.record_value(max(1, int(waited_s * 1e6)))
    won = histogram.get_total_count()
    print(
        f"{claims_per_s:6.0f} claims/s: {appends_per_s:6.1f} appends/s,"
        f" {claims_per_s / appends_per_s:5.1f} claims/append,"
        f" wait p50 {histogram.get_value_at_percentile(50) / 1000:6.1f} ms"
        f" p99 {histogram.get_value_at_percentile(99) / 1000:6.1f} ms,"
        f" won {won} of {len(fleet.calls)}"
    )


def main(_: list[str]) -> None:
    """Runs all measurements."""
    draw = random.Random(1)
    for count in (10, 40):
        settings = BalancerSettings()
        bench_balancer("two choices", TwoChoicesBalancer(settings, "be-bru", draw), count)
        bench_balancer("random choice", RandomBalancer(draw), count)
        bench_balancer("round robin", RoundRobinBalancer(), count)
    for count in (4, 36, 108, 720):
        bench_choice(count)
    limits = AdmissionSettings(slots=10, queue_limit=50, connections=130)
    for overload in (False, True):
        bench_admission("fair admission", FairAdmission(limits), overload)
        bench_admission("FIFO admission", FifoAdmission(limits), overload)
    bench_checks()
    keys = [make_key(draw, EPOCH_MS) for _ in range(100)]
    time_decision("shard of a key", lambda number: shard_of("laundry", keys[number % 100], 8))
    bench_book()
    for rate in _RATES.value:
        bench_claims(float(rate), _SECONDS.value)


if __name__ == "__main__":
    app.run(main)
