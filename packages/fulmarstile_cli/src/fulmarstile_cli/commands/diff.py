"""`fulmarstile diff`."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING

import msgspec

from fulmarstile_cli.admin_client import open_admin_client
from fulmarstile_cli.command import define_admin, define_customer, define_json, require
from fulmarstile_cli.errors import UsageError
from fulmarstile_cli.exit_codes import ExitCode
from fulmarstile_cli.files import parse_assignments
from fulmarstile_cli.output import print_json, print_line

if TYPE_CHECKING:
    from collections.abc import Sequence

    from absl import flags


class SectionDiff(msgspec.Struct, frozen=True):
    """Difference of one section."""

    section: str
    diff: tuple[str, ...]
    """Lines of a unified diff, from the body in force to the local one."""


class DiffCommand:
    """Compares local section files with the sections in force."""

    name = "diff"
    usage = "--admin=HOST:PORT[,...] --customer=NAME SECTION=FILE...|FILE...|DIR [--json]"
    summary = "Compare section files with the sections in force."

    def define_flags(self, values: flags.FlagValues) -> None:
        """Defines the command's flags."""
        define_admin(values)
        define_customer(values)
        define_json(values)

    async def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> ExitCode:
        """Prints a unified diff of each section that differs."""
        require(values, "admin", "customer")
        if not arguments:
            raise UsageError("name at least one section file or directory")
        local = parse_assignments(arguments)
        async with open_admin_client(values.admin) as client:
            in_force = await client.fetch_sections(values.customer)
        diffs = [_compare(section, in_force.get(section, ""), local[section]) for section in local]
        diffs = [diff for diff in diffs if diff.diff]
        if values.json:
            print_json(diffs)
        else:
            for line in (line for diff in diffs for line in diff.diff):
                print_line(line)
        return ExitCode.DIFFERENT if diffs else ExitCode.OK


def _compare(section: str, in_force: str, local: str) -> SectionDiff:
    lines = difflib.unified_diff(
        in_force.splitlines(),
        local.splitlines(),
        fromfile=f"{section} (in force)",
        tofile=f"{section} (local)",
        lineterm="",
    )
    return SectionDiff(section, tuple(lines))
