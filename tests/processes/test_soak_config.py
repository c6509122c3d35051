"""A short soak of rule CONFIG: versions come in quick succession to real daemons."""

from __future__ import annotations

import math
import tempfile
import unittest
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from fulmarstile_adapter_testing.config_operator import Records, WriteForm, Writes
from fulmarstile_adapter_testing.config_rules import (
    BACK,
    LATE,
    OLD,
    ConfigJudge,
    Disturbance,
    Incarnation,
    Outcome,
)
from fulmarstile_adapter_testing.config_versions import ConfigRoute, ConfigVersion
from fulmarstile_adapter_testing.soak_config import DEFAULT_RATE, run_soak

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_adapter_testing.config_rules import LateCase

SECONDS = 32.0


def make_judge(*disturbances: Disturbance) -> ConfigJudge:
    """Makes a judge of two versions, the second of which moves one route and adds another."""
    moved = {"a": ConfigRoute({"old": 1})}, {"a": ConfigRoute({"new": 1}), "b": ConfigRoute({})}
    versions = [
        ConfigVersion(1, 0.0, moved[0]),
        ConfigVersion(5, 10.0, moved[1]),
    ]
    return ConfigJudge(versions, disturbances)


def make_repeated_judge() -> ConfigJudge:
    """Makes a judge of a version that is acknowledged 1 s after its first write."""
    versions = [
        ConfigVersion(1, 0.0, {"a": ConfigRoute({"old": 1})}),
        ConfigVersion(5, 11.0, {"a": ConfigRoute({"new": 1})}, unanswered_s=1.0),
    ]
    return ConfigJudge(versions, ())


def make_process(applied_at: float, begun_at: float = 0.0) -> Incarnation:
    """Makes a process that applies version 5 at a time."""
    return Incarnation("vm-1", begun_at, applied=[(begun_at + 0.1, 1), (applied_at, 5)])


def make_outcome(sent_at: float, service: str, host: str = "a") -> Outcome:
    return Outcome("1", "vm-1", host, sent_at, sent_at + 0.1, service)


def list_beyond(cases: Iterable[LateCase], kind: str) -> list[float]:
    """Lists for how long the cases, all of one kind, go beyond what is allowed."""
    return [round(case.beyond_s, 3) for case in cases if case.kind == kind]


