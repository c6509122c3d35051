"""Errors of the settings file."""

from __future__ import annotations

from fulmarstile_wire.errors import FulmarstileError


class SettingsError(FulmarstileError):
    """The settings file is missing, unreadable or invalid.

    Args:
        file: Name of the settings file.
        section: Section with the error; empty if the error concerns the whole file.
        key: Key with the error; empty if the error concerns the whole section.
        reason: Description of the error.
    """

    def __init__(self, file: str, section: str, key: str, reason: str) -> None:
        location = file
        if section:
            location += f": [{section}]"
        if key:
            location += f" {key}"
        super().__init__(f"{location}: {reason}")
        self.section = section
        self.key = key
        self.reason = reason
