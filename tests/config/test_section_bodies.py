"""Any section body is either parsed or refused with a reason, whatever it contains."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarstile_config import RefusalCode, RefusedError, validate_sections
from fulmarstile_config.section import parse_section
from fulmarstile_testing.builders.config import LIMITS, POOLS, ROUTES, SERVICES, TEAMS

PROPERTY = settings(derandomize=True, deadline=None, max_examples=200)

BODIES = {"teams": TEAMS, "limits": LIMITS, "pools": POOLS, "routes": ROUTES}

SYNTAX_CASES = {
    "alias": ("limits: &a []\nmore: *a\n", 1, "anchors"),
    "tag": ("limits: !!python/object:os.system []\n", 1, "tags"),
    "duplicate key": ("limits: []\nlimits: []\n", 2, "duplicate key"),
    "key that is not text": ("limits:\n- 1: 2\n", 2, "keys must be text"),
    "merge key": ("limits:\n- <<: {}\n", 2, "keys must be text"),
    "timestamp": ("limits:\n- name: 2026-01-01\n", 2, "timestamp"),
    "deep nesting": ("limits:\n- " + "[" * 500 + "]" * 500, 2, "nested too deeply"),
    "many values": ("limits: [" + "1," * 31_000 + "1]" + "\n" + "- x\n" * 10, 2, ""),
    "long value": ("limits:\n- name: " + "x" * 5000, 2, "4096 characters"),
    "two documents": ("limits: []\n---\nlimits: []\n", 2, "single document"),
    "empty": ("# nothing\n", 1, "empty"),
    "tab as indentation": ("limits:\n\t- name: x\n", 2, ""),
    "control character": ("limits: \x00\n", 0, ""),
}


class SectionBodyTest(unittest.TestCase):
    def assert_refused(self, section: str, body: str) -> RefusedError:
        with self.assertRaises(RefusedError) as caught:
            parse_section(section, body)
        return caught.exception

    def test_yaml_beyond_plain_data_is_refused_with_its_line(self) -> None:
        for name, (body, line, reason) in SYNTAX_CASES.items():
            with self.subTest(name):
                refusal = self.assert_refused("limits", body).refusal
                self.assertEqual((refusal.code, refusal.line), (RefusalCode.SYNTAX, line))
                self.assertIn(reason, refusal.reason)

    def test_huge_number_is_refused_with_its_line(self) -> None:
        refusal = self.assert_refused("limits", LIMITS.replace("50\n", "9" * 4090)).refusal
        self.assertEqual((refusal.code, refusal.line), (RefusalCode.INVALID, 4))

    def test_too_many_items_are_refused(self) -> None:
        body = "services:\n" + "".join(f"- name: s{number}\n" for number in range(1025))
        self.assertEqual(self.assert_refused("services", body).refusal.code, RefusalCode.OVERSIZE)

    def test_refusal_names_the_line_of_an_error_deep_in_a_section(self) -> None:
        body = ROUTES + "- name: last\n  path: /x/\n  pool: planning\n"
        refusal = self.assert_refused("routes", body).refusal
        self.assertEqual(refusal.line, ROUTES.count("\n") + 2)

    @PROPERTY
    @given(st.sampled_from(("limits", "pools.x", "teams", "teams.x", "", "x")), st.text())
    def test_arbitrary_text_is_parsed_or_refused(self, section: str, body: str) -> None:
        for text in (body, f"{section}:\n- {body}"):
            try:
                parse_section(section, text)
            except RefusedError as error:
                self.assertTrue(error.refusal.reason)

    @PROPERTY
    @given(
        st.sampled_from(sorted(BODIES)),
        st.integers(0, 400),
        st.integers(0, 30),
        st.text(alphabet="abz01 :-[]{}&*!#'\"\n\t|>%.,<~é\x07", max_size=6),
    )
    def test_edited_body_is_parsed_or_refused_on_a_line_that_it_has(
        self, section: str, start: int, length: int, text: str
    ) -> None:
        body = BODIES[section]
        edited = body[:start] + text + body[start + length :]
        try:
            parse_section(section, edited)
        except RefusedError as error:
            self.assertEqual(error.refusal.section, section)
            self.assertLessEqual(error.refusal.line, edited.count("\n") + 1)

    def test_validation_reports_every_bad_section_at_once(self) -> None:
        refusals = validate_sections({"limits": "limits: 5", "pools": "pools: 5", "routes": ROUTES})
        self.assertEqual([refusal.section for refusal in refusals], ["limits", "pools"])

    def test_validation_checks_references_between_sections(self) -> None:
        sections = {"services": SERVICES, "pools": POOLS, "routes": ROUTES, "limits": LIMITS}
        refusals = validate_sections(sections)
        self.assertEqual([refusal.code for refusal in refusals], [RefusalCode.DANGLING_REFERENCE])
        self.assertIn("retry rule 'twice'", refusals[0].reason)
