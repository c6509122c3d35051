"""Daemons that may hold shares of a shard, as its owner lists them in the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarstile_wire.quotas import HoldersRecord, ShareHolder

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


@dataclass(frozen=True, slots=True)
class EarlierShares:
    """What a new owner knows of the shares that earlier owners assigned."""

    holders: tuple[ShareHolder, ...] | None
    """Processes that may hold them; None if they are not listed."""
    valid_until: float
    """Time at which the last of them ends, in seconds."""


class ShareHolders:
    """Decides which daemons may be assigned shares, and for whose earlier shares to wait.

    A daemon is listed in the store before it is assigned a share. So the next owner knows all
    processes that can hold one, and needs to wait only for those that neither report what they
    hold nor have ended.

    Args:
        earlier: Shares of earlier owners; None if there were none.
    """

    def __init__(self, earlier: EarlierShares | None) -> None:
        listed = () if earlier is None else earlier.holders
        self._is_complete = listed is not None
        self._recorded = frozenset(listed or ())
        self._unreported = {holder.name: holder.incarnation for holder in listed or ()}
        self._pending: set[ShareHolder] = set()
        self._must_record = listed is None

    @property
    def awaits_reports(self) -> bool:
        """Whether a process may hold an earlier share that it has not reported."""
        return bool(self._unreported) or not self._is_complete

    def may_assign(self, holder: ShareHolder) -> bool:
        """Returns whether a daemon may be assigned a share; lists it soon if it may not."""
        if holder in self._recorded:
            return True
        self._pending.add(holder)
        return False

    def on_report(self, holder: ShareHolder, *, is_whole: bool) -> None:
        """Processes a message of a daemon.

        Args:
            holder: The daemon's process.
            is_whole: Whether all shares that the process holds are known now.
        """
        incarnation = self._unreported.get(holder.name)
        if incarnation is None:
            return
        # An older incarnation of the same name has ended.
        if holder.incarnation > incarnation or (is_whole and holder.incarnation == incarnation):
            del self._unreported[holder.name]

    def observe_restarts(self, find_incarnation: Callable[[str], int]) -> None:
        """Stops waiting for processes that have ended.

        Args:
            find_incarnation: Returns the incarnation in which a daemon is known to have been
                started; 0 if it is unknown.
        """
        for name, incarnation in list(self._unreported.items()):
            if find_incarnation(name) > incarnation:
                del self._unreported[name]

    def expire_earlier(self) -> None:
        """Stops waiting for reports, because all earlier shares have ended."""
        self._unreported.clear()
        self._is_complete = True

    def next_record(
        self, epoch: int, daemons: Iterable[ShareHolder], sharing: Iterable[ShareHolder]
    ) -> HoldersRecord | None:
        """Returns the list to write to the store; None if it doesn't have to change.

        Args:
            epoch: Epoch of the ownership.
            daemons: Processes that the owner hears from.
            sharing: Those among them that hold shares.
        """
        if not self._is_complete or not (self._pending or self._must_record):
            return None
        known = frozenset(daemons)
        listed = {holder for holder in self._recorded if holder in known}
        listed.update(holder for holder in self._pending if holder in known)
        listed.update(sharing)
        listed.update(ShareHolder(name, started) for name, started in self._unreported.items())
        # If the reply is lost, only what is in both lists is certain to be listed.
        self._recorded &= listed
        self._pending &= listed
        return HoldersRecord(epoch, tuple(sorted(listed)))

    def on_recorded(self, record: HoldersRecord) -> None:
        """Processes that a list was written to the store."""
        self._recorded = frozenset(record.holders)
        self._pending -= self._recorded
        self._must_record = False
