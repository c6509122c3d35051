"""`fulmarstile members`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_cli.admin_client import open_admin_client
from fulmarstile_cli.command import define_admin, define_json, refuse_arguments, require
from fulmarstile_cli.exit_codes import ExitCode
from fulmarstile_cli.output import print_json, print_table

if TYPE_CHECKING:
    from collections.abc import Sequence

    from absl import flags

    from fulmarstile_wire.admin import MemberView


class MembersCommand:
    """Lists the daemons and their upstreams."""

    name = "members"
    usage = "--admin=HOST:PORT[,...] [--json]"
    summary = "List the daemons that one daemon knows, with their status and upstreams."

    def define_flags(self, values: flags.FlagValues) -> None:
        """Defines the command's flags."""
        define_admin(values)
        define_json(values)

    async def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> ExitCode:
        """Prints the members."""
        refuse_arguments(arguments)
        require(values, "admin")
        async with open_admin_client(values.admin) as client:
            members = await client.fetch_members()
        if values.json:
            print_json(members)
        else:
            header = ("daemon", "status", "region", "availability zone", "calls", "upstreams")
            print_table(header, map(_make_row, members))
        return ExitCode.OK


def _make_row(member: MemberView) -> tuple[object, ...]:
    upstreams = ", ".join(
        f"{upstream.service} ({upstream.status}, {upstream.slots} slots)"
        for upstream in member.upstreams
    )
    return (
        member.daemon_id,
        member.status,
        member.region,
        member.availability_zone,
        member.calls_address,
        upstreams or "-",
    )
