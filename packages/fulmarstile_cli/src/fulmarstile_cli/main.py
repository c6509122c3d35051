"""Entry point of the `fulmarstile` command."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import trio

from fulmarstile_cli.command import parse_flags, render_help
from fulmarstile_cli.commands import COMMANDS
from fulmarstile_cli.errors import CommandError, UsageError
from fulmarstile_cli.exit_codes import ExitCode
from fulmarstile_cli.output import print_error, print_line

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarstile_cli.command import Command

_HELP_FLAGS = frozenset({"--help", "-h", "-help", "help"})


def run() -> None:
    """Runs the command line of the process and exits."""
    try:
        sys.exit(main(sys.argv[1:]))
    except KeyboardInterrupt:
        sys.exit(128 + 2)


def main(arguments: Sequence[str]) -> ExitCode:
    """Runs one command.

    Args:
        arguments: Command line without the program's name.

    Returns:
        The exit code.
    """
    return trio.run(run_command, arguments)


async def run_command(arguments: Sequence[str]) -> ExitCode:
    """Runs one command within a running trio loop.

    Args:
        arguments: Command line without the program's name.

    Returns:
        The exit code.
    """
    if not arguments or arguments[0] in _HELP_FLAGS:
        print_line(render_overview())
        return ExitCode.OK if arguments else ExitCode.USAGE
    try:
        return await _run_named(arguments[0], arguments[1:])
    except CommandError as error:
        print_error(f"fulmarstile: {error}")
        return error.exit_code


def render_overview() -> str:
    """Returns the help of the whole command."""
    lines = ["usage: fulmarstile COMMAND [flags] [arguments]", "", "commands:"]
    lines += [f"  {command.name:<10}{command.summary}" for command in COMMANDS]
    lines += ["", "`fulmarstile COMMAND --help` shows a command's flags.", "", "exit codes:"]
    lines += [f"  {code.value}  {code.name.lower().replace('_', ' ')}" for code in ExitCode]
    return "\n".join(lines)


async def _run_named(name: str, arguments: Sequence[str]) -> ExitCode:
    command = _find_command(name)
    if _HELP_FLAGS & set(arguments):
        print_line(render_help(command))
        return ExitCode.OK
    values, rest = parse_flags(command, arguments)
    return await command.run(values, rest)


def _find_command(name: str) -> Command:
    for command in COMMANDS:
        if command.name == name:
            return command
    known = ", ".join(command.name for command in COMMANDS)
    raise UsageError(f"unknown command {name!r}; use one of {known}")


if __name__ == "__main__":
    run()