class ConfigSoakTest(unittest.TestCase):
    def test_versions_come_into_force_in_time_after_all_open_connections_went_silent(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            report = trio.run(run_soak, 1, "silence_all", SECONDS, Path(folder))
        self.assertEqual(report.violations, [])
        self.assertGreater(report.faults["versions"], 0)
        self.assertGreater(report.statuses["200"], 0)


class OlderVersionSoakTest(unittest.TestCase):
    def test_versions_stay_in_force_after_an_outage_with_older_ones_behind_them(self) -> None:
        # The seed puts a burst into the outage, and the next one 5.5 s behind its end.
        form = WriteForm(Writes.PAUSES, Records.OLDER)
        with tempfile.TemporaryDirectory() as folder:
            report = trio.run(run_soak, 23, "outage", 16.0, Path(folder), DEFAULT_RATE, form)
        self.assertEqual(report.violations, [])
        self.assertEqual(report.faults["denied"], 0)
        self.assertGreater(report.statuses["200"], 0)


class LateVersionTest(unittest.TestCase):
    def list_late(
        self, applied_at: float, *disturbances: Disturbance, begun_at: float = 0.0
    ) -> list[float]:
        process = make_process(applied_at, begun_at)
        cases = make_judge(*disturbances).find_late_versions(process, 30.0)
        return list_beyond(cases, LATE)

    def test_a_version_is_late_2_s_after_its_acknowledgement(self) -> None:
        self.assertEqual(self.list_late(12.0), [])
        self.assertEqual(self.list_late(12.5), [0.5])
        self.assertEqual(self.list_late(math.inf), [18.0])

    def test_a_version_is_late_3_s_after_the_end_of_a_disturbance_of_the_vm(self) -> None:
        for vms in (None, frozenset({"vm-1"})):
            cut = Disturbance("cut", vms, 11.0, 13.0)
            self.assertEqual(self.list_late(16.0, cut), [])
            self.assertEqual(self.list_late(16.5, cut), [0.5])
            silence = Disturbance("silence", None, 16.2, 16.2)
            self.assertEqual(self.list_late(19.5, cut, silence), [0.5])
        self.assertEqual(self.list_late(16.0, Disturbance("", frozenset(), 11.0, 13.0)), [4.0])

    def test_a_store_that_refuses_some_vms_stretches_the_bound_by_5_s_at_most(self) -> None:
        refusal = Disturbance("", None, 9.0, 20.0, stretches=True)
        self.assertEqual(self.list_late(17.0, refusal), [])
        self.assertEqual(self.list_late(17.5, refusal), [0.5])

    def test_a_process_that_starts_later_needs_the_newest_version_due(self) -> None:
        start = Disturbance("kill", frozenset({"vm-1"}), 19.0, 20.0)
        self.assertEqual(self.list_late(23.0, start, begun_at=20.0), [])
        self.assertEqual(self.list_late(23.5, start, begun_at=20.0), [0.5])


class OldOutcomeTest(unittest.TestCase):
    def list_old(self, *outcomes: Outcome) -> list[float]:
        return list_beyond(make_judge().find_old_outcomes(outcomes), OLD)

    def test_a_request_run_by_the_old_service_is_late_2_s_after_the_acknowledgement(self) -> None:
        self.assertEqual(self.list_old(make_outcome(11.9, "old"), make_outcome(13.0, "new")), [])
        self.assertEqual(self.list_old(make_outcome(12.5, "old")), [0.5])

    def test_a_404_for_an_added_route_is_late_2_s_after_the_acknowledgement(self) -> None:
        self.assertEqual(self.list_old(make_outcome(11.9, "", "b")), [])
        self.assertEqual(self.list_old(make_outcome(12.5, "", "b")), [0.5])

    def test_a_request_to_the_old_service_is_back_0_25_s_after_the_new_one_ran_another(
        self,
    ) -> None:
        outcomes = make_outcome(10.2, "new"), make_outcome(10.5, "old")
        processes = [make_process(10.0)]
        self.assertEqual(list(make_judge().find_regressions(outcomes, processes)), [])
        outcomes = make_outcome(10.2, "new"), make_outcome(10.6, "old")
        cases = make_judge().find_regressions(outcomes, processes)
        self.assertEqual(list_beyond(cases, BACK), [0.6])

    def test_a_version_may_be_used_from_its_first_write_and_is_due_after_its_acknowledgement(
        self,
    ) -> None:
        judge = make_repeated_judge()
        allowed = make_outcome(10.5, "new"), make_outcome(12.9, "old")
        self.assertEqual(list(judge.find_old_outcomes(allowed)), [])
        self.assertEqual(
            list_beyond(judge.find_old_outcomes([make_outcome(13.5, "old")]), OLD), [0.5]
        )


class DeniedTest(unittest.TestCase):
    def list_denied(self, sent_at: float, host: str, *disturbances: Disturbance) -> list[Outcome]:
        refusal = make_outcome(sent_at, "", host)
        return list(make_judge(*disturbances).find_denied([refusal]))

    def test_a_refusal_counts_if_all_versions_that_may_be_in_force_have_the_route(self) -> None:
        self.assertEqual(len(self.list_denied(11.0, "a")), 1)
        self.assertEqual(len(self.list_denied(12.5, "b")), 1)

    def test_a_refusal_that_a_version_allows_does_not_count(self) -> None:
        self.assertEqual(self.list_denied(11.5, "b"), [])
        self.assertEqual(self.list_denied(12.5, "unknown"), [])

    def test_a_refusal_out_of_touch_does_not_count(self) -> None:
        cut = Disturbance("cut", frozenset({"vm-1"}), 10.0, 12.0)
        self.assertEqual(self.list_denied(12.5, "b", cut), [])
        self.assertEqual(len(self.list_denied(15.0, "b", cut)), 1)

    def test_a_refusal_out_of_touch_counts_if_all_versions_so_far_have_the_route(self) -> None:
        judge = make_judge(Disturbance("cut", frozenset({"vm-1"}), 10.0, 12.0))
        refusals = [make_outcome(at, "", host) for at in (12.5, 15.0) for host in "ab"]
        found = [(each.sent_at, each.host) for each in judge.find_denied_out_of_touch(refusals)]
        self.assertEqual(found, [(12.5, "a")])


if __name__ == "__main__":
    unittest.main()
