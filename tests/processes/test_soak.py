"""A short soak test with faults: real daemons on the stand-in of the users' platform."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_adapter_testing.soak import SoakSettings, run_soak
from fulmarstile_adapter_testing.soak_notices import (
    AnnouncedPeriod,
    NoticeHistory,
    find_notice_violations,
)
from fulmarstile_adapter_testing.soak_rules import CallRecord, find_violations
from fulmarstile_platform.http import HttpResponse
from fulmarstile_testing.service_upstream import ServedRequest, UpstreamRecord

SETTINGS = SoakSettings(seed=1, duration_s=8.0)


def make_call(status: int, answered_id: str = "call-1", upstream: str = "i-1") -> CallRecord:
    headers = {"x-attempt-id": answered_id, "x-response-seal": f"seal-{upstream}"}
    return CallRecord("call-1", "POST", "/order/1", HttpResponse(status, b"", headers))


def make_records(**runs: int) -> dict[str, UpstreamRecord]:
    """Makes the records of upstreams that ran the call the given numbers of times."""
    return {
        name.replace("_", "-"): UpstreamRecord(
            [ServedRequest("call-1", "/order/1", {}, ran=True) for _ in range(count)]
        )
        for name, count in runs.items()
    }


class SoakTest(unittest.TestCase):
    def test_no_rule_is_violated_under_faults_and_every_route_is_served_afterwards(self) -> None:
        report = trio.run(run_soak, SETTINGS)
        self.assertEqual(report.violations, [])
        self.assertGreater(report.statuses["200"], 0)


class SoakRulesTest(unittest.TestCase):
    def test_a_call_that_ran_once_and_was_answered_violates_no_rule(self) -> None:
        self.assertEqual(find_violations([make_call(200)], make_records(i_1=1)), [])

    def test_a_request_that_ran_twice_is_detected(self) -> None:
        (violation,) = find_violations([make_call(502)], make_records(i_1=1, i_2=1))
        self.assertIn("ran 2 times", violation)

    def test_a_request_that_ran_but_was_refused_as_not_run_is_detected(self) -> None:
        (violation,) = find_violations([make_call(503)], make_records(i_1=1))
        self.assertIn("refused as not run", violation)

    def test_a_request_left_unanswered_by_a_graceful_shutdown_is_detected(self) -> None:
        call = CallRecord("call-1", "POST", "/order/1", error="reset", lost_to_planned_stop=True)
        (violation,) = find_violations([call], make_records(i_1=0))
        self.assertIn("got no answer from a daemon that was stopped: reset", violation)

    def test_an_answer_to_another_request_is_detected(self) -> None:
        (violation,) = find_violations([make_call(200, answered_id="call-2")], make_records(i_1=1))
        self.assertIn("got the answer of call-2", violation)

    def test_an_answer_from_an_upstream_that_did_not_run_the_request_is_detected(self) -> None:
        (violation,) = find_violations([make_call(200, upstream="i-2")], make_records(i_1=1, i_2=0))
        self.assertIn("did not run it", violation)

    def test_more_requests_than_an_announced_limit_are_detected(self) -> None:
        period = AnnouncedPeriod("i-1", began_at=10.0, rate_limit=0.5, ended_at=20.0)
        (violation,) = self.find(period, [10.2 + 0.2 * number for number in range(40)])
        self.assertIn("at a limit of 0.50 a second", violation)
        self.assertEqual(self.find(period, [10.2 + number for number in range(10)]), [])

    def test_requests_after_an_announced_drain_are_detected(self) -> None:
        period = AnnouncedPeriod("i-1", began_at=10.0, ended_at=20.0)
        (violation,) = self.find(period, [10.2, 11.0, 12.5])
        self.assertIn("got 1 requests from daemons that knew it leaves", violation)
        self.assertEqual(self.find(period, [10.2, 11.0, 12.1]), [])
        self.assertEqual(self.find(period, [10.2, 20.5]), [])

    def test_a_daemon_that_was_disturbed_since_it_was_told_is_excused(self) -> None:
        period = AnnouncedPeriod("i-1", began_at=10.0, ended_at=20.0)
        self.assertEqual(self.find(period, [10.2, 12.5], disturbed_at=11.0), [])

    def find(
        self, period: AnnouncedPeriod, times: list[float], disturbed_at: float = 0.0
    ) -> list[str]:
        """Finds what one daemon violates that sends requests, each answered at once."""
        headers = {
            "x-response-seal": "seal-i-1",
            "server-limit": "0.5",
            "server-leaving": "1",
        }
        calls = [
            CallRecord(
                f"call-{time}",
                "GET",
                "/read/",
                HttpResponse(200, b"", headers),
                vm="vm-1",
                sent_at=time,
                answered_at=time,
            )
            for time in times
        ]
        served = [ServedRequest(call.request_id, "/read/", {}, 0, call.sent_at) for call in calls]
        history = NoticeHistory([period], {"vm-1": [disturbed_at]})
        return find_notice_violations(calls, {"i-1": UpstreamRecord(served)}, history)


if __name__ == "__main__":
    unittest.main()
