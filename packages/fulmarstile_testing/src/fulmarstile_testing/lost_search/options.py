"""Options of a case, drawn by its seed."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random

_MIN_STOPPING_DAEMONS: Final = 3
"""Minimum number of daemons, so that two upstreams of a service stop one after the other."""


@dataclass(frozen=True, slots=True)
class CaseOptions:
    """What a case contains."""

    daemons: int
    callers: int
    link_kbps: int
    has_disruptions: bool
    has_upstream_faults: bool
    stalls_sends: bool
    stalls_loop: bool
    has_long_requests: bool
    has_long_delays: bool
    has_leaving_upstreams: bool
    pipelines: bool
    idle_timeout_s: float
    stops_in_a_row: bool
    """Whether all daemons stop, so that a retry may meet one that stops as well."""
    stops_again: bool
    """Whether a daemon that has started again is told to stop soon."""
    has_silent_stops: bool
    """Whether a link of a stopping daemon goes silent."""
    has_late_requests: bool
    """Whether callers send long requests when they should have moved away."""
    forwards_all: bool
    """Whether the first daemon is beside the upstream of another service."""
    changes_routes: bool
    """Whether versions of the document remove routes, and shorten timeouts much."""

    @classmethod
    def draw(cls, rng: random.Random) -> CaseOptions:
        """Draws the options of a case."""
        daemons = rng.choice((2, 2, 3, 4))
        return cls(
            daemons=daemons,
            callers=rng.choice((2, 4, 8, 16)),
            link_kbps=rng.choice((0, 0, 4_000, 10_000)),
            has_disruptions=rng.random() < 0.4,
            has_upstream_faults=rng.random() < 0.3,
            stalls_sends=rng.random() < 0.3,
            stalls_loop=rng.random() < 0.1,
            has_long_requests=rng.random() < 0.2,
            has_long_delays=rng.random() < 0.5,
            has_leaving_upstreams=rng.random() < 0.3,
            pipelines=rng.random() < 0.4,
            idle_timeout_s=rng.choice((1.0, 60.0, 60.0)),
            stops_in_a_row=rng.random() < 0.2,
            stops_again=rng.random() < 0.25,
            has_silent_stops=rng.random() < 0.2,
            has_late_requests=rng.random() < 0.25,
            forwards_all=daemons > 2 and rng.random() < 0.5,
            changes_routes=rng.random() < 0.3,
        )

    def beside_stops(self) -> CaseOptions:
        """Returns options with long requests beside stops in a row, and without other faults."""
        return replace(
            self,
            daemons=max(self.daemons, _MIN_STOPPING_DAEMONS),
            has_disruptions=False,
            has_upstream_faults=False,
            has_long_requests=True,
            has_long_delays=True,
            has_leaving_upstreams=False,
            stops_in_a_row=True,
            forwards_all=True,
        )
