"""All scenario files and all pairs of failures keep the promises, and a seed reproduces its run."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from fulmarstile_testing.scenarios import model
from fulmarstile_testing.scenarios.driver import run_scenario
from fulmarstile_testing.scenarios.pairs import PAIR_NAMES, generate_pairs
from fulmarstile_testing.scenarios.parser import load_scenario, parse_scenario
from fulmarstile_testing.scenarios.runner import PAIR_SEPARATOR, RunRequest, run_all, run_one

ROOT = Path(__file__).parents[2]
FILES = sorted((ROOT / "scenarios").glob("*.scenario"))
KNOWN_RED = ROOT / "KNOWN-RED.txt"
SEEDS_PER_FILE = 3
JOBS = 4
REPRODUCIBILITY_RUNS = (
    "scenarios/herd_dies_and_returns.scenario",
    "crossed+planned-stop",
    "poison+lost-answer",
)

ALL_KINDS = {kind.__name__ for kind in model.Action.__subclasses__()}
NOT_IN_PAIRS = {
    "ExpectAnswered",
    "ExpectCrashes",
    "ExpectNoCallCut",
    "ExpectPublication",
}

REGRESSION_RUNS = (
    ("herd+log-forgets", 15),
    ("zone+log-forgets", 110),
    ("log-forgets+racing", 264),
    ("log-forgets+bad-publication", 266),
    ("herd+log-forgets", 1014),
    ("log-outage+log-forgets", 1164),
    ("log-slow+log-forgets", 1190),
    ("log-forgets+drain", 1275),
    ("scenarios/poison_request.scenario", 1),
)

UNDECIDED_PUBLICATION = """scenario "nobody can learn of the publication"
availability_zone z in region r
customer laundry
service planning of laundry with 2 upstreams and 2 slots
at 1 s publish laundry
at 8 s log outage for 30 s
at 9 s expect laundry in force
at 10 s publish laundry
at 20 s expect publication accepted
"""


def list_kinds(scenarios) -> set[str]:
    return {type(step.action).__name__ for scenario in scenarios for step in scenario.steps}


def run_in_process(name: str, seed: int, hash_seed: int) -> bytes:
    command = [sys.executable, "-m", "fulmarstile_testing.scenarios", "--trace"]
    command += [f"--only={name}", f"--seed={seed}"]
    environment = os.environ | {"PYTHONHASHSEED": str(hash_seed)}
    result = subprocess.run(command, env=environment, cwd=ROOT, capture_output=True, check=False)
    return result.stdout.rpartition(b"\n1 runs,")[0]


class ScenarioRunsTest(unittest.TestCase):
    """Runs in virtual time, watched by all nine checkers."""

    def check(self, requests: list[RunRequest]) -> None:
        known_red = KNOWN_RED.read_text("utf-8") if KNOWN_RED.exists() else ""
        unknown = []
        for failure in run_all(requests, JOBS):
            if failure.request.command in known_red:
                print(
                    f"known red: {failure.request.command}: {failure.message}", file=sys.__stderr__
                )
            else:
                unknown.append(failure.describe())
        self.assertEqual(unknown, [], "\n".join(unknown))

    def test_every_scenario_file_keeps_the_promises(self):
        self.assertGreater(len(FILES), 20)
        seeds = range(1, SEEDS_PER_FILE + 1)
        self.check([RunRequest(f"scenarios/{path.name}", seed) for path in FILES for seed in seeds])

    def test_every_pair_of_failures_keeps_the_promises(self):
        names = [PAIR_SEPARATOR.join(pair) for pair in PAIR_NAMES]
        self.check([RunRequest(name, seed) for seed, name in enumerate(names, start=1)])

    def test_runs_that_failed_before_keep_the_promises(self):
        self.check([RunRequest(name, seed) for name, seed in REGRESSION_RUNS])

    def test_every_kind_of_step_occurs_in_a_scenario_file(self):
        self.assertEqual(list_kinds(map(load_scenario, FILES)), ALL_KINDS)

    def test_every_kind_of_step_but_some_expectations_occurs_in_a_pair(self):
        pairs = (scenario for _, scenario in generate_pairs(seed=1))
        self.assertEqual(list_kinds(pairs), ALL_KINDS - NOT_IN_PAIRS)

    def test_the_same_seed_gives_the_same_trace_byte_for_byte(self):
        for name in REPRODUCIBILITY_RUNS:
            with self.subTest(name):
                first = run_in_process(name, 5, hash_seed=1)
                self.assertGreater(first.count(b"\n"), 200)
                self.assertEqual(first, run_in_process(name, 5, hash_seed=2))

    def test_another_seed_gives_another_trace(self):
        scenario = load_scenario(ROOT / REPRODUCIBILITY_RUNS[0])
        first, second = (run_scenario(scenario, seed).trace.encode() for seed in (1, 2))
        self.assertNotEqual(first, second)

    def test_a_failed_run_shows_the_file_the_seed_the_last_events_and_the_command(self):
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "broken.scenario"
        path.write_text(UNDECIDED_PUBLICATION, "utf-8")
        failure = run_one(RunRequest(str(path), 7))
        self.assertIsNotNone(failure)
        text = failure.describe()
        self.assertIn("undecided", text)
        self.assertIn(f"FAILED {path} seed 7", text)
        self.assertIn(f"python -m fulmarstile_testing.scenarios --only={path} --seed=7", text)
        self.assertIn('{"event":"TimePassed"', text)

    def test_an_unexpected_exception_is_reported_as_a_failure(self):
        scenario = parse_scenario(UNDECIDED_PUBLICATION)
        broken = model.Step(1.0, model.SilenceLink("planning-1", "nobody"))
        result = run_scenario(
            model.Scenario(
                scenario.title,
                scenario.availability_zones,
                scenario.customers,
                scenario.services,
                scenario.traffic,
                (broken, model.Step(2.0, model.Action())),
                scenario.end_s,
            ),
            seed=1,
        )
        self.assertIsInstance(result.failure, NotImplementedError)
