"""Processes that may hold shares of a shard, as its owner lists them in the store."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_wire.quotas import NO_SHARE, HoldersRecord, QuotaShare, ShareHolder

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

RECORD_INTERVAL_S: Final = 2.0
"""Shortest interval between two lists, in seconds."""
_LISTED_SHARES_PER_S: Final = 150
"""Shares that are written per second on average, about 5 KB, however many are listed."""
MAX_LISTED_SHARES: Final = 4000
"""Number of shares from which no further ones are listed; about 200 KB in the store."""


@dataclass(frozen=True, slots=True)
class DaemonProcess:
    """One process of a daemon; of the same name only the newest one is running."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class EarlierShares:
    """What a new owner knows of the shares that earlier owners assigned."""

    holders: tuple[ShareHolder, ...] | None
    """Processes that may hold them, with upper bounds; None if they are not listed."""
    valid_until: float
    """Time at which the last of them ends, in seconds."""


Shares = dict[str, QuotaShare]
"""Shares of one process by customer."""


class ShareHolders:
    """Limits shares to what is listed in the store, and tells which earlier ones may be in use.

    A daemon is listed with an upper bound of its share before it is assigned one. So the next
    owner deducts only the shares of processes that neither report what they hold nor have ended.

    Args:
        earlier: Shares of earlier owners; None if there were none.
    """

    def __init__(self, earlier: EarlierShares | None) -> None:
        listed = () if earlier is None else earlier.holders
        self._is_complete = listed is not None
        self._listed: dict[DaemonProcess, Shares] = _index(listed or ())
        self._unreported = _UnreportedShares(self._listed)
        self._wanted: defaultdict[DaemonProcess, Shares] = defaultdict(dict)
        self._is_outdated = listed is None
        self._record_due_at = float("-inf")

    @property
    def awaits_reports(self) -> bool:
        """Whether a process may hold an earlier share that it has not reported."""
        return bool(self._unreported.processes) or not self._is_complete

    def find_unreported(self, customer: str) -> QuotaShare | None:
        """Returns an upper bound of a customer's earlier shares that nobody has reported.

        Args:
            customer: Name of the customer.

        Returns:
            The sum of these shares; None if they are not listed.
        """
        return self._unreported.sums.get(customer, NO_SHARE) if self._is_complete else None

    def limit(
        self, process: DaemonProcess, customer: str, proposed: QuotaShare, held: QuotaShare
    ) -> QuotaShare:
        """Reduces a share to what is listed, and lists the rest soon.

        Args:
            process: Process to which it is to be assigned.
            customer: Name of the customer.
            proposed: The share.
            held: Share of the customer that the process may hold already.
        """
        bound = self._listed.get(process, {}).get(customer, NO_SHARE)
        rate = min(proposed.rate, max(bound.rate, held.rate))
        burst = min(proposed.burst, max(bound.burst, held.burst))
        if rate < proposed.rate or burst < proposed.burst:
            self._wanted[process][customer] = proposed
        return QuotaShare(rate, burst) if rate and burst else NO_SHARE

    def on_report(self, process: DaemonProcess, *, is_whole: bool) -> bool:
        """Processes a message of a daemon.

        Args:
            process: The daemon's process.
            is_whole: Whether all shares that the process holds are known now.

        Returns:
            Whether fewer shares are unreported than before.
        """
        other = self._unreported.processes.get(process.name)
        if other is None:
            return False
        if other.incarnation < process.incarnation or (is_whole and other == process):
            self._unreported.remove(other)
            self._is_outdated = True
            return True
        return False

    def observe_restarts(self, find_incarnation: Callable[[str], int]) -> bool:
        """Stops waiting for processes that have ended.

        Args:
            find_incarnation: Returns the incarnation in which a daemon is known to have been
                started; 0 if it is unknown.

        Returns:
            Whether fewer shares are unreported than before.
        """
        processes = list(self._unreported.processes.values())
        ended = [each for each in processes if find_incarnation(each.name) > each.incarnation]
        for process in ended:
            self._unreported.remove(process)
        self._is_outdated = self._is_outdated or bool(ended)
        return bool(ended)

    def expire_earlier(self) -> None:
        """Stops waiting for reports, because all earlier shares have ended."""
        self._unreported = _UnreportedShares({})
        self._is_complete = True
        self._is_outdated = True

    def on_removed(self) -> None:
        """Processes that a listed process can't hold shares any more."""
        self._is_outdated = True

    def is_record_due(self, now: float) -> bool:
        """Returns whether another list is to be written to the store."""
        if not self._is_complete or now < self._record_due_at:
            return False
        return bool(self._wanted) or self._is_outdated

    def make_record(
        self, epoch: int, held: Mapping[DaemonProcess, Shares], now: float
    ) -> HoldersRecord:
        """Makes the list to write to the store.

        Args:
            epoch: Epoch of the ownership.
            held: Shares that the processes may hold which the owner hears from.
            now: Current time, in seconds.
        """
        listed = {process: _bound_shares(shares) for process, shares in held.items()}
        self._list_wanted(listed)
        for process in self._unreported.processes.values():
            listed[process] = _join(self._unreported.shares[process], listed.get(process, {}))
        listed = {process: shares for process, shares in listed.items() if shares}
        # If the reply is lost, only what both lists allow is certain to be listed.
        self._listed = {
            process: _intersect(shares, listed[process])
            for process, shares in self._listed.items()
            if process in listed
        }
        self._is_outdated = True
        count = sum(map(len, listed.values()))
        self._record_due_at = now + max(RECORD_INTERVAL_S, count / _LISTED_SHARES_PER_S)
        holders = tuple(
            ShareHolder(process.name, process.incarnation, shares)
            for process, shares in listed.items()
        )
        return HoldersRecord(epoch, holders)

    def _list_wanted(self, listed: dict[DaemonProcess, Shares]) -> None:
        """Adds shares that are to be assigned, as long as the list is not too long."""
        wanted, self._wanted = self._wanted, defaultdict(dict)
        room = MAX_LISTED_SHARES - sum(map(len, listed.values()))
        for process, shares in wanted.items():
            room -= len(shares)
            if room < 0:
                return
            if process in listed:
                listed[process] = _join(listed[process], _bound_shares(shares))

    def on_recorded(self, record: HoldersRecord) -> None:
        """Processes that a list was written to the store."""
        self._listed = _index(record.holders)
        self._is_outdated = False


