"""Entry point of `fulmarstiled`."""

from __future__ import annotations

import enum
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Final, NoReturn

import trio
from absl import app, flags
from loguru import logger

from fulmarstile_daemon.logging_setup import configure_logging
from fulmarstile_daemon.peers.links import PeerListenError
from fulmarstile_daemon.process_end import end_process
from fulmarstile_daemon.runner import CallListenError, run_daemon
from fulmarstile_daemon.settings import SettingsError, load_settings
from fulmarstile_platform.http_server import HttpListenError

if TYPE_CHECKING:
    from collections.abc import Sequence

_SETTINGS = flags.DEFINE_string("settings", None, "INI file with the settings of the daemon.")


_LISTENER_SECTIONS: Final[dict[type, str]] = {
    PeerListenError: "peers",
    CallListenError: "calls",
    HttpListenError: "admin",
}
"""Settings section with the address of the listener that each error type refers to."""


HELP: Final = """\
usage: fulmarstiled --settings=FILE

Proxies calls, limits the calls that run on the upstream of this VM to its slots, and keeps the
configuration of its customers up to date. SIGTERM stops it once the calls in flight have ended;
after a second one it no longer waits for them.

flags:
  --settings: INI file; docs/SETTINGS.md describes every key.

exit codes:
  0  clean shutdown
  1  unexpected error
  2  invalid command line or settings
  3  cannot listen on an address
"""
"""Text printed by `--help`."""

_HELP_FLAGS: Final = frozenset({"--help", "-help", "-h"})


class ExitCode(enum.IntEnum):
    """Exit codes of `fulmarstiled`."""

    OK = 0
    FAILED = 1
    """The daemon stopped because of an unexpected error."""
    USAGE = 2
    """The command line or the settings are invalid."""
    LISTEN = 3
    """The daemon cannot listen on one of its addresses."""


def main(arguments: Sequence[str]) -> int:
    """Runs the daemon until it is stopped by a signal.

    Args:
        arguments: Command line without the flags.

    Returns:
        The exit code.
    """
    if len(arguments) > 1 or not _SETTINGS.value:
        return _report_failure(ExitCode.USAGE, "usage: fulmarstiled --settings=FILE")
    settings_file = Path(_SETTINGS.value)
    try:
        settings = load_settings(settings_file)
    except SettingsError as error:
        return _report_failure(ExitCode.USAGE, str(error))
    configure_logging(settings.daemon.log_format, settings.daemon.log_level)
    failure: BaseException | None = None
    try:
        trio.run(run_daemon, settings)
    except* (PeerListenError, CallListenError, HttpListenError) as group:
        failure = _get_first_error(group)
    if failure is not None:
        section = _LISTENER_SECTIONS[type(failure)]
        return _report_failure(
            ExitCode.LISTEN, f"{settings_file.name}: [{section}] address: {failure}"
        )
    logger.info("stopped")
    return ExitCode.OK


def run() -> None:
    """Entry point of the `fulmarstiled` command."""
    if _HELP_FLAGS.intersection(sys.argv[1:]):
        print(HELP, end="")
        return
    app.run(_run_and_end_process)


def _run_and_end_process(arguments: Sequence[str]) -> NoReturn:
    end_process(main(arguments))


def _get_first_error(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _report_failure(code: ExitCode, reason: str) -> int:
    print(f"fulmarstiled: {reason}", file=sys.stderr)
    return code


if __name__ == "__main__":
    run()
