"""Settings are validated completely before the daemon starts."""

from __future__ import annotations

import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarstile_daemon.settings import SettingsError, load_settings, parse_settings
from fulmarstile_daemon.settings.page import render_page
from fulmarstile_testing.builders.settings import build_settings_text

ROOT = Path(__file__).parent.parent.parent

INVALID_SETTINGS = {
    "an_unknown_key": ("daemon__colour", "blue", "is not a known key"),
    "an_unknown_section": ("cache__size", "1", "is not a section of the settings"),
    "a_missing_required_key": ("daemon__name", "", "is required but missing"),
    "a_wrong_type": ("calls__queue_limit", "many", "'many' is not a whole number"),
    "a_value_out_of_range": ("calls__max_connections", "0", "0 is not between 1 and 100000"),
    "a_bad_address": ("log__address", "log", "'log' is not an address of the form host:port"),
    "a_bad_port": ("log__address", "10.0.0.1:99999", "'99999' is not a port"),
    "a_short_key": ("mesh__key", "AAAA", "the key has 3 bytes instead of 32"),
    "a_bad_customer_key": ("customers__laundry", "?", "the key is not base64"),
    "a_foreign_default_customer": ("calls__default_customer", "other", "is not listed"),
    "not_a_number": ("log__timeout_s", "nan", "nan is not between"),
}


class SettingsTest(unittest.TestCase):
    def test_missing_keys_get_their_defaults(self) -> None:
        loaded = parse_settings(build_settings_text(), "a.ini")
        self.assertEqual(loaded.peers.dissemination, "push")
        self.assertEqual(loaded.admin.address, "127.0.0.1:7402")
        self.assertEqual(loaded.customers, {"laundry": bytes(32)})

    def test_every_error_names_file_section_key_and_reason(self) -> None:
        for case, (name, value, reason) in INVALID_SETTINGS.items():
            with self.subTest(case):
                section, _, key = name.partition("__")
                with self.assertRaises(SettingsError) as caught:
                    parse_settings(build_settings_text(**{name: value}), "a.ini")
                message = str(caught.exception)
                self.assertTrue(message.startswith(f"a.ini: [{section}]"), message)
                self.assertIn(reason, message)
                if "unknown_section" not in case:
                    self.assertEqual(caught.exception.key, key)

    def test_an_unreadable_file_is_reported_with_the_reason(self) -> None:
        with self.assertRaisesRegex(SettingsError, "none.ini: cannot be read: No such file"):
            load_settings(ROOT / "none.ini")

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.text(max_size=300))
    def test_any_text_is_parsed_or_refused(self, text: str) -> None:
        with self.assertRaises(SettingsError):
            parse_settings(text, "a.ini")

    def test_the_settings_reference_page_is_up_to_date(self) -> None:
        page = (ROOT / "docs" / "SETTINGS.md").read_text()
        self.assertEqual(page, render_page())

    def test_example_settings_are_valid(self) -> None:
        files = sorted((ROOT / "examples").glob("*/*.ini"))
        self.assertNotEqual(files, [])
        for path in files:
            with self.subTest(path.name):
                self.assertNotEqual(load_settings(path).customers, {})
