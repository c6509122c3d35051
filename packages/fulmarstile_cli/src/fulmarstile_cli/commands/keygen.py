"""`fulmarstile keygen`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import flags

from fulmarstile_cli.command import define_json
from fulmarstile_cli.errors import UsageError
from fulmarstile_cli.exit_codes import ExitCode
from fulmarstile_cli.files import write_private_key
from fulmarstile_cli.output import print_json, print_line
from fulmarstile_config import encode_key, generate_key_pair

if TYPE_CHECKING:
    from collections.abc import Sequence


class KeygenCommand:
    """Generates a key pair for a team."""

    name = "keygen"
    usage = "--out=FILE [--json]"
    summary = "Write a new private key to FILE and print its public key."

    def define_flags(self, values: flags.FlagValues) -> None:
        """Defines the command's flags."""
        flags.DEFINE_string("out", None, "New file for the private key.", flag_values=values)
        define_json(values)

    async def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> ExitCode:
        """Writes the private key and prints the public one."""
        paths = [*([values.out] if values.out else []), *arguments]
        if len(paths) != 1:
            raise UsageError("name one file for the private key, with --out=FILE")
        pair = generate_key_pair()
        write_private_key(paths[0], pair.private_key)
        public_key = encode_key(pair.public_key)
        if values.json:
            print_json({"public_key": public_key, "private_key_file": paths[0]})
        else:
            print_line(public_key)
        return ExitCode.OK
