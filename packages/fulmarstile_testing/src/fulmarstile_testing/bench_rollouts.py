"""Bench of roll-outs: exposure, time to the decision and cost of evaluators, in virtual time.

Prints a table and writes `out/bench_rollouts.json`.
"""

from __future__ import annotations

import itertools
import math
import multiprocessing
import time
from pathlib import Path
from typing import Final

import msgspec
from absl import app, flags

from fulmarstile_services.rollouts.counter import EvidenceCounter
from fulmarstile_services.rollouts.evaluator import RolloutEvaluator
from fulmarstile_services.rollouts.model import RolloutOrder, ServicePool, ServingUpstream
from fulmarstile_testing.virtual_rollout import (
    BOUNDS,
    Badness,
    RolloutPlay,
    RolloutResult,
    VirtualRollout,
)
from fulmarstile_wire.rollouts import RolloutPhase

_BURST: Final = Badness(fail_ratio=0.6, from_s=4.0, until_s=5.0)
_SHARED: Final = Badness(fail_ratio=0.05)
BAD_KINDS: Final[dict[str, dict[str, object]]] = {
    "fails 20%": {"target": Badness(fail_ratio=0.2)},
    "fails 50%": {"target": Badness(fail_ratio=0.5)},
    "fails 100%": {"target": Badness(fail_ratio=1.0)},
    "fails 50% from 5 s": {"target": Badness(fail_ratio=0.5, from_s=5.0)},
    "fails 50% in hand-over": {"target": Badness(fail_ratio=0.5, from_s=11.3)},
    "4 times slower": {"target": Badness(slow_ratio=4.0)},
    "fails 50% under load": {"target": Badness(fail_ratio=0.5, min_load=0.7)},
    "fails 50% on a route": {"target": Badness(fail_ratio=0.5, route="write")},
    "fails late, rate halves": {
        "target": Badness(fail_ratio=1.0, from_s=11.3),
        "rate_factor": 0.5,
    },
}
"""Bad versions, as changes of a play."""
GOOD_KINDS: Final[dict[str, dict[str, object]]] = {
    "good": {},
    "good, one fails": {"one_target": Badness(fail_ratio=0.8)},
    "good, one fails, 1%": {
        "one_target": Badness(fail_ratio=0.8),
        "target": Badness(fail_ratio=0.01),
        "baseline": Badness(fail_ratio=0.01),
    },
    "good, one slow": {"one_target": Badness(slow_ratio=6.0)},
    "good, old one fails": {"one_baseline": Badness(fail_ratio=0.8)},
    "good, both fail 5%": {"target": _SHARED, "baseline": _SHARED},
    "good, burst": {"target": _BURST, "baseline": _BURST},
    "good, cold": {"cold_s": 4.0},
    "good, rate halves": {"rate_factor": 0.5},
}
"""Good versions in a bad environment, as changes of a play."""
SIZES: Final = ["3:10", "7:60", "14:200", "70:600"]
"""Upstreams of each version, and requests per second."""
_OUT: Final = Path("out/bench_rollouts.json")


class KindFigures(msgspec.Struct, frozen=True):
    """What became of the roll-outs of one kind and size."""

    kind: str
    upstreams: int
    rate: float
    plays: int
    completed: int
    rolled_back: int
    late: int
    """Roll-outs recorded as completed after the deadline."""
    used_ratio: float
    """Largest exposure as a fraction of the allowed one."""
    exposed: float
    """Average requests to the target version."""
    decided_s: float
    """Median time from the first bad response to the roll-back, in seconds."""
    decided_max_s: float
    after_fiftieth_s: float
    """Longest time from the 50th bad response to the last request, in seconds."""
    unfinished: int
    """Most requests of the baseline that a completion cut off."""


class CostFigures(msgspec.Struct, frozen=True):
    """Processor time of an evaluator."""

    daemons: int
    merge_us: float
    """For each report."""
    evaluate_ms: float
    core_ratio: float
    """Fraction of a core, with 4 reports a second of each daemon and 4 evaluations a second."""


def play(plan: RolloutPlay) -> RolloutResult:
    """Plays one roll-out."""
    return VirtualRollout(plan).run()


