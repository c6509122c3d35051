"""Detection of crashes of the local upstream from its broken connections."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_calls.quarantine import Quarantine


class CrashWatch:
    """Combines the broken connections of one upstream crash into a single crash.

    The connections of a crashed upstream break one after the other, in any order. Whether the
    upstream still accepts connections is checked once for all of them, and the suspects are
    sought among the requests in flight on all of them together.

    Args:
        quarantine: Finds the suspects of a crash.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine
        self._in_flight: set[bytes] = set()
        self._is_checking = False
        self._crashed_at = -math.inf

    def begin_check(self, in_flight: Iterable[bytes], started_at: float) -> bool:
        """Records a broken connection.

        Args:
            in_flight: Fingerprints of the requests that the upstream was running.
            started_at: Time at which the exchange on the connection began, in seconds; one that
                began before the last known crash was ended by that crash.

        Returns:
            Whether the caller must check the upstream and then call `end_check`; False if the
            crash is already known or another check is in progress.
        """
        if started_at <= self._crashed_at:
            return False
        self._in_flight.update(in_flight)
        if self._is_checking:
            return False
        self._is_checking = True
        return True

    def end_check(self, crashed: bool, now: float) -> tuple[bytes, ...] | None:
        """Finds the suspects among the requests on all connections broken since the check began.

        Args:
            crashed: Whether the upstream has crashed.
            now: Monotonic time in seconds.

        Returns:
            Fingerprints of the suspects, sorted; None if the upstream has not crashed.
        """
        in_flight, self._in_flight = self._in_flight, set()
        self._is_checking = False
        if not crashed:
            return None
        self._crashed_at = now
        return self._quarantine.on_upstream_crash(in_flight, now)
