"""The parser accepts every statement of the language and rejects anything else."""

from __future__ import annotations

import contextlib
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarstile_testing.scenarios import model
from fulmarstile_testing.scenarios.model import Scenario, ScenarioError, Target
from fulmarstile_testing.scenarios.parser import parse_scenario

WORLD = """scenario "x"
availability_zone z1 in region r1
customer a
service s of a with 2 upstreams and 4 slots running 50 ms
"""
STATEMENTS = (
    "at 1 s publish a",
    "at 1 s publish a stale",
    "at 1 s kill 50 %",
    "at 1 s start all",
    "at 1 s stop s-1",
    "at 1 s pause z1 for 500 ms",
    "at 1 s silence link s-1 to s-2",
    "at 1 s partition s-1 from r1 for 1 s",
    "at 1 s cut s from log for 1 s",
    "at 1 s lose 20 % of messages for 1 s",
    "at 1 s cross messages for 1 s",
    "at 1 s log outage for 1 s",
    "at 1 s log slow by 2 s for 9 s",
    "at 1 s log loses 2 answers",
    "at 1 s log forgets",
    "at 1 s log keeps records for 20 s",
    "at 1 s crash upstream s-1 for 1 s",
    "at 1 s slow upstream s-1 by 300 ms for 1 s",
    "at 1 s lying upstream s-1 for 1 s",
    "at 1 s drain upstream s-1",
    "at 1 s ready upstream s-1",
    "at 1 s poison request to s",
    "at 1 s expect a in force",
    "at 1 s expect publication conflicting",
    "at 1 s expect at least 99.5 % of calls answered",
    "at 1 s expect at most 2 crashes",
    "at 1 s expect no call cut off",
    "from 1 s to 2 s reserve s 2 times per s",
    "end at 10 s  # comment",
)


class ParserTest(unittest.TestCase):
    """Valid and malformed scenario texts."""

    def test_every_statement_is_parsed(self):
        scenario = parse_scenario(WORLD + "\n\n# comment\n" + "\n".join(STATEMENTS))
        self.assertEqual(len(scenario.steps), 27)
        self.assertEqual(scenario.steps[2].action, model.Kill(Target(percent=50.0)))
        self.assertEqual(scenario.services[0].run_s, 0.05)
        self.assertEqual(scenario.end_s, 10.0)
        self.assertTrue(scenario.traffic[0].reserve)

    def test_undeclared_names_are_rejected(self):
        for line in ("kill x", "publish b", "silence link s-1 to s-3", "poison request to z1"):
            with self.subTest(line), self.assertRaisesRegex(ScenarioError, "unknown"):
                parse_scenario(f"{WORLD}at 1 s {line}")

    def test_a_syntax_error_names_the_line(self):
        with self.assertRaisesRegex(ScenarioError, "f.scenario:5:8"):
            parse_scenario(WORLD + "at 1 s explode s-1", "f.scenario")

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(st.sampled_from([*WORLD.splitlines(), *STATEMENTS]), max_size=8),
        st.text(alphabet='ab10 %"#\n\tsz-.', max_size=30),
        st.integers(0, 400),
    )
    def test_any_text_parses_or_raises_a_scenario_error(self, lines, noise, place):
        text = 'scenario "x"\n' + "\n".join(lines)
        text = text[:place] + noise + text[place:]
        with contextlib.suppress(ScenarioError):
            self.assertIsInstance(parse_scenario(text), Scenario)
