"""Reads and validates the settings file."""

from __future__ import annotations

import configparser
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from fulmarstile_daemon.settings.errors import SettingsError
from fulmarstile_daemon.settings.model import (
    AdminSettings,
    CallListenerSettings,
    DaemonSettings,
    LogSettings,
    MeshSettings,
    PeerSettings,
    Settings,
)
from fulmarstile_daemon.settings.reference import CUSTOMERS_SECTION, KEY_BYTES, SETTING_KEYS
from fulmarstile_daemon.settings.values import KeyReader, NameReader

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from fulmarstile_daemon.settings.reference import SettingKey


def load_settings(path: Path) -> Settings:
    """Reads a settings file.

    Args:
        path: The INI file.

    Returns:
        The validated settings.

    Raises:
        SettingsError: If the file cannot be read or its content is invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise SettingsError(path.name, "", "", f"cannot be read: {reason}") from error
    return parse_settings(text, path.name)


def parse_settings(text: str, file: str) -> Settings:
    """Parses the text of a settings file.

    Args:
        text: Content of the file.
        file: Name of the file, for error messages.

    Returns:
        The validated settings.

    Raises:
        SettingsError: If the text is not valid INI, or a section, key or value is invalid.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        reason = " ".join(str(error).split())
        raise SettingsError(file, "", "", f"is not a valid INI file: {reason}") from error
    return _SettingsBuilder(parser, file).build()


@dataclass(frozen=True, slots=True)
class _SettingsBuilder:
    parser: configparser.ConfigParser
    file: str

    def build(self) -> Settings:
        self._refuse_unknown_names()
        customers = self._read_customers()
        return Settings(
            daemon=DaemonSettings(**self._read_section("daemon")),
            peers=PeerSettings(**self._read_section("peers")),
            calls=self._read_calls(customers),
            admin=AdminSettings(**self._read_section("admin")),
            log=LogSettings(**self._read_section("log")),
            mesh=MeshSettings(**self._read_section("mesh")),
            customers=customers,
        )

    def _refuse_unknown_names(self) -> None:
        known = {(item.section, item.key) for item in SETTING_KEYS}
        sections = {section for section, _ in known} | {CUSTOMERS_SECTION}
        if self.parser.defaults():
            raise SettingsError(self.file, "DEFAULT", "", "is not a section of the settings")
        for section in self.parser.sections():
            if section not in sections:
                raise SettingsError(self.file, section, "", "is not a section of the settings")
            if section == CUSTOMERS_SECTION:
                continue
            for key in self.parser[section]:
                if (section, key) not in known:
                    raise SettingsError(self.file, section, key, "is not a known key")

    def _read_section(self, section: str) -> dict[str, Any]:
        items = (item for item in SETTING_KEYS if item.section == section)
        return {item.key: self._read_value(item) for item in items}

    def _read_calls(self, customers: Mapping[str, bytes]) -> CallListenerSettings:
        settings = CallListenerSettings(**self._read_section("calls"))
        name = settings.default_customer
        if name and name not in customers:
            reason = f"'{name}' is not listed in [{CUSTOMERS_SECTION}]"
            raise SettingsError(self.file, "calls", "default_customer", reason)
        return settings

    def _read_value(self, item: SettingKey) -> object:
        text = self.parser.get(item.section, item.key, fallback=item.default)
        if text is None:
            raise SettingsError(self.file, item.section, item.key, "is required but missing")
        try:
            return item.reader.read(text.strip())
        except ValueError as error:
            raise SettingsError(self.file, item.section, item.key, str(error)) from None

    def _read_customers(self) -> Mapping[str, bytes]:
        if not self.parser.has_section(CUSTOMERS_SECTION):
            return {}
        return {
            name: self._read_customer(name, text)
            for name, text in sorted(self.parser[CUSTOMERS_SECTION].items())
        }

    def _read_customer(self, name: str, text: str) -> bytes:
        try:
            NameReader().read(name)
            return KeyReader(KEY_BYTES).read(text.strip())
        except ValueError as error:
            raise SettingsError(self.file, CUSTOMERS_SECTION, name, str(error)) from None
