"""The verdicts that callers get agree with what the upstream ran."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from dataclasses import dataclass, field, replace

import trio
import trio.testing
from loguru import logger

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.calls import (
    ClaimAnswered,
    ClaimGranted,
    ClaimRefused,
    StoredAnswer,
)
from fulmarstile_daemon.calls._call import make_refusal
from fulmarstile_testing.builders.call_proxies import (
    SERVICE,
    FakeContext,
    make_request,
    serve_daemon,
    serve_two_daemons,
)
from fulmarstile_testing.upstream_stand_in import StandInSettings
from fulmarstile_wire.verdict import Verdict

SEEDS = 12
CALLS = 60
IDLE_S = 0.05
"""Real idle time after which virtual time advances, in seconds."""
TARGETS = (("GET", "/slots"), ("POST", "/write"), ("GET", "/short"), ("POST", "/short"))


def setUpModule() -> None:  # noqa: N802
    logger.disable("fulmarstile_daemon.calls")


def tearDownModule() -> None:  # noqa: N802
    logger.enable("fulmarstile_daemon.calls")


@dataclass
class Outcomes:
    """Verdict of each answered call, and the ids of requests that may run at most once."""

    verdicts: dict[str, str] = field(default_factory=dict)
    at_most_once_ids: set[str] = field(default_factory=set)


class FakeClaims:
    """Grants each key once and stores the answers."""

    def __init__(self) -> None:
        self.held: set[str] = set()
        self.answers: dict[str, StoredAnswer | None] = {}

    async def claim(self, request):
        if answer := self.answers.get(request.key):
            return ClaimAnswered(answer)
        if request.key in self.held:
            reason = RefusalReason.KEY_IN_PROGRESS
            return ClaimRefused(make_refusal(reason, Verdict.MAY_HAVE_RUN))
        self.held.add(request.key)
        return ClaimGranted(request.key)

    def on_not_run(self, granted) -> None:
        self.held.discard(granted.claim_id)

    def on_answered(self, granted, answer) -> None:
        self.answers[granted.claim_id] = answer


async def call_at_random(daemons, rng: random.Random, number: int, outcomes: Outcomes) -> None:
    method, target = rng.choice(TARGETS)
    request_id = f"request-{number}"
    if target == "/write" or method == "POST":
        outcomes.at_most_once_ids.add(request_id)
    await trio.sleep(rng.random() * 0.2)
    delay_ms = rng.choice((0, 0, 2, 10, 400))
    large = rng.choice(("", "", f"&size={200_000}"))
    body = rng.choice((b"x", b"x" * 100_000)) if method == "POST" else b""
    request = make_request(
        f"{target}?delay_ms={delay_ms}{large}", method, body, {"X-Request-Id": request_id}
    )
    caller = await rng.choice(daemons).connect()
    disconnects = rng.random() < 0.1
    with trio.move_on_after(rng.random() * 0.02 if disconnects else 5):
        await caller.send(request)
        answer = await caller.receive(method)
        verdict = answer.verdict or ("RAN" if answer.status == 200 else "")
        outcomes.verdicts[request_id] = verdict
    await caller.close()


async def break_at_random(daemons, rng: random.Random) -> None:
    for _ in range(8):
        await trio.sleep(rng.random() * 0.05)
        rng.choice(daemons).upstream.break_connections()


class VerdictTest(unittest.TestCase):
    def test_not_run_verdicts_are_true_and_non_idempotent_calls_run_at_most_once(self) -> None:
        async def run(seed: int) -> Counter[str]:
            rng = random.Random(seed)
            outcomes = Outcomes()
            faults = StandInSettings("planning", "x", drop_rate=0.1, truncate_rate=0.1, seed=seed)
            async with serve_two_daemons(upstream=faults) as daemons:
                async with trio.open_nursery() as nursery:
                    for number in range(CALLS):
                        call_rng = random.Random(rng.random())
                        nursery.start_soon(call_at_random, daemons, call_rng, number, outcomes)
                    nursery.start_soon(break_at_random, daemons, rng)
                ran = Counter()
                for daemon in daemons:
                    ran.update(daemon.upstream.counts.executed)
                    self.assertEqual(daemon.proxy.counters.errors, 0)
                    self.assertLessEqual(daemon.upstream.counts.max_running, 10)
            for request_id, verdict in outcomes.verdicts.items():
                if verdict == "NOT_RUN":
                    self.assertEqual(ran[request_id], 0, request_id)
                elif verdict == "RAN":
                    self.assertGreater(ran[request_id], 0, request_id)
            for request_id in outcomes.at_most_once_ids:
                self.assertLessEqual(ran[request_id], 1, request_id)
            return Counter(outcomes.verdicts.values())

        seen = Counter()
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                seen.update(trio.run(run, seed))
        self.assertGreater(seen["RAN"], SEEDS)
        self.assertGreater(seen["MAY_HAVE_RUN"], SEEDS)

    def test_a_call_to_an_unreachable_upstream_is_refused_as_not_run(self) -> None:
        async def run() -> None:
            async with serve_daemon() as daemon:
                daemon.proxy.set_upstream("127.0.0.1:1", 10, 12)
                answer = await daemon.call(make_request("/write", "POST", b"x"))
                self.assertEqual((answer.status, answer.verdict), (503, "NOT_RUN"))
                self.assertEqual(answer.reason, "connect-failed")
                self.assertIn("retry-after", answer.headers)

        trio.run(run)

    def test_an_idempotent_call_is_retried_within_the_budget_and_another_is_not(self) -> None:
        async def run() -> None:
            faults = StandInSettings("planning", "x", drop_rate=1.0)
            async with serve_daemon(upstream=faults) as daemon:
                for target in ("/slots/1", "/slots/2", "/write/1", "/write/2"):
                    headers = {"X-Request-Id": target}
                    answer = await daemon.call(make_request(target, headers=headers))
                    self.assertEqual((answer.status, answer.verdict), (502, "MAY_HAVE_RUN"))
                executed = daemon.upstream.counts.executed
                expected = {"/slots/1": 1, "/slots/2": 2, "/write/1": 1, "/write/2": 1}
                self.assertEqual(executed, expected)

        trio.run(run)

    def test_a_call_that_is_itself_a_retry_is_not_retried(self) -> None:
        async def run() -> None:
            faults = StandInSettings("planning", "x", drop_rate=1.0)
            async with serve_daemon(upstream=faults) as daemon:
                headers = {"Fulmarstile-Attempt": "2", "Fulmarstile-Retry-Budget": "0"}
                await daemon.call(make_request("/slots", headers=headers))
                self.assertEqual(daemon.upstream.counts.total, 1)

        trio.run(run)

    def test_a_deadline_of_the_caller_cancels_the_exchange(self) -> None:
        async def run() -> None:
            async with serve_two_daemons() as (entry, serving):
                headers = {"Fulmarstile-Deadline-Ms": "50"}
                answer = await entry.call(make_request("/slots?delay_ms=100000", headers=headers))
                self.assertEqual((answer.status, answer.reason), (504, "timeout"))
                self.assertEqual(answer.verdict, "MAY_HAVE_RUN")
                await serving.upstream.wait_idle()
                self.assertEqual(serving.upstream.counts.cancelled, 1)

        trio.run(run)

    def test_a_rate_limited_customer_is_told_when_to_retry(self) -> None:
        async def run() -> None:
            async with serve_daemon() as daemon:
                first = await daemon.call(make_request("/limited"))
                second = await daemon.call(make_request("/limited"))
                self.assertEqual((first.status, second.status), (200, 429))
                self.assertEqual(second.verdict, "NOT_RUN")
                self.assertGreater(int(second.headers["retry-after"]), 0)
                self.assertEqual(daemon.upstream.counts.total, 1)

        trio.run(run)

    def test_requests_without_a_route_or_customer_are_refused(self) -> None:
        async def run() -> None:
            async with serve_daemon(context=FakeContext(default_customer="")) as daemon:
                answer = await daemon.call(make_request())
                self.assertEqual((answer.status, answer.reason), (400, "no-customer"))
                headers = {"Fulmarstile-Customer": "stranger"}
                answer = await daemon.call(make_request(headers=headers))
                self.assertEqual((answer.status, answer.reason), (404, "no-route"))
                self.assertEqual(daemon.upstream.counts.total, 0)

        trio.run(run)

    def test_a_forwarded_call_runs_on_no_upstream_of_another_service(self) -> None:
        async def run() -> None:
            async with serve_two_daemons() as (entry, serving):
                serving.proxy.set_upstream(serving.upstream.address, 10, 12, service="wallet")
                answer = await entry.call(make_request("/write", "POST", b"x"))
                self.assertEqual((answer.reason, answer.verdict), ("no-upstream", "NOT_RUN"))
                serving.proxy.set_upstream(serving.upstream.address, 10, 12, service=SERVICE)
                serving.proxy.replace_endpoints((replace(serving.endpoint, service="wallet"),))
                answer = await entry.call(make_request("/write", "POST", b"x"))
                self.assertEqual((answer.reason, answer.verdict), ("no-upstream", "NOT_RUN"))
                self.assertEqual(serving.upstream.counts.total, 0)

        trio.run(run)

    def test_a_call_that_waits_for_a_slot_runs_on_no_upstream_of_another_service(self) -> None:
        async def run() -> None:
            async with serve_daemon(slots=1) as daemon:
                first, waiting = await daemon.connect(), await daemon.connect()
                await first.send(make_request("/write?delay_ms=300", "POST", b"x"))
                while not daemon.upstream.counts.running:
                    await trio.sleep(0.005)
                await waiting.send(make_request("/write", "POST", b"x"))
                while not daemon.proxy.dump().upstream_queued:
                    await trio.sleep(0.005)
                daemon.proxy.set_upstream(daemon.upstream.address, 1, 12, service="wallet")
                answer = await waiting.receive()
                self.assertEqual((answer.reason, answer.verdict), ("no-upstream", "NOT_RUN"))
                self.assertEqual(daemon.upstream.counts.total, 1)

        trio.run(run)

    def test_timeouts_due_to_slow_callers_are_not_counted_as_upstream_failures(self) -> None:
        async def run() -> None:
            samples: list = []
            async with serve_two_daemons() as (entry, serving):
                balancer = entry.proxy._balancer
                balancer.on_finished = lambda _, sample, now: samples.append(sample)
                headers = {"Content-Length": "200000"}
                caller = await entry.connect()
                await caller.send(make_request("/short", "POST", headers=headers) + b"x" * 100_000)
                self.assertEqual((await caller.receive("POST")).reason, "timeout")
                caller = await entry.connect()
                await caller.send(make_request("/short?size=30000000"))
                while len(samples) < 2:
                    await trio.sleep(0.01)
                self.assertEqual(serving.upstream.counts.total, 2)
            self.assertEqual([sample.failed for sample in samples], [False, False])

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=IDLE_S))

    def run_silent_call(self, blocked_s: float) -> bool:
        """Returns whether a timed-out call is counted as a failure of the upstream.

        Args:
            blocked_s: Time for which the daemon itself is not scheduled during the call.
        """
        clock = trio.testing.MockClock(autojump_threshold=IDLE_S)

        async def run() -> bool:
            samples: list = []
            async with serve_daemon() as daemon:
                balancer = daemon.proxy._balancer
                balancer.on_finished = lambda _, sample, now: samples.append(sample)
                caller = await daemon.connect()
                await caller.send(make_request("/short?delay_ms=5000"))
                while not daemon.upstream.counts.running:
                    await trio.sleep(0.001)
                clock.jump(blocked_s)
                while not samples:
                    await trio.sleep(0.01)
            return samples[0].failed

        return trio.run(run, clock=clock)

    def test_a_timeout_is_counted_as_an_upstream_failure(self) -> None:
        self.assertTrue(self.run_silent_call(0.0))

    def test_a_timeout_due_to_scheduling_delay_is_not_counted_as_an_upstream_failure(self) -> None:
        self.assertFalse(self.run_silent_call(1.0))

    def test_a_quarantined_request_is_refused(self) -> None:
        async def run() -> None:
            async with serve_daemon() as daemon:
                caller = await daemon.connect()
                await caller.send(make_request("/write?delay_ms=100000", "POST", b"poison"))
                while not daemon.upstream.counts.running:
                    await trio.sleep(0.005)
                daemon.upstream.stop_listening()
                daemon.upstream.break_connections()
                answer = await caller.receive("POST")
                self.assertEqual(answer.verdict, "MAY_HAVE_RUN")
                while not daemon.context.crashes:
                    await trio.sleep(0.005)
                daemon.context.quarantined.update(daemon.context.crashes[0])
                answer = await daemon.call(
                    make_request("/write?delay_ms=100000", "POST", b"poison")
                )
                self.assertEqual((answer.reason, answer.verdict), ("quarantined", "NOT_RUN"))
                answer = await daemon.call(make_request("/write", "POST", b"sound"))
                self.assertEqual(answer.reason, "connect-failed")

        trio.run(run)


class AtMostOnceTest(unittest.TestCase):
    def test_a_claimed_call_runs_once_and_its_answer_is_replayed(self) -> None:
        async def run() -> None:
            context = FakeContext(claims=FakeClaims())
            async with serve_daemon(context=context) as daemon:
                request = make_request("/charge", "POST", b"5", {"Idempotency-Key": "k"})
                answers = [await daemon.call(request) for _ in range(3)]
                self.assertEqual([answer.status for answer in answers], [200] * 3)
                self.assertEqual(len({answer.body for answer in answers}), 1)
                self.assertEqual(daemon.upstream.counts.total, 1)

        trio.run(run)

    def test_a_claimed_call_continues_after_its_caller_disconnects_and_its_answer_is_stored(
        self,
    ) -> None:
        async def run() -> None:
            context = FakeContext(claims=FakeClaims())
            async with serve_daemon(context=context) as daemon:
                target = "/charge?delay_ms=200"
                request = make_request(target, "POST", b"5", {"Idempotency-Key": "k"})
                caller = await daemon.connect()
                await caller.send(request)
                while not daemon.upstream.counts.running:
                    await trio.sleep(0.005)
                await caller.close()
                while not context.claims.answers:
                    await trio.sleep(0.005)
                answer = await daemon.call(request)
                self.assertEqual(answer.status, 200)
                self.assertEqual(daemon.upstream.counts.total, 1)

        trio.run(run)

    def test_a_complete_answer_too_large_to_store_counts_as_completed(self) -> None:
        async def run() -> None:
            context = FakeContext(claims=FakeClaims())
            async with serve_daemon(context=context) as daemon:
                for number, query in enumerate(("size=300000", "size=300000&chunked=1")):
                    headers = {"Idempotency-Key": f"k{number}"}
                    request = make_request(f"/charge?{query}", "POST", b"5", headers)
                    answer = await daemon.call(request)
                    self.assertEqual((answer.status, len(answer.body)), (200, 300_000))
                    answer = await daemon.call(request)
                    self.assertEqual((answer.status, answer.verdict), (409, "RAN"))
                    self.assertEqual(answer.reason, "key-completed")
                self.assertEqual(daemon.upstream.counts.total, 2)

        trio.run(run)

    def test_a_large_answer_that_is_cut_off_does_not_count_as_completed(self) -> None:
        async def run() -> None:
            context = FakeContext(claims=FakeClaims())
            async with serve_daemon(context=context) as daemon:
                target = "/charge?size=300000&truncate=1"
                request = make_request(target, "POST", b"5", {"Idempotency-Key": "k"})
                self.assertFalse((await daemon.call(request)).complete)
                self.assertEqual(context.claims.answers, {"k": None})

        trio.run(run)

    def test_a_claim_is_released_only_if_the_call_did_not_run(self) -> None:
        async def run() -> None:
            context = FakeContext(claims=FakeClaims())
            faults = StandInSettings("planning", "x", drop_rate=1.0)
            async with serve_daemon(context=context, upstream=faults) as daemon:
                address = daemon.upstream.address
                request = make_request("/charge", "POST", b"5", {"Idempotency-Key": "k"})
                daemon.proxy.set_upstream("127.0.0.1:1", 10, 12)
                self.assertEqual((await daemon.call(request)).verdict, "NOT_RUN")
                self.assertEqual(context.claims.held, set())
                daemon.proxy.set_upstream(address, 10, 12)
                self.assertEqual((await daemon.call(request)).verdict, "MAY_HAVE_RUN")
                self.assertEqual((await daemon.call(request)).reason, "key-in-progress")
                self.assertEqual(daemon.upstream.counts.total, 1)

        trio.run(run)

    def test_a_claim_is_not_released_when_a_stop_ends_its_running_call(self) -> None:
        async def run() -> None:
            context = FakeContext(claims=FakeClaims())
            async with serve_daemon(context=context) as daemon:
                target = "/charge?delay_ms=60000"
                caller = await daemon.connect()
                await caller.send(make_request(target, "POST", b"5", {"Idempotency-Key": "k"}))
                while not daemon.upstream.counts.running:
                    await trio.sleep(0.01)
                daemon.proxy.begin_draining()
                await daemon.proxy.terminate_calls()
                self.assertEqual((await caller.receive("POST")).verdict, "MAY_HAVE_RUN")
                self.assertEqual(context.claims.answers, {"k": None})

        trio.run(run)

    def test_a_call_without_key_or_claims_is_refused(self) -> None:
        async def run() -> None:
            async with serve_daemon() as daemon:
                answer = await daemon.call(make_request("/charge", "POST", b"5"))
                self.assertEqual((answer.reason, answer.verdict), ("key-missing", "NOT_RUN"))
                headers = {"Idempotency-Key": "k"}
                answer = await daemon.call(make_request("/charge", "POST", b"5", headers))
                self.assertEqual((answer.reason, answer.verdict), ("log-unavailable", "NOT_RUN"))
                self.assertEqual(daemon.upstream.counts.total, 0)

        trio.run(run)

    def test_an_at_most_once_call_whose_body_is_too_large_to_compare_is_refused(self) -> None:
        async def run() -> None:
            context = FakeContext(claims=FakeClaims())
            async with serve_daemon(context=context) as daemon:
                headers = {"Idempotency-Key": "k", "Expect": "100-continue"}
                answer = await daemon.call(make_request("/charge", "POST", b"x" * 100_000, headers))
                self.assertEqual((answer.status, answer.verdict), (413, "NOT_RUN"))
                answer = await daemon.call(make_request("/charge", "POST", b"5", headers))
                self.assertEqual(answer.status, 200)
                self.assertEqual(daemon.upstream.counts.total, 1)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
