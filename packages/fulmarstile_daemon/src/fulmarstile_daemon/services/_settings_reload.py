"""Reads the settings of the daemon again when they change."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services.events import SettingsReloaded
from fulmarstile_services.settings import NodeSettingsError

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.ports import Platform
    from fulmarstile_services.settings import NodeSettings

_POLL_S: Final = 1.0
"""Interval of the check whether the settings have changed, in seconds."""


class SettingsReloader:
    """Holds the settings in force, and replaces them by those that the platform has now.

    Settings with an error are logged and ignored; the earlier ones stay in force.

    Args:
        platform: Platform that the daemon runs on.
        settings: Settings as read at the start.
        apply: Applies settings to the daemon.
        log: Log of the daemon.
    """

    def __init__(
        self,
        platform: Platform,
        settings: NodeSettings,
        apply: Callable[[NodeSettings], None],
        log: EventLog,
    ) -> None:
        self._platform = platform
        self._settings = settings
        self._apply = apply
        self._log = log
        self.on_reload: list[Callable[[NodeSettings], None]] = []
        """Functions that are called with settings read again, after `apply`."""

    @property
    def settings(self) -> NodeSettings:
        """Settings in force."""
        return self._settings

    def reload(self) -> None:
        """Reads the settings and applies them."""
        try:
            settings = self._platform.read_settings()
        except NodeSettingsError as error:
            self._log.write(SettingsReloaded(service=self._settings.service, error=str(error)))
            return
        self._settings = settings
        self._apply(settings)
        for on_reload in self.on_reload:
            on_reload(settings)
        self._log.write(SettingsReloaded(service=settings.service))

    async def watch(self) -> None:
        """Reloads the settings whenever they have changed, until cancelled."""
        stamp = self._platform.settings_stamp()
        while True:
            await trio.sleep(_POLL_S)
            current = self._platform.settings_stamp()
            if current != stamp:
                stamp = current
                self.reload()
