"""How long ago the store last answered what it has of the operator's document."""

from __future__ import annotations

import math
from typing import Final

MAX_SILENT_S: Final = 2.8
"""Time without contact after which a version that is due may be missing, in seconds. In calm it is
at most 2.4 s: the poll of a daemon that all others ask, and the time that two replies wait."""
MAX_READER_SILENT_S: Final = 2.4
"""The same for a daemon that reads the store or asks one that does; in calm at most 1.8 s."""
MAX_UNREAD_SILENT_S: Final = 1.8
"""The same where the operator's topic is known to have records that are unread: a version among
them is due 2.0 s after its acknowledgement, and what was acknowledged before the last contact is
known."""


class DocumentContact:
    """Tracks when the store last answered, to this daemon or to one that replied to it.

    `Freshness` tracks for when it is proven that no newer version existed. An answer to a long poll
    proves that only for the time at which it was asked, so in calm that is older by the poll's
    duration, and of no use to notice within a bound of a few seconds that nothing arrives any more.
    Times are in seconds of a clock that includes the time during which the VM is suspended.
    """

    def __init__(self) -> None:
        self._heard_at = -math.inf

    @property
    def heard_at(self) -> float:
        """Time of the last contact; minus infinity if there was none."""
        return self._heard_at

    def hear(self, at: float) -> None:
        """Notes a contact.

        Args:
            at: Time of an answer of the store, or earliest possible time of the last contact of a
                daemon that replied.
        """
        self._heard_at = max(self._heard_at, at)

    def silent_s(self, now: float) -> float:
        """Returns the time since the last contact; infinite if there was none."""
        return now - self._heard_at

    def is_silent(self, now: float) -> bool:
        """Returns whether contact was lost for so long that due versions may be missing."""
        return MAX_SILENT_S < self.silent_s(now) < math.inf

    def may_lack_unread(self, now: float) -> bool:
        """Returns whether a version that is due may be among records known to be unread."""
        return self.silent_s(now) > MAX_UNREAD_SILENT_S
