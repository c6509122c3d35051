"""A short soak of rule LOST: real daemons are stopped while callers send requests."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import trio

from fulmarstile_adapter_testing.lost_processor import (
    BLOCKED,
    COMPUTED,
    STARVED,
    ProcessorHistory,
)
from fulmarstile_adapter_testing.lost_rules import (
    APART,
    BEHIND_WRITE,
    OWN_ANSWER,
    STEADY,
    FaultHistory,
    SentRequest,
    UpstreamRun,
    classify,
)
from fulmarstile_adapter_testing.lost_troubles import MIX, TROUBLES, Trouble, find_trouble
from fulmarstile_adapter_testing.soak_lost import run_soak

SECONDS = 10.0
TERM_AT = 10.0


def make_request(sent_at: float, ended_at: float, **values: object) -> SentRequest:
    request = SentRequest("1", "vm-1", "search", "0.0#1", sent_at, 12.0, sent_at, ended_at)
    for name, value in values.items():
        setattr(request, name, value)
    return request


def make_history() -> FaultHistory:
    """Makes the history of a VM that gets SIGTERM."""
    history = FaultHistory()
    history.terms["vm-1"].append(TERM_AT)
    return history


def make_run(begun_at: float, ended_at: float, **values: object) -> UpstreamRun:
    return UpstreamRun("vm-2", begun_at, ended_at, work_s=9.0, **values)


class LostSoakTest(unittest.TestCase):
    def test_no_request_is_lost_beside_stops_by_late_readers_pipelining_or_reloads(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            report = trio.run(run_soak, 1, TROUBLES["callers"], SECONDS, Path(folder))
        self.assertEqual(report.violations, [])
        self.assertGreater(report.statuses["200"], 0)
        self.assertGreater(report.faults["stops"], 0)


class LostRulesTest(unittest.TestCase):
    def test_a_request_that_was_passed_on_is_lost_without_an_answer(self) -> None:
        runs = [make_run(11.0, 11.1)]
        self.assertEqual(classify(make_request(11.0, 11.1), runs, make_history()), "SIGTERM")
        self.assertEqual(classify(make_request(11.0, 11.1), runs, FaultHistory()), STEADY)

    def test_a_request_that_crosses_a_close_is_not_lost(self) -> None:
        self.assertEqual(classify(make_request(11.0, 11.1), [], make_history()), "")

    def test_a_request_that_was_sent_0_2_s_before_the_close_is_lost(self) -> None:
        self.assertEqual(classify(make_request(11.0, 11.3), [], make_history()), "SIGTERM")

    def test_a_request_that_was_written_behind_another_is_lost_if_it_was_passed_on(self) -> None:
        request = make_request(11.0, 11.3, behind=BEHIND_WRITE)
        self.assertIn(APART, classify(request, [], make_history()))
        self.assertEqual(
            classify(request, [make_run(11.1, 11.2)], make_history()), f"{BEHIND_WRITE}, SIGTERM"
        )

    def test_an_answer_of_the_daemon_while_the_upstream_works_is_lost(self) -> None:
        request = make_request(9.0, 14.0, status=502)
        self.assertEqual(classify(request, [make_run(9.0, 14.0)], make_history()), OWN_ANSWER)

    def test_an_upstream_at_work_in_the_last_sixth_excuses_a_request_of_the_first_3_s(self) -> None:
        runs = [make_run(9.0, 15.2, was_cut=True)]
        request = make_request(12.9, 15.2, status=502)
        self.assertIn(APART, classify(request, runs, make_history()))
        request = make_request(13.1, 15.2, status=502)
        self.assertEqual(classify(request, runs, make_history()), OWN_ANSWER)

    def test_an_upstream_that_ends_excuses_only_the_request_that_it_ran_last(self) -> None:
        cut = make_run(11.0, 11.1, was_cut=True, upstream_ended=True)
        request = make_request(11.0, 11.2, status=502)
        self.assertIn(APART, classify(request, [cut], make_history()))
        runs = [cut, make_run(11.1, 11.2)]
        self.assertEqual(classify(request, runs, make_history()), OWN_ANSWER)

    def test_a_signed_answer_is_not_lost(self) -> None:
        request = make_request(11.0, 11.3, status=500, is_signed=True)
        self.assertEqual(classify(request, [make_run(11.0, 12.0)], make_history()), "")


class LostMixTest(unittest.TestCase):
    def test_a_seed_always_draws_the_same_trouble(self) -> None:
        self.assertEqual(find_trouble(MIX, 7), find_trouble(MIX, 7))

    def test_seeds_draw_every_kind_of_trouble_together_with_others(self) -> None:
        kinds = (
            "in_series",
            "stops_again",
            "has_versions",
            "has_reloads",
            "has_store_faults",
            "has_replacements",
            "pauses",
            "has_relays",
            "given_up",
        )
        drawn = [find_trouble(MIX, seed) for seed in range(60)]
        counts = [sum(bool(getattr(each, kind)) for kind in kinds) for each in drawn]
        self.assertGreaterEqual(min(counts), 2)
        self.assertLessEqual(max(counts), 4)
        for kind in kinds:
            self.assertTrue(any(getattr(each, kind) for each in drawn), kind)
            self.assertFalse(getattr(Trouble(), kind), kind)


class ProcessorHistoryTest(unittest.TestCase):
    def list_causes(self, processor_ms: float, core_waits_s: list[tuple[int, float]]) -> list[str]:
        history = ProcessorHistory()
        for now, (process_id, total_s) in enumerate(core_waits_s, 100):
            history.add(process_id, total_s, float(now))
        with tempfile.NamedTemporaryFile() as log:
            line = b'{"time":102.5,"event":"loop_late","late_ms":1000.0,"processor_ms":%.1f}'
            log.write(line % processor_ms + b'\n{"time":1,"event":"loop_late","late')
            log.flush()
            return [late.cause for late in history.list_late(Path(log.name))]

    def test_a_late_loop_without_a_core_is_told_from_one_that_computes_or_hangs(self) -> None:
        waits = [(7, 0.1), (7, 0.1), (7, 0.7), (7, 0.7)]
        self.assertEqual(self.list_causes(10.0, waits), [STARVED])
        self.assertEqual(self.list_causes(600.0, waits), [COMPUTED])
        self.assertEqual(self.list_causes(10.0, [(7, 0.1)] * 4), [BLOCKED])

    def test_times_without_a_core_are_counted_for_each_process(self) -> None:
        waits = [(7, 5.0), (8, 0.1), (8, 0.2), (8, 0.2)]
        self.assertEqual(self.list_causes(10.0, waits), [BLOCKED])


if __name__ == "__main__":
    unittest.main()
