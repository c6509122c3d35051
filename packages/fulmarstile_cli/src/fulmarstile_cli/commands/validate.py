"""`fulmarstile validate`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_cli.command import define_json
from fulmarstile_cli.errors import UsageError
from fulmarstile_cli.exit_codes import ExitCode
from fulmarstile_cli.files import read_sections
from fulmarstile_cli.output import describe_refusal, print_json, print_line
from fulmarstile_config import validate_sections
from fulmarstile_wire.admin import RefusalView

if TYPE_CHECKING:
    from collections.abc import Sequence

    from absl import flags


class ValidateCommand:
    """Checks section files as one complete document, without a daemon."""

    name = "validate"
    usage = "FILE...|DIR [--json]"
    summary = "Check section files, each named SECTION.yaml, as one complete document."

    def define_flags(self, values: flags.FlagValues) -> None:
        """Defines the command's flags."""
        define_json(values)

    async def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> ExitCode:
        """Prints what a daemon would refuse."""
        if not arguments:
            raise UsageError("name at least one file or directory")
        sections = read_sections(arguments)
        refusals = [
            RefusalView(refusal.code.value, refusal.reason, refusal.section, refusal.line)
            for refusal in validate_sections(sections)
        ]
        if values.json:
            print_json(refusals)
        elif not refusals:
            print_line(f"valid: {', '.join(sorted(sections))}")
        else:
            for refusal in refusals:
                print_line(describe_refusal(refusal))
        return ExitCode.REFUSED if refusals else ExitCode.OK
