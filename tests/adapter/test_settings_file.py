"""The settings file is decoded; every error names the file and the reason."""

from __future__ import annotations

import json
import re
import tempfile
import unittest
from pathlib import Path
from typing import Any

from fulmarstile_adapter.settings_file import read_settings_file
from fulmarstile_services.settings import (
    NodeSettingsError,
    QuotaBounds,
    RevocationBounds,
    RolloutBounds,
)

SETTINGS: dict[str, Any] = {
    "NodeName": "sidecar-a-1",
    "Ip": "10.1.0.8",
    "Zone": "a",
    "Region": "r",
    "Service": "shop",
    "AppAddr": "10.1.0.8:8301",
    "Listen": {
        "Inbound": "10.1.0.8:8300",
        "Outbound": "10.1.0.8:8304",
        "Ready": "10.1.0.8:8302",
        "Control": "10.1.0.8:8306",
    },
    "Limits": {"MemoryMb": 300, "MaxFds": 4100},
    "Platform": {"Address": "10.200.1.7:8309", "form": "log"},
    "Bounds": {"DrainS": 2, "GraceS": 6, "RetryBudgetRatio": 0.2, "BudgetExtraTries": 64},
    "HeartbeatS": 1.5,
    "Bootstrap": True,
    "UnknownField": {"a": 1},
}


class SettingsFileTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.json"

    def test_every_field_is_decoded_into_the_settings(self) -> None:
        self.path.write_text(json.dumps(SETTINGS))
        settings = read_settings_file(self.path)
        self.assertEqual(settings.name, "sidecar-a-1")
        self.assertEqual(settings.listeners.callers, "10.1.0.8:8304")
        self.assertEqual(settings.listeners.daemons, "10.1.0.8:8300")
        self.assertEqual(settings.listeners.readiness, "10.1.0.8:8302")
        self.assertEqual(settings.listeners.announcements, "10.1.0.8:8306")
        self.assertEqual(settings.upstream_address, "10.1.0.8:8301")
        self.assertEqual(settings.store_address, "10.200.1.7:8309")
        self.assertEqual(settings.bounds.retry_burst, 64)
        self.assertTrue(settings.is_first_start)

    def test_limits_that_the_file_does_not_name_are_absent(self) -> None:
        self.path.write_text(json.dumps(SETTINGS))
        bounds = read_settings_file(self.path).bounds
        self.assertEqual((bounds.rollout, bounds.revocation, bounds.quota), (None, None, None))

    def test_limits_of_rollouts_keys_and_quotas_are_decoded(self) -> None:
        changes = {"ExposeShare": 0.1, "BadVersionSlack": 50, "RollbackS": 5}
        changes |= {"StrictRevoke": True, "RevokeS": 4, "QuotaWindowS": 5, "QuotaSlack": 20}
        self.path.write_text(json.dumps(SETTINGS | {"Bounds": changes}))
        bounds = read_settings_file(self.path).bounds
        self.assertEqual(bounds.rollout, RolloutBounds(0.1, 50, 5))
        self.assertEqual(bounds.revocation, RevocationBounds(4))
        self.assertEqual(bounds.quota, QuotaBounds(5, 0.1, 20))

    def test_the_error_names_a_missing_or_invalid_field(self) -> None:
        for changes, name in (({"NodeName": None}, "NodeName"), ({"Limits": {}}, "MemoryMb")):
            self.path.write_text(json.dumps(SETTINGS | changes))
            with self.assertRaisesRegex(NodeSettingsError, name):
                read_settings_file(self.path)

    def test_a_missing_or_truncated_file_is_an_error(self) -> None:
        with self.assertRaisesRegex(NodeSettingsError, "settings.json"):
            read_settings_file(self.path)
        self.path.write_text(json.dumps(SETTINGS)[:-10])
        with self.assertRaisesRegex(NodeSettingsError, "settings.json"):
            read_settings_file(self.path)

    def test_an_odd_file_at_a_reload_is_an_error_of_the_settings_and_ends_no_daemon(self) -> None:
        whole = json.dumps(SETTINGS)
        deep = whole[:-1] + ',"Deep":' + "[" * 100_000 + "]" * 100_000 + "}"
        texts = {"empty": "", "half": whole[: len(whole) // 2], "deep": deep}
        for name in ("MemoryMb", "GraceS", "HeartbeatS"):
            for value in ("nan", "inf"):
                key = f'"{name}": '
                start = whole.index(key) + len(key)
                end = start + re.match(r"[0-9.]+", whole[start:]).end()
                texts[f"{name} {value}"] = f'{whole[:start]}"{value}"{whole[end:]}'
        for name, text in texts.items():
            with self.subTest(name):
                self.path.write_text(text)
                with self.assertRaises(NodeSettingsError):
                    read_settings_file(self.path)
