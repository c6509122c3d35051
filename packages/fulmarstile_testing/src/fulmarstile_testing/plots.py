"""Plots of the benches' JSON as SVG.

Run it with `python -m fulmarstile_testing.plots --commit=$(git rev-parse --short HEAD)` after
`make bench-config` and `make bench-calls`.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Final, TypeVar

import matplotlib as mpl
import msgspec
from absl import app, flags
from matplotlib.figure import Figure

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from matplotlib.axes import Axes

CONFIG_REPORT: Final = "bench_config.json"
CALLS_REPORT: Final = "bench_calls.json"

_INPUT = flags.DEFINE_string("input", "out", "Directory of the benches' JSON files.")
_OUTPUT = flags.DEFINE_string("output", "docs/plots", "Directory of the plots.")
_COMMIT = flags.DEFINE_string("commit", "", "Commit that the benches ran at.")

_Row = TypeVar("_Row")

_SIZE_INCHES: Final = (7.0, 4.0)


class ConfigRow(msgspec.Struct, frozen=True):
    """One design at one size, from the bench of configuration distribution."""

    design: str
    size: int
    p50_ms: float
    p99_ms: float
    bytes_per_change: float
    idle_bytes_per_s: float


class PathRow(msgspec.Struct, frozen=True):
    """One path of calls, from the bench of calls."""

    path: str
    added_p50_ms: float
    added_p99_ms: float


class CallsReport(msgspec.Struct, frozen=True):
    """What the plots need of the bench of calls."""

    paths: tuple[PathRow, ...]


def plot_reports(source: Path, target: Path, commit: str) -> list[Path]:
    """Plots the reports that exist.

    Args:
        source: Directory of the JSON files.
        target: Directory of the plots; made if it is missing.
        commit: Commit that the benches ran at.

    Returns:
        The plots written.
    """
    target.mkdir(parents=True, exist_ok=True)
    written = []
    if (source / CONFIG_REPORT).exists():
        rows = msgspec.json.decode((source / CONFIG_REPORT).read_bytes(), type=list[ConfigRow])
        written.append(_plot(target / "convergence.svg", commit, _draw_convergence, rows))
        written.append(_plot(target / "control_bytes.svg", commit, _draw_bytes, rows))
    if (source / CALLS_REPORT).exists():
        report = msgspec.json.decode((source / CALLS_REPORT).read_bytes(), type=CallsReport)
        written.append(_plot(target / "added_latency.svg", commit, _draw_latency, report.paths))
    return written


def _plot(
    path: Path, commit: str, draw: Callable[[Axes, Sequence[_Row]], None], rows: Sequence[_Row]
) -> Path:
    figure = Figure(figsize=_SIZE_INCHES, layout="constrained")
    axes = figure.subplots()
    draw(axes, rows)
    axes.grid(alpha=0.3)
    figure.text(0.99, 0.01, f"commit {commit}", ha="right", fontsize="x-small")
    with mpl.rc_context({"svg.hashsalt": path.name, "svg.fonttype": "none"}):
        figure.savefig(path, metadata={"Date": None, "Description": f"commit {commit}"})
    return path


def _draw_convergence(axes: Axes, rows: Sequence[ConfigRow]) -> None:
    for design in _list_designs(rows):
        selected = _select(rows, design)
        sizes = [row.size for row in selected]
        axes.plot(sizes, [row.p99_ms for row in selected], marker="o", label=f"{design}, p99")
        axes.plot(sizes, [row.p50_ms for row in selected], linestyle=":", label=f"{design}, p50")
    axes.set_title("Acceptance until in force everywhere")
    axes.set_xlabel("daemons")
    axes.set_ylabel("ms")
    axes.legend(fontsize="small")


def _draw_bytes(axes: Axes, rows: Sequence[ConfigRow]) -> None:
    for design in _list_designs(rows):
        selected = _select(rows, design)
        sizes = [row.size for row in selected]
        axes.plot(sizes, [row.bytes_per_change for row in selected], marker="o", label=design)
    axes.set_title("Control bytes of one change per daemon")
    axes.set_xlabel("daemons")
    axes.set_ylabel("bytes")
    axes.set_ylim(bottom=0)
    axes.legend(fontsize="small")


def _draw_latency(axes: Axes, rows: Sequence[PathRow]) -> None:
    names = [row.path for row in rows]
    axes.barh(names, [row.added_p99_ms for row in rows], label="p99")
    axes.barh(names, [row.added_p50_ms for row in rows], label="p50")
    axes.invert_yaxis()
    axes.set_title("Latency added to a direct call")
    axes.set_xlabel("ms")
    axes.legend(fontsize="small")


def _list_designs(rows: Sequence[ConfigRow]) -> list[str]:
    return sorted({row.design for row in rows})


def _select(rows: Sequence[ConfigRow], design: str) -> list[ConfigRow]:
    return sorted((row for row in rows if row.design == design), key=lambda row: row.size)


def main(argv: list[str]) -> None:
    """Writes the plots.

    Args:
        argv: Command line; flags only.
    """
    if len(argv) > 1 or not _COMMIT.value:
        raise app.UsageError("the commit of the benches is needed, by flag")
    for path in plot_reports(Path(_INPUT.value), Path(_OUTPUT.value), _COMMIT.value):
        print(path)


if __name__ == "__main__":
    app.run(main)