def summarize(kind: str, plan: RolloutPlay, results: list[RolloutResult]) -> KindFigures:
    """Summarizes the roll-outs of one kind.

    Args:
        kind: Name of the kind.
        plan: One of the plays.
        results: Their results.
    """
    completed = [result for result in results if result.phase is RolloutPhase.COMPLETED]
    back = [result for result in results if result.phase is RolloutPhase.ROLLED_BACK]
    delays = sorted(
        result.decided_at_s - result.first_bad_at_s for result in back if result.bad
    ) or [0.0]
    after = [
        result.last_exposed_at_s - result.fiftieth_bad_at_s
        for result in back
        if not math.isinf(result.fiftieth_bad_at_s)
    ]
    return KindFigures(
        kind=kind,
        upstreams=plan.upstreams,
        rate=plan.rate,
        plays=len(results),
        completed=len(completed),
        rolled_back=len(back),
        late=sum(result.finished_at_s > plan.duration_s for result in completed),
        used_ratio=max(result.used_ratio for result in results),
        exposed=sum(result.exposed for result in results) / len(results),
        decided_s=delays[len(delays) // 2],
        decided_max_s=delays[-1],
        after_fiftieth_s=max([0.0, *after]),
        unfinished=max([0, *(result.unfinished for result in completed)]),
    )


def measure_cost(daemons: int, routes: int = 4, rounds: int = 48) -> CostFigures:
    """Measures what an evaluator costs.

    Args:
        daemons: Daemons that report, half of them beside the target version.
        routes: Routes of the service.
        rounds: Reports of each daemon.
    """
    counters = [
        EvidenceCounter(f"d-{number}", 1, f"u-{number}", 5, f"v{number % 2}")
        for number in range(daemons)
    ]
    pool = ServicePool(
        tuple(
            ServingUpstream(f"d-{number}", f"u-{number}", f"v{number % 2}", 4)
            for number in range(daemons)
        )
    )
    order = RolloutOrder("planning", "v1", 60.0, 7)
    evaluator = RolloutEvaluator(order, BOUNDS, 0.0)
    merge_s = evaluate_s = 0.0
    for turn in range(1, rounds + 1):
        now = turn / 4
        for number, counter in enumerate(counters):
            counter.on_completed(f"route-{(turn + number // 2) % routes}", 0.01 + number % 7 / 300)
            if (turn + number // 2) % 100 == 0:
                counter.on_failed(f"route-{turn % routes}", 0.01)
        reports = [counter.export(now, 1, 0) for counter in counters]
        started_at = time.process_time()
        for report in reports:
            evaluator.on_evidence(report, now)
        merged_at = time.process_time()
        evaluator.evaluate(pool, now)
        merge_s += merged_at - started_at
        evaluate_s += time.process_time() - merged_at
    return CostFigures(
        daemons=daemons,
        merge_us=merge_s / rounds / daemons * 1e6,
        evaluate_ms=evaluate_s / rounds * 1e3,
        core_ratio=(merge_s + evaluate_s) / rounds * 4,
    )


def measure_kinds(
    plays: int,
    workers: int,
    sizes: list[tuple[int, float]],
    kinds: dict[str, dict[str, object]],
) -> None:
    """Plays all kinds at all sizes, and prints a row for each.

    Args:
        plays: Roll-outs of each kind and size.
        workers: Processes that play.
        sizes: Upstreams of each version, and requests per second.
        kinds: Changes of a play by name.
    """
    print(
        f"{'kind':<24}{'size':>5}{'req/s':>6}{'plays':>6}{'done':>6}{'back':>6}{'late':>5}"
        f"{'used':>6}{'exposed':>8}{'decided s':>10}{'max':>6}{'50th+':>6}{'cut':>4}"
    )
    rows = []
    with multiprocessing.Pool(workers) as pool:
        for (upstreams, rate), (kind, changes) in itertools.product(sizes, kinds.items()):
            plans = [
                RolloutPlay(upstreams=upstreams, rate=rate, seed=seed, **changes)
                for seed in range(plays)
            ]
            row = summarize(kind, plans[0], pool.map(play, plans, chunksize=4))
            rows.append(row)
            print(
                f"{row.kind:<24}{row.upstreams:>5}{row.rate:>6.0f}{row.plays:>6}"
                f"{row.completed:>6}{row.rolled_back:>6}{row.late:>5}{row.used_ratio:>6.2f}"
                f"{row.exposed:>8.0f}{row.decided_s:>10.2f}{row.decided_max_s:>6.2f}"
                f"{row.after_fiftieth_s:>6.2f}{row.unfinished:>4}",
                flush=True,
            )
    _OUT.parent.mkdir(exist_ok=True)
    _OUT.write_bytes(msgspec.json.format(msgspec.json.encode(rows)))


def _main(_: list[str]) -> None:
    values = flags.FLAGS
    for daemons in (14, 70, 216, 720):
        cost = measure_cost(daemons)
        print(
            f"{cost.daemons} daemons: merge {cost.merge_us:.1f} us, evaluation "
            f"{cost.evaluate_ms:.2f} ms, {cost.core_ratio:.1%} of a core"
        )
    sizes = [(int(text.split(":")[0]), float(text.split(":")[1])) for text in values.sizes]
    kinds = {}
    if values.kinds in ("bad", "all"):
        kinds |= BAD_KINDS
    if values.kinds in ("good", "all"):
        kinds |= GOOD_KINDS
    if kinds:
        measure_kinds(values.plays, values.workers, sizes, kinds)


if __name__ == "__main__":
    flags.DEFINE_integer("plays", 20, "roll-outs of each kind and size")
    flags.DEFINE_integer("workers", 2, "processes that play")
    flags.DEFINE_list("sizes", SIZES, "upstreams of each version:requests per second")
    flags.DEFINE_enum("kinds", "all", ["bad", "good", "all", "none"], "kinds that are played")
    app.run(_main)
