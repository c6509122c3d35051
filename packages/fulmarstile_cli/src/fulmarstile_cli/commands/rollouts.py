"""`fulmarstile rollouts`."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fulmarstile_cli.admin_client import open_admin_client
from fulmarstile_cli.command import define_admin, define_json, refuse_arguments, require
from fulmarstile_cli.errors import UnreachableError
from fulmarstile_cli.exit_codes import ExitCode
from fulmarstile_cli.output import print_json, print_line, print_table

if TYPE_CHECKING:
    from collections.abc import Sequence

    from absl import flags


class RolloutSummary(msgspec.Struct, frozen=True):
    """A roll-out as a daemon's state describes it."""

    service: str
    order_offset: int
    target_version: str
    duration_s: float
    age_s: float
    phase: str
    share: float
    canaries: tuple[str, ...]
    promote_at_s: float
    reason: str
    is_recorded: bool
    is_fresh: bool
    is_sealed: bool
    evaluators: tuple[str, ...]
    figures: dict[str, float]
    excluded: tuple[str, ...]
    only: str | None


class RolloutsCommand:
    """Lists the roll-outs that one daemon knows."""

    name = "rollouts"
    usage = "--admin=HOST:PORT[,...] [--json]"
    summary = "List the newest roll-out of each service, as one daemon knows it."

    def define_flags(self, values: flags.FlagValues) -> None:
        """Defines the command's flags."""
        define_admin(values)
        define_json(values)

    async def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> ExitCode:
        """Prints the roll-outs."""
        refuse_arguments(arguments)
        require(values, "admin")
        async with open_admin_client(values.admin) as client:
            state = await client.fetch_state()
        rollouts = _read_rollouts(state)
        if values.json:
            print_json(rollouts)
            return ExitCode.OK
        if not rollouts:
            print_line("no roll-outs")
            return ExitCode.OK
        header = ("service", "target", "phase", "age", "deadline", "share", "moves at", "reason")
        print_table(header, map(_make_row, rollouts))
        for rollout in rollouts:
            _print_details(rollout)
        return ExitCode.OK


def _read_rollouts(state: object) -> list[RolloutSummary]:
    """Returns the roll-outs of a daemon's state.

    Raises:
        UnreachableError: If the state is not that of a daemon with roll-outs.
    """
    try:
        return msgspec.convert(state, _State).rollouts
    except msgspec.ValidationError as error:
        raise UnreachableError(f"the daemon's state has no roll-outs: {error}") from error


class _State(msgspec.Struct, frozen=True):
    rollouts: list[RolloutSummary]


def _make_row(rollout: RolloutSummary) -> tuple[object, ...]:
    return (
        rollout.service,
        rollout.target_version,
        rollout.phase,
        f"{rollout.age_s:.1f} s",
        f"{rollout.duration_s:g} s",
        f"{rollout.share:.1%}",
        f"{rollout.promote_at_s:.1f} s" if rollout.promote_at_s else "-",
        rollout.reason or "-",
    )


def _print_details(rollout: RolloutSummary) -> None:
    """Prints what explains the phase of a roll-out."""
    print_line(f"{rollout.service}, order {rollout.order_offset}:")
    is_final = rollout.phase in ("completed", "rolled-back")
    if is_final and not rollout.is_recorded:
        print_line("  the decision is not in the store yet")
    if not is_final and not rollout.is_fresh:
        print_line("  the state is out of date, so this daemon uses the baseline only")
    if rollout.canaries:
        print_line(f"  canaries: {', '.join(rollout.canaries)}")
    print_line(f"  evaluators: {', '.join(rollout.evaluators) or 'none is reachable'}")
    if rollout.figures:
        pairs = (f"{name} {value:g}" for name, value in rollout.figures.items())
        print_line(f"  figures: {', '.join(pairs)}")
    if rollout.excluded:
        print_line(f"  versions without requests: {', '.join(rollout.excluded)}")
    if rollout.only is not None:
        print_line(f"  only version with requests: {rollout.only}")
