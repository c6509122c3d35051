"""Settings of the daemon: an INI file, validated when the daemon starts."""

from fulmarstile_daemon.settings.errors import SettingsError
from fulmarstile_daemon.settings.loader import load_settings, parse_settings
from fulmarstile_daemon.settings.model import Settings

__all__ = ["Settings", "SettingsError", "load_settings", "parse_settings"]
