"""Runs the daemon as a process."""

from __future__ import annotations

import logging
import os
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services.daemon import ServiceDaemon
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_services.settings import NodeSettingsError

if TYPE_CHECKING:
    from fulmarstile_daemon.services.early_signals import EarlySignals
    from fulmarstile_daemon.services.ports import Platform

_LOGGER: Final = logging.getLogger(__name__)


def run_service_daemon(platform: Platform, early_signals: EarlySignals) -> int:
    """Runs the daemon until it is stopped.

    Args:
        platform: Platform that it runs on.
        early_signals: Handles the signals that arrive before the daemon does.

    Returns:
        The exit code of the process.
    """
    try:
        settings = platform.read_settings()
    except NodeSettingsError as error:
        _LOGGER.error("%s", error)
        return os.EX_CONFIG
    log = EventLog(settings.name)
    log.capture_logging()
    daemon = ServiceDaemon(platform, settings, log, early_signals)
    try:
        trio.run(daemon.run)
    except Exception:
        _LOGGER.exception("daemon terminated by an unexpected error")
        log.flush()
        return os.EX_SOFTWARE
    daemon.write_end()
    return os.EX_OK
