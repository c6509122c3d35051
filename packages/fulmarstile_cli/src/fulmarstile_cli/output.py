"""Output of the command: text for operators, JSON for scripts."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from fulmarstile_wire.admin import ConvergenceView, RefusalView


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    print_line(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_line(line: str) -> None:
    """Prints one line and flushes it, so that readers of a pipe get it at once."""
    print(line, flush=True)


def print_error(line: str) -> None:
    """Prints one line to standard error."""
    print(line, file=sys.stderr, flush=True)


def print_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Prints rows in aligned columns."""
    cells = [list(header), *([str(value) for value in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    for row in cells:
        line = "  ".join(value.ljust(width) for value, width in zip(row, widths, strict=True))
        print_line(line.rstrip())


def describe_refusal(refusal: RefusalView) -> str:
    """Formats a refusal as one line."""
    location = ""
    if refusal.section:
        location = f"section {refusal.section}"
        location += f" line {refusal.line}: " if refusal.line else ": "
    return f"{location}{refusal.reason} ({refusal.code})"


def describe_convergence(report: ConvergenceView) -> str:
    """Formats as one line on how many daemons a version is in force."""
    return f"version {report.version} in force on {report.in_force} of {report.total} daemons"


def print_missing(report: ConvergenceView) -> None:
    """Prints the daemons on which a version is not in force yet."""
    for missing in report.missing:
        print_line(
            f"  missing: {missing.daemon_id} ({missing.status}) has version {missing.version}, "
            f"for {missing.since_s:.1f} s"
        )
