"""Which upstreams of the target version receive a share of the requests, and how large it is."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from fulmarstile_services.rollouts.model import ServingUpstream

_MAX_SHARE: Final = 0.5
"""Largest share, so that the baseline is measured over the same seconds."""
_CONTROL_DELAY_S: Final = 0.8
"""Time from a change of the share until its effect has been reported, in seconds."""
_ROTATION_S: Final = 1.0
"""Time for which the same canaries are used, in seconds."""
_PULSE_RATIO: Final = 0.5
"""Fraction of the full load of one upstream below which no canary traffic is started."""
_STOP_RATIO: Final = 0.2
"""Fraction of the full load of one upstream below which canary traffic is stopped."""
_PULSE_BUDGET_RATIO: Final = 0.3
"""Fraction of the canaries' budget that is always worth a pulse."""
_MIN_PULSE_REQUESTS: Final = 2.0
"""Requests below which no pulse is started."""


@dataclass(frozen=True, slots=True)
class CanaryPlan:
    """Share of the requests for the canaries, and the names of their daemons."""

    share: float = 0.0
    canaries: tuple[str, ...] = ()


class CanaryPlanner:
    """Concentrates the canary traffic on as few upstreams as get their later load from it.

    If the budget does not pay for one upstream's load all the time, the traffic comes in pulses:
    full load for about a second, then none until the budget has grown again.
    """

    def __init__(self) -> None:
        self._is_on = False

    def plan(
        self,
        target: list[ServingUpstream],
        budget: float,
        allowance: float,
        rate: float,
        remaining_s: float,
        age_s: float,
    ) -> CanaryPlan:
        """Plans the traffic until the next evaluation.

        Args:
            target: Serving upstreams of the target version, in a fixed order.
            budget: Requests that they may have received by now.
            allowance: Requests that they may still receive, without those under way.
            rate: Requests to the service per second.
            remaining_s: Time until the hand-over, in seconds.
            age_s: Age of the order, in seconds.

        Returns:
            The plan.
        """
        if not target or rate <= 0.0 or allowance <= 0.0:
            self._is_on = False
            return CanaryPlan()
        affordable = allowance / (rate * max(_CONTROL_DELAY_S, remaining_s))
        count = max(1, int(affordable * len(target)))
        count = min(count, max(1, int(_MAX_SHARE * len(target))))
        full = min(_MAX_SHARE, count / len(target))
        spendable = allowance / (rate * _CONTROL_DELAY_S)
        is_ample = allowance >= max(_MIN_PULSE_REQUESTS, _PULSE_BUDGET_RATIO * budget)
        if not self._update_pulse(full, spendable, is_ample):
            return CanaryPlan()
        return CanaryPlan(min(full, spendable), _rotate(target, count, age_s))

    def _update_pulse(self, full: float, spendable: float, is_ample: bool) -> bool:
        if self._is_on:
            self._is_on = spendable >= _STOP_RATIO * full
        else:
            self._is_on = is_ample or spendable >= _PULSE_RATIO * full
        return self._is_on


def _rotate(target: list[ServingUpstream], count: int, age_s: float) -> tuple[str, ...]:
    start = int(age_s / _ROTATION_S) * count % len(target)
    chosen = (target + target)[start : start + count]
    return tuple(sorted(upstream.daemon for upstream in chosen))
