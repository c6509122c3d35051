"""Interface of subcommands, and parsing of their flags and arguments."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from absl import flags

from fulmarstile_cli.errors import UsageError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarstile_cli.exit_codes import ExitCode


class Command(Protocol):
    """A subcommand."""

    @property
    def name(self) -> str:
        """Word that selects the command."""
        ...

    @property
    def usage(self) -> str:
        """Arguments after the name, as the help shows them."""
        ...

    @property
    def summary(self) -> str:
        """One-line description of the command."""
        ...

    def define_flags(self, values: flags.FlagValues) -> None:
        """Defines the command's flags."""
        ...

    async def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> ExitCode:
        """Runs the command.

        Args:
            values: The parsed flags.
            arguments: Arguments that are not flags.

        Returns:
            The exit code.

        Raises:
            CommandError: If the command fails.
        """
        ...


def parse_flags(command: Command, arguments: Sequence[str]) -> tuple[flags.FlagValues, list[str]]:
    """Parses a command's flags, which may appear anywhere among its arguments.

    Raises:
        UsageError: If a flag is unknown or has a bad value.
    """
    values = make_flags(command)
    try:
        rest = values([command.name, *arguments])
    except flags.Error as error:
        raise UsageError(f"{command.name}: {error}") from None
    return values, rest[1:]


def make_flags(command: Command) -> flags.FlagValues:
    """Returns the command's flags with their defaults."""
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    command.define_flags(values)
    return values


def render_help(command: Command) -> str:
    """Returns the command's help."""
    values = make_flags(command)
    lines = [
        f"usage: fulmarstile {command.name} {command.usage}",
        "",
        command.summary,
        "",
        "flags:",
    ]
    for name in sorted(values):
        flag = values[name]
        default = "" if flag.default is None else f" (default: {flag.default_as_str})"
        prefix = "[no]" if flag.boolean else ""
        lines.append(f"  --{prefix}{name}: {flag.help}{default}")
    return "\n".join(lines)


def define_json(values: flags.FlagValues) -> None:
    """Defines `--json`."""
    flags.DEFINE_boolean("json", False, "Print JSON instead of text.", flag_values=values)


def define_admin(values: flags.FlagValues) -> None:
    """Defines `--admin`."""
    flags.DEFINE_list(
        "admin",
        None,
        "Admin addresses of daemons, HOST:PORT; the first one that answers is used.",
        flag_values=values,
    )


def define_customer(values: flags.FlagValues) -> None:
    """Defines `--customer`."""
    flags.DEFINE_string("customer", None, "Name of the customer.", flag_values=values)


def require(values: flags.FlagValues, *names: str) -> None:
    """Checks that flags are given.

    Raises:
        UsageError: If one of them is missing.
    """
    for name in names:
        if not values[name].value:
            raise UsageError(f"--{name} is required")


def refuse_arguments(arguments: Sequence[str]) -> None:
    """Checks that there are only flags and no other arguments.

    Raises:
        UsageError: If there is another argument.
    """
    if arguments:
        raise UsageError(f"unexpected argument {arguments[0]!r}")
