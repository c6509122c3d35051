"""A `fulmarstiled` for the bench of configuration: reports when versions come in force.

It is the product's daemon, but for the relay that `--design` names, and for one line on
standard output each time that a version is put in force.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from absl import app, flags

from fulmarstile_daemon import assembly, runner
from fulmarstile_daemon import main as daemon_main
from fulmarstile_mesh import Membership, Relay
from fulmarstile_testing.bench_config_baselines import APPLIED_MARK, FloodingRelay, TailingRelay

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarstile_mesh import Effect

LOG_CONNECTIONS: Final = 32
"""Connections to the log, so that no long poll of the tailing design keeps others waiting."""

RELAYS: Final = {"push": Relay, "pull": Relay, "tail": TailingRelay, "flood": FloodingRelay}
"""Relay core of each design."""

_DESIGN = flags.DEFINE_enum("design", "push", sorted(RELAYS), "How configuration spreads.")


class ReportingMembership(Membership):
    """Prints the time of day at which a version is put in force."""

    def report_applied(
        self, customer: str, version: int, digest: bytes, now: float
    ) -> list[Effect]:
        """Reports the version that the local daemon has put in force."""
        print(APPLIED_MARK, version, f"{time.time():.6f}", flush=True)
        return super().report_applied(customer, version, digest, now)


def run(arguments: Sequence[str]) -> int:
    """Runs the daemon with the chosen relay."""
    assembly.Relay = RELAYS[_DESIGN.value]
    assembly.Membership = ReportingMembership
    runner.EXTRA_LOG_CONNECTIONS = LOG_CONNECTIONS
    return daemon_main.main(arguments)


if __name__ == "__main__":
    app.run(run)
