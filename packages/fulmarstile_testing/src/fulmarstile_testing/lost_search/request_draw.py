"""Draws the requests of a case."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_testing.lost_search.callers import SentRequest
from fulmarstile_testing.lost_search.routes import LONG_ROUTES, READS, ROUTES

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from fulmarstile_testing.lost_search.daemon_run import DaemonRun
    from fulmarstile_testing.lost_search.options import CaseOptions

_NESTED_RATIO: Final = 0.2
"""Share of the requests that the upstream beside their daemon makes for one that it runs."""
LATE_S: Final = (2.0, 3.5)
"""Times after SIGTERM between which late requests are sent, in seconds."""
_LATE_DELAYS_MS: Final = (1000, 1500, 2000, 3000, 4000)
_DELAYS_MS: Final = (1, 1, 5, 20, 50, 50, 100, 200, 400, 900)
_LONG_DELAYS_MS: Final = (1, 50, 400, 900, 1500, 2000, 3000, 4000, 5000)
_ASKED_S: Final = (0.3, 1.0, 3.0, 12.0)
"""Times that callers have for an answer, in seconds."""
_LONG_ASKED_S: Final = (3.0, 12.0, 12.0)
_SIZES: Final = (2, 2, 400, 30_000, 300_000)
_BODIES: Final = (0, 0, 300, 40_000, 300_000)
_FAULTS: Final = ("reset", "cut", "early", "shed", "extra", "unframed", "unproven")


class RequestDraw:
    """Draws requests as the options of a case ask for.

    Args:
        rng: Source of randomness.
        options: Options of the case.
        numbers: Numbers for ids, which differ from each other.
    """

    def __init__(self, rng: random.Random, options: CaseOptions, numbers: Iterator[int]) -> None:
        self._rng = rng
        self._options = options
        self._numbers = numbers

    def is_late(self, run: DaemonRun) -> bool:
        """Returns whether a daemon was told to stop so long ago that callers should have left."""
        first_s, last_s = LATE_S
        return first_s <= trio.current_time() - run.stopped_at <= last_s

    def make(self, entry: DaemonRun) -> SentRequest:
        """Draws a request.

        Args:
            entry: Daemon that it is sent to.

        Returns:
            The request.
        """
        rng = self._rng
        has_long = self._options.has_long_requests
        prefix = rng.choice((*ROUTES, *LONG_ROUTES) if has_long else list(ROUTES)[:3])
        is_read = prefix in READS
        delays_ms = _LONG_DELAYS_MS if self._options.has_long_delays else _DELAYS_MS
        if self._options.has_late_requests and self.is_late(entry):
            prefix, delays_ms = rng.choice(LONG_ROUTES), _LATE_DELAYS_MS
            is_read = prefix in READS
        size, fault = rng.choice(_SIZES), ""
        asked_s = rng.choice(_LONG_ASKED_S if has_long else _ASKED_S)
        if self._options.has_upstream_faults and rng.random() < 0.2:
            fault = rng.choice(_FAULTS)
        target = f"{prefix}?delay_ms={rng.choice(delays_ms)}&size={size}&fault={fault}"
        return SentRequest(
            self._make_id(entry),
            "GET" if is_read else "POST",
            target,
            b"" if is_read else b"y" * rng.choice(_BODIES),
            min(ROUTES[prefix], asked_s),
            min(ROUTES[prefix], asked_s),
            size,
            fault,
            tuple(rng.choice(((0.0,), (0.0,), (0.0, 0.0), (0.0, 0.05, 0.2)))),
        )

    def _make_id(self, entry: DaemonRun) -> str:
        """Makes the id of a request, at times one that the upstream beside its daemon calls."""
        own = f"r{next(self._numbers)}"
        arrived = entry.node.upstream.record.requests
        running = [each.request_id for each in arrived if math.isinf(each.worked_until)]
        if running and self._rng.random() < _NESTED_RATIO:
            return f"{self._rng.choice(running)}.{own}"
        return own
