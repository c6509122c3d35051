"""How many requests a version may receive before it is known to be good."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from fulmarstile_services.settings import RolloutBounds

USABLE_RATIO: Final = 0.8
"""Fraction of the allowed exposure that is used; the rest covers reports that are under way."""
_MAX_CANARY_RATIO: Final = 0.5
"""Fraction of the exposure allowed by the requests so far that the canary phase may use."""
_MIN_CANARY_RATIO: Final = 0.15
"""Fraction that it may use even if the hand-over is shortened thereby."""
_MIN_CANARY_SLACK_RATIO: Final = 0.25
"""The same of the slack, without which a service with few requests would give no evidence."""
_KEPT_RATE: Final = 0.5
"""Fraction of the present rate that is counted on until the deadline."""
_RATE_WINDOW_S: Final = 2.0
"""Time over which the present rate is measured, in seconds."""
_AVERAGE_RATIO: Final = 0.8
"""Fraction of the average rate since the order that the present rate is taken for at least."""
_EARLY_RATIO: Final = 0.4
"""Fraction of the canary phase's requests that may be used at its start."""
_DEVIATIONS: Final = 1.0
"""Standard deviations by which the requests of the hand-over may exceed the expected number."""
MIN_HANDOVER_S: Final = 0.05
"""Shortest hand-over, in seconds."""


class RequestRate:
    """Measures the rate of the requests to the service."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque()

    def observe(self, age_s: float, requests: float) -> None:
        """Records the number of requests since the order.

        Args:
            age_s: Age of the order, in seconds.
            requests: Requests so far.
        """
        self._samples.append((age_s, requests))
        while len(self._samples) > 2 and self._samples[1][0] <= age_s - _RATE_WINDOW_S:
            self._samples.popleft()

    def read(self) -> float:
        """Returns the recent rate, in requests per second; 0 while it is unknown."""
        if len(self._samples) < 2:
            return 0.0
        (start_s, first), (end_s, last) = self._samples[0], self._samples[-1]
        recent = max(0.0, last - first) / (end_s - start_s) if end_s > start_s else 0.0
        return max(recent, _AVERAGE_RATIO * last / end_s) if end_s > _RATE_WINDOW_S else recent


@dataclass(frozen=True, slots=True)
class ExposureBudget:
    """The allowed exposure at one time."""

    bounds: RolloutBounds
    requests: float
    """Requests to the service since the order."""
    exposed: float
    """Requests to the target version among them."""
    rate: float
    """Present rate of requests, per second."""
    remaining_s: float
    """Time until the deadline, in seconds."""

    @property
    def proven(self) -> float:
        """Exposure allowed by the requests so far, whatever comes later."""
        return self.bounds.exposure_ratio * self.requests + self.bounds.exposure_slack

    @property
    def expected(self) -> float:
        """Exposure allowed at the deadline, if the rate halves at once."""
        coming = _KEPT_RATE * self.rate * max(0.0, self.remaining_s)
        return self.proven + self.bounds.exposure_ratio * coming

    def count_canary_requests(self, progress: float, handover_s: float) -> float:
        """Returns how many requests the canaries may have received by now.

        Args:
            progress: How much of the canary phase has passed, from 0 to 1.
            handover_s: Wanted duration of the hand-over, in seconds.
        """
        expected = self.expected
        handover = self.rate * handover_s
        planned = USABLE_RATIO * expected - handover - _DEVIATIONS * math.sqrt(handover)
        least = _MIN_CANARY_RATIO * expected
        least += _MIN_CANARY_SLACK_RATIO * self.bounds.exposure_slack
        planned = max(planned, least)
        planned = min(planned, _MAX_CANARY_RATIO * expected)
        planned *= _EARLY_RATIO + (1.0 - _EARLY_RATIO) * min(1.0, progress)
        return min(planned, _MAX_CANARY_RATIO * self.proven)

    def limit_handover_s(self, wanted_s: float, canary_requests: float) -> float:
        """Returns how long before the deadline all requests may move to the target version.

        Args:
            wanted_s: Time that the baseline needs to finish its requests, in seconds.
            canary_requests: Requests that the canaries may have received until then.
        """
        left = USABLE_RATIO * self.expected - max(self.exposed, canary_requests)
        left = max(0.0, left - _DEVIATIONS * math.sqrt(max(0.0, left)))
        allowed_s = left / self.rate if self.rate > 0.0 else wanted_s
        return max(MIN_HANDOVER_S, min(wanted_s, allowed_s))