class _UnreportedShares:
    """Earlier shares that may be in use, and their sums.

    Args:
        listed: Shares by process.
    """

    def __init__(self, listed: Mapping[DaemonProcess, Shares]) -> None:
        self.processes: dict[str, DaemonProcess] = {}
        """Processes that may hold them, by name."""
        self.shares: dict[DaemonProcess, Shares] = {}
        self.sums: Shares = {}
        """Upper bound of the shares of each customer."""
        for process in sorted(listed, key=lambda each: each.incarnation):
            # Of several processes of one name, only the newest can be running.
            if process.name in self.processes:
                self.remove(self.processes[process.name])
            self.processes[process.name] = process
            self.shares[process] = listed[process]
            self._add(listed[process], 1)

    def remove(self, process: DaemonProcess) -> None:
        """Removes the shares of a process."""
        del self.processes[process.name]
        self._add(self.shares.pop(process), -1)

    def _add(self, shares: Shares, sign: int) -> None:
        for customer, share in shares.items():
            total = self.sums.get(customer, NO_SHARE)
            self.sums[customer] = QuotaShare(
                total.rate + sign * share.rate, total.burst + sign * share.burst
            )


def _index(holders: Iterable[ShareHolder]) -> dict[DaemonProcess, Shares]:
    return {DaemonProcess(each.name, each.incarnation): dict(each.shares) for each in holders}


def _bound_shares(shares: Shares) -> Shares:
    """Returns upper bounds of shares, with room to grow so that they are seldom exceeded."""
    return {
        customer: QuotaShare(_round_up(share.rate), _round_up(share.burst))
        for customer, share in shares.items()
        if share.rate
    }


def _round_up(number: int) -> int:
    """Returns the next power of two."""
    return 1 << max(0, number - 1).bit_length()


def _join(some: Shares, others: Shares) -> Shares:
    """Returns the larger share of each customer."""
    joined = dict(some)
    for customer, share in others.items():
        other = some.get(customer, NO_SHARE)
        joined[customer] = QuotaShare(max(share.rate, other.rate), max(share.burst, other.burst))
    return joined


def _intersect(some: Shares, others: Shares) -> Shares:
    """Returns the smaller share of each customer."""
    return {
        customer: QuotaShare(min(share.rate, other.rate), min(share.burst, other.burst))
        for customer, share in some.items()
        if (other := others.get(customer)) is not None
    }
