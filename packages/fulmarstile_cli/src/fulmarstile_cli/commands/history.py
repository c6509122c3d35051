"""`fulmarstile history`."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING

from absl import flags

from fulmarstile_cli.admin_client import open_admin_client
from fulmarstile_cli.command import (
    define_admin,
    define_customer,
    define_json,
    refuse_arguments,
    require,
)
from fulmarstile_cli.exit_codes import ExitCode
from fulmarstile_cli.output import describe_refusal, print_json, print_table

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarstile_wire.admin import VerdictView

_MS_PER_S = 1000


class HistoryCommand:
    """Lists the recent publications and their verdicts."""

    name = "history"
    usage = "--admin=HOST:PORT[,...] --customer=NAME [--limit=N] [--json]"
    summary = "List the recent publications of a customer and their verdicts."

    def define_flags(self, values: flags.FlagValues) -> None:
        """Defines the command's flags."""
        define_admin(values)
        define_customer(values)
        define_json(values)
        flags.DEFINE_integer(
            "limit",
            50,
            "Maximum number of publications shown, latest last.",
            lower_bound=1,
            flag_values=values,
        )

    async def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> ExitCode:
        """Prints the verdicts in the order of the log."""
        refuse_arguments(arguments)
        require(values, "admin", "customer")
        async with open_admin_client(values.admin) as client:
            verdicts = (await client.fetch_history(values.customer))[-values.limit :]
        if values.json:
            print_json(verdicts)
        else:
            header = ("appended", "publication", "team", "sections", "version", "verdict")
            print_table(header, map(_make_row, verdicts))
        return ExitCode.OK


def _make_row(verdict: VerdictView) -> tuple[object, ...]:
    appended = datetime.fromtimestamp(verdict.appended_at_ms / _MS_PER_S, UTC)
    refusal = verdict.refusal
    return (
        appended.strftime("%Y-%m-%d %H:%M:%S"),
        verdict.publication_id or "-",
        verdict.team or "-",
        ",".join(verdict.sections) or "-",
        verdict.version,
        "accepted" if refusal is None else f"refused: {describe_refusal(refusal)}",
    )
