"""`fulmarstile explain`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Final

from fulmarstile_cli.command import define_json
from fulmarstile_cli.errors import UsageError
from fulmarstile_cli.exit_codes import ExitCode
from fulmarstile_cli.output import print_json, print_line
from fulmarstile_cli.request_trace import RequestTrace

if TYPE_CHECKING:
    from collections.abc import Sequence

    from absl import flags

_STANDARD_INPUT: Final = "-"


class ExplainCommand:
    """Shows how one request ended and why, from the logs of daemons."""

    name = "explain"
    usage = "REQUEST_ID LOGFILE...|- [--json]"
    summary = "Trace a request through the logs of daemons and show what decided its outcome."

    def define_flags(self, values: flags.FlagValues) -> None:
        """Defines the command's flags."""
        define_json(values)

    async def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> ExitCode:
        """Prints the log lines of the request, the decisive one and the verdict."""
        if len(arguments) < 2:
            raise UsageError("name a request id and at least one log file, or - for standard input")
        trace = RequestTrace(arguments[0])
        for name in arguments[1:]:
            _read_log(trace, name)
        trace.sort()
        if values.json:
            print_json({"verdict": trace.verdict(), "lines": [line.fields for line in trace.lines]})
        else:
            _print_trace(trace)
        return ExitCode.OK if trace.lines else ExitCode.DIFFERENT


def _read_log(trace: RequestTrace, name: str) -> None:
    if name == _STANDARD_INPUT:
        trace.read(sys.stdin)
        return
    try:
        with Path(name).open(encoding="utf-8", errors="replace") as file:
            trace.read(file)
    except OSError as error:
        raise UsageError(f"cannot read {name}: {error.strerror}") from None


def _print_trace(trace: RequestTrace) -> None:
    for line in trace.lines:
        print_line(line.describe())
    decisive = trace.decisive_line()
    if decisive is None:
        print_line(f"no line mentions request {trace.request_id}")
    else:
        print_line(f"decisive: {decisive.describe()}")
        print_line(f"verdict: {trace.verdict()}")
    if trace.omitted:
        kinds = ", ".join(f"{count} of {kind}" for kind, count in sorted(trace.omitted.items()))
        print_line(f"omitted by the daemons because of their volume: {kinds}")
    if trace.malformed_lines:
        print_line(f"lines that could not be read: {trace.malformed_lines}")
