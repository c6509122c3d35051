"""Builders of settings files."""

from __future__ import annotations

import base64
from typing import Final

KEY: Final = base64.b64encode(bytes(32)).decode("ascii")
"""A key of the right length, base64."""


def build_settings_text(**replacements: str) -> str:
    """Builds the text of a valid settings file.

    Args:
        **replacements: Values by `section__key`; an unknown pair is added, an empty string
            leaves the key out.

    Returns:
        The INI text.
    """
    values = {
        "daemon__name": "planning-1",
        "daemon__availability_zone": "be-bru",
        "peers__address": "127.0.0.1:7400",
        "calls__address": "127.0.0.1:7401",
        "log__address": "127.0.0.1:7300",
        "mesh__key": KEY,
        "customers__laundry": KEY,
    }
    values |= replacements
    sections: dict[str, list[str]] = {}
    for name, value in values.items():
        section, _, key = name.partition("__")
        lines = sections.setdefault(section, [])
        if value:
            lines.append(f"{key} = {value}")
    return "\n".join("\n".join([f"[{name}]", *lines]) for name, lines in sections.items())
