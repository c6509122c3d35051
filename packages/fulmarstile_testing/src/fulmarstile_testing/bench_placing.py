"""How many upstreams a daemon should compare for a request, in virtual time.

Run as `python -m fulmarstile_testing.bench_placing`. The same seed gives the same figures on
every machine.
"""

from __future__ import annotations

from absl import app, flags

from fulmarstile_services.balancing import BalancingSettings
from fulmarstile_testing.virtual_service import ServiceShape, VirtualService

_SEED = flags.DEFINE_integer("seed", 1, "Seed of all randomness.")
_SECONDS = flags.DEFINE_float("seconds", 20.0, "Virtual time of each load.")
_ENTRIES = flags.DEFINE_integer("entries", 100, "Daemons that callers send to.")
_COMPARED = flags.DEFINE_list("compared", ["2", "3", "6", "12", "24"], "Upstreams compared.")
_LOADS = flags.DEFINE_list("loads", ["0.6", "0.8", "0.95", "1.3"], "Parts of the capacity.")


def main(argv: list[str]) -> None:
    """Prints a line for each load and number of upstreams compared."""
    del argv
    shape = ServiceShape()
    print(
        f"{'load':>5} {'compared':>8} {'in target':>9} {'refused':>8} {'p99 s':>6} {'crossing':>8}"
    )
    for load in _LOADS.value:
        for compared in _COMPARED.value:
            settings = BalancingSettings(compared=int(compared))
            service = VirtualService(shape, settings, _ENTRIES.value, _SEED.value)
            result = service.run(float(load), _SECONDS.value)
            asked = result.asked
            print(
                f"{load:>5} {compared:>8} {result.in_target / asked:9.3f} "
                f"{result.refused / asked:8.3f} {result.p99_s:6.2f} {result.crossings / asked:8.3f}"
            )


if __name__ == "__main__":
    app.run(main)
