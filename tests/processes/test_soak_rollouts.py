"""The rules of roll-outs in the fault soak detect what they are for."""

from __future__ import annotations

import unittest

from fulmarstile_adapter_testing.soak_rollouts import SoakRollout, find_rollout_violations
from fulmarstile_adapter_testing.soak_rules import CallRecord
from fulmarstile_testing.service_upstream import ServedRequest, UpstreamRecord

ORDERED_AT = 10.0
DURATION_S = 20.0


def find(
    target_times: list[float], baseline_count: int = 0, *, is_bad: bool = True, **changes: object
) -> list[str]:
    """Finds the violations of a roll-out whose requests arrive as soon as they are sent."""
    rollout = SoakRollout(is_bad, ORDERED_AT, DURATION_S, "rolled_back", 25.0)
    for name, value in changes.items():
        setattr(rollout, name, value)
    served = [
        ServedRequest(f"target-{number}", "/", {}, arrived_at=time, ran=True)
        for number, time in enumerate(target_times)
    ]
    calls = [
        CallRecord(request.request_id, "GET", "/", sent_at=request.arrived_at) for request in served
    ]
    others = [
        ServedRequest(f"other-{number}", "/", {}, arrived_at=ORDERED_AT + 1.0, ran=True)
        for number in range(baseline_count)
    ]
    targets, baseline = {"i-7": UpstreamRecord(served)}, {"i-2": UpstreamRecord(others)}
    return find_rollout_violations(rollout, calls, targets, baseline)


class SoakRolloutRulesTest(unittest.TestCase):
    def test_a_bad_version_within_its_share_violates_no_rule(self) -> None:
        self.assertEqual(find([11.0] * 60, 500), [])

    def test_a_bad_version_beyond_its_share_is_detected(self) -> None:
        (violation,) = find([11.0] * 60, 30)
        self.assertIn("received 60 of 90 requests; allowed 59", violation)

    def test_requests_before_the_order_are_detected(self) -> None:
        (violation,) = find([9.0], 500, is_bad=False)
        self.assertIn("before the order", violation)

    def test_requests_sent_after_the_roll_back_are_detected(self) -> None:
        self.assertEqual(find([11.0, 27.9], 500), [])
        (violation,) = find([11.0, 28.1], 500)
        self.assertIn("ran 1 requests after its roll-back, first target-1", violation)

    def test_requests_long_after_the_bad_responses_are_detected(self) -> None:
        self.assertEqual(find([11.0] * 84 + [15.9], 2_000, ended_at=30.0), [])
        (violation,) = find([11.0] * 84 + [16.1], 2_000, ended_at=30.0)
        self.assertIn("ran 1 requests after its roll-back", violation)

    def test_a_bad_version_that_is_completed_and_an_endless_roll_out_are_detected(self) -> None:
        (violation,) = find([], state="completed")
        self.assertIn("was completed", violation)
        (violation,) = find([], state="running", is_bad=False)
        self.assertIn("did not end", violation)


if __name__ == "__main__":
    unittest.main()
