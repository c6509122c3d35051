"""Entry point of `fulmarstiled`."""

from __future__ import annotations

import enum
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import trio
from absl import app, flags
from loguru import logger

from fulmarstile_daemon.logs import configure_logs
from fulmarstile_daemon.peers.links import PeerListenError
from fulmarstile_daemon.service import run_daemon
from fulmarstile_daemon.settings import SettingsError, load_settings
from fulmarstile_platform.http_server import HttpListenError

if TYPE_CHECKING:
    from collections.abc import Sequence

_SETTINGS = flags.DEFINE_string("settings", None, "INI file with the settings of the daemon.")


class ExitCode(enum.IntEnum):
    """Exit codes of `fulmarstiled`."""

    OK = 0
    FAILED = 1
    """The daemon stopped because of an unexpected error."""
    USAGE = 2
    """The command line or the settings are not valid."""
    LISTEN = 3
    """An address cannot be listened at."""


def main(arguments: Sequence[str]) -> int:
    """Runs the daemon until it is told to stop.

    Args:
        arguments: Command line; flags have been taken out of it.

    Returns:
        The exit code.
    """
    if len(arguments) > 1 or not _SETTINGS.value:
        return _fail(ExitCode.USAGE, "usage: fulmarstiled --settings=FILE")
    try:
        settings = load_settings(Path(_SETTINGS.value))
    except SettingsError as error:
        return _fail(ExitCode.USAGE, str(error))
    configure_logs(settings.daemon.log_format, settings.daemon.log_level)
    try:
        trio.run(run_daemon, settings)
    except* PeerListenError as group:
        return _fail(ExitCode.LISTEN, f"[peers] address: {group.exceptions[0]}")
    except* HttpListenError as group:
        return _fail(ExitCode.LISTEN, str(group.exceptions[0]))
    logger.info("stopped")
    return ExitCode.OK


def run() -> None:
    """Runs the daemon as a command."""
    app.run(main)


def _fail(code: ExitCode, reason: str) -> int:
    print(f"fulmarstiled: {reason}", file=sys.stderr)
    return code


if __name__ == "__main__":
    run()
