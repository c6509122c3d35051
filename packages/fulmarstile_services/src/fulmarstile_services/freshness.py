"""How recently the active document was known to be the newest one."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from fulmarstile_services.settings import RevocationBounds

_USABLE_RATIO: Final = 0.9
"""Fraction of the bound for which knowledge is usable. The rest covers the time from the check of a
request until it is sent on, and clocks that run at different rates."""
_CONFIRM_RATIO: Final = 0.15
"""Fraction of the bound from which the store is asked again. With it, an outage of the store of 0.6
times the bound ends before the knowledge is too old, with 0.15 left to reach the store again."""
_ASK_RATIO: Final = 0.5
"""Fraction of the bound from which a reader of the store asks other daemons."""
_FOLLOWER_CONFIRM_RATIO: Final = 0.4
"""Like `_CONFIRM_RATIO`, for a daemon that asks readers of the store first."""
_FOLLOWER_ASK_RATIO: Final = 0.2
"""Fraction of the bound from which such a daemon asks a reader. The knowledge of a reader is up to
`_CONFIRM_RATIO` old by then, which leaves time for a second question before the store is asked."""


class Freshness:
    """Tracks the last time at which no version newer than the active one existed.

    Such a time stays valid when a newer version becomes active, because that version did not exist
    then either or was the newest one. Times are in seconds of a clock that includes the time during
    which the VM is suspended.

    Args:
        bounds: Limit of the use of revoked keys; None if it is not strict.
    """

    def __init__(self, bounds: RevocationBounds | None = None) -> None:
        self.bounds = bounds
        """Limit of the use of revoked keys; None if it is not strict."""
        self._confirmed_at = -math.inf

    @property
    def is_strict(self) -> bool:
        """Whether old knowledge must not be used."""
        return self.bounds is not None

    @property
    def confirm_interval_s(self) -> float:
        """Age in seconds from which a reader asks the store again; infinite if it need not."""
        return math.inf if self.bounds is None else _CONFIRM_RATIO * self.bounds.revoke_s

    def confirm(self, at: float) -> bool:
        """Notes that no newer version existed at a time.

        Args:
            at: The earliest time for which this is proven. For an answer, that is the time at which
                the question was sent: the answer may have been made then, and delivered late.

        Returns:
            Whether this is more recent than what was known.
        """
        is_newer = at > self._confirmed_at
        self._confirmed_at = max(self._confirmed_at, at)
        return is_newer

    def confirm_by_peer(self, asked_at: float, age_s: float) -> bool:
        """Notes the knowledge of another daemon that has the same version.

        The other daemon measured its age after it was asked, but how long after is unknown.

        Args:
            asked_at: Time at which it was asked.
            age_s: Age of its knowledge when it replied, in seconds; not negative.

        Returns:
            Whether this is more recent than what was known.
        """
        return self.confirm(asked_at - max(0.0, age_s))

    def age_s(self, now: float) -> float:
        """Returns the age of the knowledge in seconds; infinite if there is none."""
        return now - self._confirmed_at

    def is_usable(self, now: float) -> bool:
        """Whether keys may be accepted; always if the bound is not strict."""
        return self.bounds is None or self.age_s(now) < _USABLE_RATIO * self.bounds.revoke_s

    def should_confirm(self, now: float, *, is_reader: bool = True) -> bool:
        """Returns whether the store should be asked for newer versions.

        Args:
            now: Current time in seconds.
            is_reader: Whether this daemon reads the store for others of its zone.
        """
        ratio = _CONFIRM_RATIO if is_reader else _FOLLOWER_CONFIRM_RATIO
        return self.bounds is not None and self.age_s(now) >= ratio * self.bounds.revoke_s

    def should_ask_peers(self, now: float, *, is_reader: bool = True) -> bool:
        """Returns whether the knowledge is so old that other daemons should be asked.

        Args:
            now: Current time in seconds.
            is_reader: Whether this daemon reads the store for others of its zone.
        """
        ratio = _ASK_RATIO if is_reader else _FOLLOWER_ASK_RATIO
        return self.bounds is not None and self.age_s(now) >= ratio * self.bounds.revoke_s
