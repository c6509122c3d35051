"""The operators' page documents every refusal as the proxy sends it."""

from __future__ import annotations

import re
import unittest
from contextlib import asynccontextmanager
from pathlib import Path

import trio
from loguru import logger

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.calls import CallSettings
from fulmarstile_testing.builders.call_proxies import (
    MESH_KEY,
    FakeContext,
    RawAnswer,
    make_request,
    serve_daemon,
    serve_two_daemons,
)
from fulmarstile_testing.upstream_stand_in import StandInSettings

PAGE = Path(__file__).parents[2] / "docs" / "operators" / "what-callers-are-told.md"
CHARGE = make_request("/charge", "POST", b"5", {"Idempotency-Key": "k"})
SLOW = make_request("/write?delay_ms=300", "POST", b"x")


def setUpModule() -> None:  # noqa: N802
    logger.disable("fulmarstile_daemon.calls")


def tearDownModule() -> None:  # noqa: N802
    logger.enable("fulmarstile_daemon.calls")


def read_page() -> dict[str, tuple[set[str], set[str]]]:
    """Returns the statuses and verdicts of each reason on the page."""
    rows: dict[str, tuple[set[str], set[str]]] = {}
    for line in PAGE.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == 4 and re.fullmatch(r"`[a-z-]+`", cells[0]):
            statuses = set(re.findall(r"\d{3}", cells[1]))
            rows[cells[0].strip("`")] = (statuses, set(re.findall(r"`([A-Z_]+)`", cells[2])))
    return rows


@asynccontextmanager
async def serve_saturated(queue_limit: int):
    """Serves a daemon whose upstream has one slot, which is occupied."""
    settings = CallSettings(MESH_KEY, drain_announce_s=0.0, queue_limit=queue_limit)
    async with serve_daemon(settings=settings, slots=1) as daemon:
        first = await daemon.connect()
        await first.send(SLOW)
        while not daemon.upstream.counts.running:
            await trio.sleep(0.005)
        yield daemon


class PageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.page = read_page()
        self.seen: set[str] = set()

    def _check_refusal(
        self, answer: RawAnswer, reason: str, verdict: str, retry: bool = False
    ) -> None:
        with self.subTest(reason=reason, verdict=verdict):
            self.assertEqual((answer.reason, answer.verdict), (reason, verdict))
            statuses, verdicts = self.page[reason]
            self.assertIn(str(answer.status), statuses)
            self.assertIn(verdict, verdicts)
            self.assertEqual("retry-after" in answer.headers, retry)

    def test_every_reason_is_on_the_page(self) -> None:
        self.assertEqual(set(self.page), {reason.value for reason in RefusalReason})

    def test_refusals_before_a_request_runs(self) -> None:
        async def run() -> None:
            async with serve_daemon(context=FakeContext(default_customer="")) as daemon:
                self._check_refusal(await daemon.call(make_request()), "no-customer", "NOT_RUN")
            async with serve_daemon() as daemon:
                stranger = make_request(headers={"Fulmarstile-Customer": "stranger"})
                self._check_refusal(await daemon.call(stranger), "no-route", "NOT_RUN")
                daemon.context.starting_customers.add("stranger")
                self._check_refusal(await daemon.call(stranger), "not-ready", "NOT_RUN", retry=True)
                self._check_refusal(
                    await daemon.call(make_request("/a/../b")), "bad-request", "NOT_RUN"
                )
                large = make_request(headers={"X": "x" * 40_000})
                self._check_refusal(await daemon.call(large), "bad-request", "NOT_RUN")
                coded = make_request(headers={"Transfer-Encoding": "gzip"})
                self._check_refusal(await daemon.call(coded), "bad-request", "NOT_RUN")
                await daemon.call(make_request("/limited"))
                limited = await daemon.call(make_request("/limited"))
                self._check_refusal(limited, "rate-limited", "NOT_RUN", retry=True)
                daemon.proxy.set_upstream("127.0.0.1:1", 10, 12)
                unreachable = await daemon.call(make_request("/write"))
                self._check_refusal(unreachable, "connect-failed", "NOT_RUN", retry=True)
                daemon.proxy.replace_endpoints(())
                none = await daemon.call(make_request())
                self._check_refusal(none, "no-upstream", "NOT_RUN", retry=True)
                daemon.context.is_quarantined = lambda fingerprint: True
                self._check_refusal(await daemon.call(make_request()), "quarantined", "NOT_RUN")
                caller = await daemon.connect()
                await caller.send(make_request())
                await caller.receive()
                daemon.proxy.begin_draining()
                await caller.send(make_request())
                self._check_refusal(await caller.receive(), "draining", "NOT_RUN", retry=True)

        trio.run(run)

    def test_refusals_of_a_saturated_upstream(self) -> None:
        async def run() -> None:
            async with serve_saturated(queue_limit=0) as daemon:
                full = await daemon.call(make_request("/write"))
                self._check_refusal(full, "queue-full", "NOT_RUN", retry=True)
            async with serve_saturated(queue_limit=10) as daemon:
                late = make_request("/write", headers={"Fulmarstile-Deadline-Ms": "50"})
                self._check_refusal(await daemon.call(late), "deadline", "NOT_RUN")

        trio.run(run)

    def test_failures_while_a_request_runs(self) -> None:
        async def run() -> None:
            async with serve_two_daemons(StandInSettings("planning", "x", drop_rate=1.0)) as pair:
                for daemon in pair:
                    lost = await daemon.call(make_request("/write"))
                    self._check_refusal(lost, "connection-lost", "MAY_HAVE_RUN")
            async with serve_two_daemons() as pair:
                for daemon in pair:
                    cut = await daemon.call(make_request("/write?truncate=1"))
                    self._check_refusal(cut, "truncated", "RAN")
                    late = await daemon.call(make_request("/short?delay_ms=9999"))
                    self._check_refusal(late, "timeout", "MAY_HAVE_RUN")
                    caller = await daemon.connect()
                    await caller.send(make_request("/short", "POST", b"xx")[:-1])
                    self._check_refusal(await caller.receive("POST"), "timeout", "NOT_RUN")

        trio.run(run)

    def test_a_refused_retry_of_a_call_that_may_have_run_is_not_reported_as_not_run(self) -> None:
        async def run() -> None:
            async with serve_daemon() as daemon:
                for _ in range(2):
                    await daemon.call(make_request())
                caller = await daemon.connect()
                await caller.send(make_request("/slots?delay_ms=9999"))
                while not daemon.upstream.counts.running:
                    await trio.sleep(0.005)
                daemon.upstream.stop_listening()
                daemon.upstream.break_connections()
                answer = await caller.receive()
                self.assertEqual(answer.reason, "connect-failed")
                self.assertEqual(answer.verdict, "MAY_HAVE_RUN")

        trio.run(run)

    def test_refusals_on_at_most_once_routes(self) -> None:
        async def run() -> None:
            async with serve_daemon() as daemon:
                missing = make_request("/charge", "POST", b"5")
                self._check_refusal(await daemon.call(missing), "key-missing", "NOT_RUN")
                self._check_refusal(
                    await daemon.call(CHARGE), "log-unavailable", "NOT_RUN", retry=True
                )
                headers = {"Idempotency-Key": "k"}
                large = make_request("/charge", "POST", b"x" * 100_000, headers)
                self._check_refusal(await daemon.call(large), "bad-request", "NOT_RUN")

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
