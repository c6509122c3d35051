"""The active routing table, and how recent the knowledge is that it rests on."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._boot_clock import read_boot_clock
from fulmarstile_services.document_contact import DocumentContact

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_services.routing_table import RoutingTable

_ARRIVAL_S: Final = 5.0
"""Time for which a version that another daemon has is waited for, in seconds."""


@dataclass(frozen=True, slots=True)
class DocumentKnowledge:
    """What a daemon knows of the operator's document at a time, for the log."""

    version: int
    """Active version; -1 if there is none."""
    active_s: float | None
    """Time since it became active, in seconds; None if there is none."""
    silent_s: float | None
    """Time since the last contact with the store, in seconds; None if there was none."""


class ActiveRoutes:
    """The active routing table; None until the first document is known.

    Args:
        clock: Returns the time that the contact is measured by, in seconds.
    """

    def __init__(self, clock: Callable[[], float] = read_boot_clock) -> None:
        self._table: RoutingTable | None = None
        self._activated_at = 0.0
        self.contact = DocumentContact()
        """When the store last told what it has, directly or through other daemons."""
        self.has_unread = False
        """Whether the operator's topic has records that are unread."""
        self.has_unusable = False
        """Whether its newest record is of no use, and may be a newer version."""
        self.known_offset: int | None = None
        """Offset up to which that topic is known; None if nothing is."""
        self._clock = clock
        self._newest_version = -1
        self._heard_at = 0.0

    @property
    def table(self) -> RoutingTable | None:
        """The active table."""
        return self._table

    @table.setter
    def table(self, table: RoutingTable | None) -> None:
        self._table = table
        self._activated_at = self._clock()

    def describe(self) -> DocumentKnowledge:
        """Returns what is known now."""
        now = self._clock()
        silent_s = self.contact.silent_s(now)
        return DocumentKnowledge(
            -1 if self._table is None else self._table.version,
            None if self._table is None else round(now - self._activated_at, 2),
            round(silent_s, 2) if math.isfinite(silent_s) else None,
        )

    @property
    def names_customers(self) -> bool:
        """Whether the active document names customers."""
        return self.table is not None and self.table.customers is not None

    def hear_version(self, version: int) -> None:
        """Notes that another daemon has a version."""
        if version > self._newest_version:
            self._newest_version = version
            self._heard_at = trio.current_time()

    @property
    def is_behind(self) -> bool:
        """Whether a newer version may exist that is not known here.

        The store or another daemon may have one, or nobody has told for too long.
        """
        if self.table is None:
            return False
        now = self._clock()
        if self.contact.is_silent(now):
            return True
        if self.has_unread and self.contact.may_lack_unread(now):
            return True
        is_older = self.table.version < self._newest_version
        return is_older and trio.current_time() - self._heard_at < _ARRIVAL_S

    @property
    def is_outdated(self) -> bool:
        """Whether there may be a newer version, known here or not.

        A record that cannot be decoded may be one.
        """
        return self.is_behind or (self.table is not None and self.has_unusable)
