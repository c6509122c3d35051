"""Processes that may hold shares of a shard, as its owner lists them in the store."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_services.quotas.plan import CLOCK_MARGIN_S
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
    list_read_at: float
    """Time at which this list was read, in seconds."""
    valid_until: float
    """Time at which the last of them ends, in seconds."""


Shares = dict[str, QuotaShare]
"""Shares of one process by customer."""


class ShareHolders:
    """Limits shares to what is listed in the store, and tells which earlier ones may be in use.

    A daemon is listed with an upper bound of its share before it is assigned one. So the next
    owner deducts only the shares of processes that neither report what they hold nor have ended.
    The shares of processes that no owner hears from are listed with the time that is left of them;
    such a process is assigned nothing until it is listed without one.

    Args:
        earlier: Shares of earlier owners; None if there were none.
    """

    def __init__(self, earlier: EarlierShares | None) -> None:
        listed = () if earlier is None else earlier.holders
        self._is_complete = listed is not None
        self._complete_at = float("inf") if earlier is None else earlier.valid_until
        self._listed: dict[DaemonProcess, Shares] = _index(listed or ())
        self._expiring = _find_expiring(listed or ())
        self._unreported = _UnreportedShares(earlier)
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
        if process in self._expiring:
            self._wanted[process][customer] = proposed
            return NO_SHARE
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

    def expire(self, now: float) -> bool:
        """Stops waiting for reports of shares that are no longer valid.

        Args:
            now: Current time, in seconds.

        Returns:
            Whether fewer shares are unreported than before.
        """
        expired = [each for each, until in self._unreported.valid_until.items() if now >= until]
        for process in expired:
            self._unreported.remove(process)
        becomes_complete = not self._is_complete and now >= self._complete_at
        self._is_complete = self._is_complete or becomes_complete
        has_changed = becomes_complete or bool(expired)
        self._is_outdated = self._is_outdated or has_changed
        return has_changed

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
        unheard: list[ShareHolder] = []
        for process, shares in self._unreported.shares.items():
            if process in listed:
                listed[process] = _join(shares, listed[process])
            else:
                left_s = max(0.0, self._unreported.valid_until[process] - now)
                left_ms = int(left_s * 1000) + 1
                unheard.append(ShareHolder(process.name, process.incarnation, shares, left_ms))
        listed = {process: shares for process, shares in listed.items() if shares}
        # If the reply is lost, only what both lists allow is certain to be listed.
        self._listed = {
            process: _intersect(shares, listed[process])
            for process, shares in self._listed.items()
            if process in listed
        }
        self._expiring |= _find_expiring(unheard)
        self._is_outdated = True
        count = sum(map(len, listed.values()))
        self._record_due_at = now + max(RECORD_INTERVAL_S, count / _LISTED_SHARES_PER_S)
        holders = tuple(
            ShareHolder(process.name, process.incarnation, shares)
            for process, shares in listed.items()
        )
        return HoldersRecord(epoch, (*holders, *unheard))

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
        self._expiring = _find_expiring(record.holders)
        self._is_outdated = False


class _UnreportedShares:
    """Earlier shares that may be in use, and their sums.

    Args:
        earlier: Shares of earlier owners; None if there were none.
    """

    def __init__(self, earlier: EarlierShares | None) -> None:
        self.processes: dict[str, DaemonProcess] = {}
        """Processes that may hold them, by name."""
        self.shares: dict[DaemonProcess, Shares] = {}
        self.valid_until: dict[DaemonProcess, float] = {}
        """Time until which the shares of each process may be in use, in seconds."""
        self.sums: Shares = {}
        """Upper bound of the shares of each customer."""
        if earlier is None or earlier.holders is None:
            return
        for holder in sorted(earlier.holders, key=lambda each: each.incarnation):
            # Of several processes of one name, only the newest can be running.
            if holder.name in self.processes:
                self.remove(self.processes[holder.name])
            self._put(holder, earlier)

    def remove(self, process: DaemonProcess) -> None:
        """Removes the shares of a process."""
        del self.processes[process.name]
        del self.valid_until[process]
        self._add(self.shares.pop(process), -1)

    def _put(self, holder: ShareHolder, earlier: EarlierShares) -> None:
        process = DaemonProcess(holder.name, holder.incarnation)
        self.processes[holder.name] = process
        self.shares[process] = holder.shares
        self.valid_until[process] = earlier.valid_until
        if holder.valid_ms:
            expires_at = earlier.list_read_at + holder.valid_ms / 1000 + CLOCK_MARGIN_S
            self.valid_until[process] = min(expires_at, earlier.valid_until)
        self._add(holder.shares, 1)

    def _add(self, shares: Shares, sign: int) -> None:
        for customer, share in shares.items():
            total = self.sums.get(customer, NO_SHARE)
            self.sums[customer] = QuotaShare(
                total.rate + sign * share.rate, total.burst + sign * share.burst
            )


def _index(holders: Iterable[ShareHolder]) -> dict[DaemonProcess, Shares]:
    """Returns the shares that the owner may extend, by process."""
    return {
        DaemonProcess(each.name, each.incarnation): dict(each.shares)
        for each in holders
        if not each.valid_ms
    }


def _find_expiring(holders: Iterable[ShareHolder]) -> set[DaemonProcess]:
    """Returns the processes whose shares the owner may not extend."""
    return {DaemonProcess(each.name, each.incarnation) for each in holders if each.valid_ms}


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
