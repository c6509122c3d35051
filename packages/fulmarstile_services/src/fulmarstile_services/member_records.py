"""Decides which records of other daemons are written again, because the store has older ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random

    from fulmarstile_wire.services import Member

_MIN_RELAY_DELAY_S: Final = 1.0
"""Time for which a daemon may write its newest record itself, in seconds."""
_MAX_RELAY_DELAY_S: Final = 3.0
"""Time after which all daemons that read the store would have written it, in seconds."""


class MemberRecords:
    """Compares the records of other daemons that the store holds with those that are known.

    A write without an answer may be done seconds later, behind a newer record of the same daemon,
    which may have ended or may not read the store. Daemons that start would then know the older
    one.

    Args:
        random: Source of randomness.
    """

    def __init__(self, random: random.Random) -> None:
        self._random = random
        self._relay_at: dict[str, float] = {}

    def on_stored(self, stored: Member, known: Member, now: float) -> None:
        """Records which record of a daemon the store holds as its newest one.

        Args:
            stored: The record in the store.
            known: Newest known record of that daemon.
            now: Current time in seconds.
        """
        if stored.order >= known.order:
            self._relay_at.pop(stored.name, None)
        elif stored.name not in self._relay_at:
            delay_s = self._random.uniform(_MIN_RELAY_DELAY_S, _MAX_RELAY_DELAY_S)
            self._relay_at[stored.name] = now + delay_s

    def on_written(self, member: Member) -> None:
        """Records that the store has accepted the newest known record of a daemon."""
        self._relay_at.pop(member.name, None)

    def list_to_relay(self, now: float) -> tuple[str, ...]:
        """Returns the names of the daemons whose newest record should be in the store by now.

        Args:
            now: Current time in seconds.
        """
        return tuple(name for name, relay_at in self._relay_at.items() if relay_at <= now)
