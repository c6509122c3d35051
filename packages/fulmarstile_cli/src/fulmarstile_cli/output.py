"""Output of the command: text for people, JSON for scripts."""

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
    """Prints one line at once, also into a pipe."""
    print(line, flush=True)


def print_error(line: str) -> None:
    """Prints one line to the standard error."""
    print(line, file=sys.stderr, flush=True)


def print_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Prints rows in columns as wide as their widest value."""
    cells = [list(header), *([str(value) for value in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    for row in cells:
        line = "  ".join(value.ljust(width) for value, width in zip(row, widths, strict=True))
        print_line(line.rstrip())


def describe_refusal(refusal: RefusalView) -> str:
    """Returns a refusal in one line."""
    place = ""
    if refusal.section:
        place = f"section {refusal.section}"
        place += f" line {refusal.line}: " if refusal.line else ": "
    return f"{place}{refusal.reason} ({refusal.code})"


def describe_convergence(report: ConvergenceView) -> str:
    """Returns in one line on how many daemons a version is in force."""
    return f"version {report.version} in force on {report.in_force} of {report.total} daemons"


def print_missing(report: ConvergenceView) -> None:
    """Prints the daemons on which a version is not in force yet."""
    for missing in report.missing:
        print_line(
            f"  missing: {missing.daemon_id} ({missing.status}) has version {missing.version}, "
            f"for {missing.since_s:.1f} s"
        )
