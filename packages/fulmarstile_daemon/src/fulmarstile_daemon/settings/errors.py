"""Errors of the settings file."""

from __future__ import annotations

from fulmarstile_wire.errors import FulmarstileError


class SettingsError(FulmarstileError):
    """The settings cannot be used.

    Args:
        file: Name of the settings file.
        section: Section of the fault; empty if the whole file is concerned.
        key: Key of the fault; empty if the whole section is concerned.
        reason: What is wrong, in plain words.
    """

    def __init__(self, file: str, section: str, key: str, reason: str) -> None:
        place = file
        if section:
            place += f": [{section}]"
        if key:
            place += f" {key}"
        super().__init__(f"{place}: {reason}")
        self.section = section
        self.key = key
        self.reason = reason
