"""`fulmarstile dump`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_cli.admin_client import open_admin_client
from fulmarstile_cli.command import define_admin, define_json, refuse_arguments, require
from fulmarstile_cli.exit_codes import ExitCode
from fulmarstile_cli.output import print_json

if TYPE_CHECKING:
    from collections.abc import Sequence

    from absl import flags


class DumpCommand:
    """Prints a daemon's whole state."""

    name = "dump"
    usage = "--admin=HOST:PORT[,...]"
    summary = "Print the whole state of a daemon as JSON."

    def define_flags(self, values: flags.FlagValues) -> None:
        """Defines the command's flags."""
        define_admin(values)
        define_json(values)

    async def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> ExitCode:
        """Prints the state."""
        refuse_arguments(arguments)
        require(values, "admin")
        async with open_admin_client(values.admin) as client:
            print_json(await client.fetch_state())
        return ExitCode.OK
