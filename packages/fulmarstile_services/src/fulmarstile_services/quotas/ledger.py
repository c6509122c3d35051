"""Tokens of the customers of one shard, as granted by its owner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_services.quotas._account import Account, Holding
from fulmarstile_services.quotas.holders import DaemonProcess, ShareHolders
from fulmarstile_services.quotas.plan import LEASE_S, QUERY_TIMEOUT_S, SHARE_LIFETIME_S
from fulmarstile_wire.quotas import QuotaGrant, QuotaShare

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from fulmarstile_services.quotas.holders import EarlierShares
    from fulmarstile_services.quotas.plan import QuotaPlan
    from fulmarstile_wire.quotas import HoldersRecord, QuotaDemand, QuotaRequest

_SWEEP_S: Final = 0.05
"""Shortest time between two searches for daemons that have fallen silent, in seconds."""
_SILENT_S: Final = LEASE_S - QUERY_TIMEOUT_S - 2 * _SWEEP_S
"""Age of the last request known to be answered from which shares count as in use, in seconds.

A request takes up to `QUERY_TIMEOUT_S` to arrive, so the daemon's lease may end earlier by this
time than `LEASE_S` after the arrival.
"""
_SHARE_CHANGE_RATIO: Final = 0.25
"""Relative difference from which a share is replaced by another one."""


@dataclass(frozen=True, slots=True)
class DeductedRates:
    """Rates of a shard's customers, and what their owner deducts, in requests per second."""

    rate: float
    """Sum of the customers' rates."""
    unknown: float
    """Deduction for shares of an earlier owner that no daemon has reported."""
    silent: float
    """Deduction for shares of daemons that are not heard from."""


class _Daemon:
    """A daemon that holds tokens or shares of this shard."""

    __slots__ = ("answered_at", "heard_at", "holdings", "is_silent", "number", "process")

    def __init__(self, process: DaemonProcess) -> None:
        self.process = process
        self.number = 0
        """Number of its last request."""
        self.heard_at = float("-inf")
        """Time at which that request arrived, in seconds."""
        self.answered_at = float("-inf")
        """Time at which the last request arrived whose reply is known to have been received."""
        self.is_silent = True
        """Whether it may use its shares."""
        self.holdings: dict[str, Holding] = {}


class QuotaLedger:
    """Grants tokens and shares to daemons, in one epoch of the ownership of a shard.

    Args:
        epoch: Epoch of the ownership.
        earlier: Shares of earlier owners that may be in use; None if there was no earlier owner.
        now: Current time, in seconds.
    """

    def __init__(self, epoch: int, earlier: EarlierShares | None, now: float) -> None:
        self._epoch = epoch
        self._starts_full = earlier is None
        self._holders = ShareHolders(earlier)
        self._unknown_until = now if earlier is None else earlier.valid_until
        self._accounts: dict[str, Account] = {}
        self._daemons: dict[str, _Daemon] = {}
        self._swept_at = now

    @property
    def epoch(self) -> int:
        """Epoch of the ownership."""
        return self._epoch

    @property
    def daemon_count(self) -> int:
        """Number of daemons that hold tokens or shares."""
        return len(self._daemons)

    @property
    def deducted_rates(self) -> DeductedRates:
        """What of the customers' rates is not granted."""
        accounts = self._accounts.values()
        return DeductedRates(
            sum(account.plan.rate for account in accounts),
            sum(account.unknown_rate for account in accounts) / 1000,
            sum(account.silent_rate for account in accounts) / 1000,
        )

    def set_plans(self, plans: Mapping[str, QuotaPlan], now: float) -> None:
        """Applies the limits of the shard's customers.

        Accounts of customers that have no limit any more are kept, so that the same limit, if it
        is set again, doesn't start with a full bucket.

        Args:
            plans: Limits by customer.
            now: Current time, in seconds.
        """
        for customer, plan in plans.items():
            account = self._accounts.get(customer)
            if account is None:
                level = plan.capacity if self._starts_full else 0.0
                unreported = self._holders.find_unreported(customer)
                self._accounts[customer] = Account(
                    plan, level, now, unreported, self._unknown_until
                )
            elif account.plan != plan:
                account.replace_plan(plan, now)
        self._starts_full = False

    def on_request(self, request: QuotaRequest, now: float) -> tuple[QuotaGrant, ...]:
        """Processes a daemon's request.

        Args:
            request: The request.
            now: Current time, in seconds.

        Returns:
            A grant for each customer that the request mentions and this daemon knows.
        """
        if now >= self._swept_at + _SWEEP_S:
            self._sweep(now)
        daemon = self._find_daemon(request, now)
        if request.number <= daemon.number:
            # The daemon doesn't wait for the reply any more.
            return ()
        is_same_epoch = request.epoch == self._epoch
        # After its first answered request, a daemon holds only the shares that it has reported.
        if self._holders.on_report(daemon.process, is_whole=is_same_epoch):
            self._limit_unknown(now)
        if is_same_epoch and request.answered and request.answered == daemon.number:
            daemon.answered_at = daemon.heard_at
            if daemon.is_silent and now < daemon.answered_at + _SILENT_S:
                self._mark_connected(daemon, now)
        daemon.number = request.number
        daemon.heard_at = now
        grants = []
        for demand in request.demands:
            account = self._accounts.get(demand.customer)
            if account is not None:
                grants.append(self._serve(daemon, account, demand, is_same_epoch, now))
        return tuple(grants)

    def observe_restarts(self, find_incarnation: Callable[[str], int], now: float) -> None:
        """Stops waiting for shares of processes that have ended, or that are no longer valid.

        Args:
            find_incarnation: Returns the incarnation in which a daemon is known to have been
                started; 0 if it is unknown.
            now: Current time, in seconds.
        """
        for name, daemon in list(self._daemons.items()):
            if daemon.is_silent and find_incarnation(name) > daemon.process.incarnation:
                self._remove(name, daemon, now)
        if not self._holders.awaits_reports:
            return
        has_changed = self._holders.observe_restarts(find_incarnation)
        if self._holders.expire(now) or has_changed:
            self._limit_unknown(now)

    def next_holders(self, now: float) -> HoldersRecord | None:
        """Returns the list of share holders to write to the store; None for none.

        Args:
            now: Current time, in seconds.
        """
        if not self._holders.is_record_due(now):
            return None
        held = {
            daemon.process: {
                customer: holding.share for customer, holding in daemon.holdings.items()
            }
            for daemon in self._daemons.values()
        }
        return self._holders.make_record(self._epoch, held, now)

    def on_holders_recorded(self, record: HoldersRecord) -> None:
        """Processes that a list of share holders was written to the store."""
        self._holders.on_recorded(record)

    def _limit_unknown(self, now: float) -> None:
        """Deducts no more than the shares that may still be unreported."""
        for customer, account in self._accounts.items():
            unreported = self._holders.find_unreported(customer)
            if unreported is not None:
                account.limit_unknown(unreported, now)

    def _find_daemon(self, request: QuotaRequest, now: float) -> _Daemon:
        daemon = self._daemons.get(request.sender)
        if daemon is not None and daemon.process.incarnation < request.incarnation:
            # The earlier process has ended, so its tokens and shares cannot be used any more.
            self._remove(request.sender, daemon, now)
            daemon = None
        if daemon is None:
            process = DaemonProcess(request.sender, request.incarnation)
            daemon = self._daemons[request.sender] = _Daemon(process)
        elif daemon.process.incarnation > request.incarnation:
            return _STALE
        return daemon

    def _serve(
        self,
        daemon: _Daemon,
        account: Account,
        demand: QuotaDemand,
        is_same_epoch: bool,
        now: float,
    ) -> QuotaGrant:
        account.fill(now)
        holding = daemon.holdings.get(demand.customer)
        if holding is None:
            holding = daemon.holdings[demand.customer] = Holding()
        if is_same_epoch:
            _settle_tokens(account, holding, demand)
        self._settle_share(daemon, account, holding, demand.share, is_same_epoch, now)
        account.pace += demand.pace - holding.pace
        holding.pace = demand.pace
        account.mean_pace += demand.mean_pace - holding.mean_pace
        holding.mean_pace = demand.mean_pace
        tokens, missing = account.grant(demand.wanted, demand.urgent, demand.pace)
        holding.held += tokens
        account.unmet += missing - holding.unmet
        holding.unmet = missing
        share = self._assign_share(daemon, account, demand.customer, holding, now)
        delay_s = account.retry_after_s() if holding.unmet else 0.0
        if not (holding.held or holding.mean_pace or holding.unmet or holding.share.rate):
            account.pace -= holding.pace
            del daemon.holdings[demand.customer]
        return QuotaGrant(demand.customer, tokens, int(delay_s * 1000), share)

    def _settle_share(
        self,
        daemon: _Daemon,
        account: Account,
        holding: Holding,
        reported: QuotaShare,
        is_same_epoch: bool,
        now: float,
    ) -> None:
        """Books the share that the daemon holds in place of those that it may have held."""
        if is_same_epoch:
            booked = holding.share
            share = QuotaShare(min(reported.rate, booked.rate), min(reported.burst, booked.burst))
            if share != booked:
                self._replace_share(daemon, account, holding, share, now)
        elif reported.rate and not holding.share.rate:
            holding.share = account.adopt_share(reported)
            if daemon.is_silent:
                account.reserve(holding.share)

    def _assign_share(
        self, daemon: _Daemon, account: Account, customer: str, holding: Holding, now: float
    ) -> QuotaShare:
        """Returns the share that the daemon should use from now on.

        The larger of both shares stays booked until the daemon reports which one it holds.
        """
        held = holding.share
        proposed = account.propose_share(holding)
        proposed = self._holders.limit(daemon.process, customer, proposed, held)
        is_similar = abs(proposed.rate - held.rate) <= held.rate * _SHARE_CHANGE_RATIO
        if held.rate and proposed.rate and is_similar:
            return held
        larger = QuotaShare(max(held.rate, proposed.rate), max(held.burst, proposed.burst))
        if larger != held:
            self._replace_share(daemon, account, holding, larger, now)
        return proposed

    def _replace_share(
        self, daemon: _Daemon, account: Account, holding: Holding, share: QuotaShare, now: float
    ) -> None:
        if daemon.is_silent:
            account.unreserve(holding.share, now)
            account.reserve(share)
        account.book(holding.share, -1)
        account.book(share, 1)
        holding.share = share

    def _mark_connected(self, daemon: _Daemon, now: float) -> None:
        daemon.is_silent = False
        for customer, holding in daemon.holdings.items():
            self._accounts[customer].unreserve(holding.share, now)

    def _sweep(self, now: float) -> None:
        """Reserves the shares of daemons that fell silent, and drops what has expired."""
        self._swept_at = now
        for name, daemon in list(self._daemons.items()):
            if not daemon.is_silent and now >= daemon.answered_at + _SILENT_S:
                daemon.is_silent = True
                for customer, holding in daemon.holdings.items():
                    self._accounts[customer].reserve(holding.share)
            if now >= daemon.heard_at + SHARE_LIFETIME_S:
                self._remove(name, daemon, now)
            elif now >= daemon.heard_at + LEASE_S:
                self._expire_tokens(daemon, now)

    def _expire_tokens(self, daemon: _Daemon, now: float) -> None:
        for customer, holding in daemon.holdings.items():
            if not (holding.held or holding.mean_pace or holding.pace or holding.unmet):
                continue
            account = self._accounts[customer]
            account.fill(now)
            account.outstanding -= holding.held
            account.pace -= holding.pace
            account.mean_pace -= holding.mean_pace
            account.unmet -= holding.unmet
            holding.held = holding.pace = holding.mean_pace = holding.unmet = 0

    def _remove(self, name: str, daemon: _Daemon, now: float) -> None:
        self._expire_tokens(daemon, now)
        for customer, holding in daemon.holdings.items():
            account = self._accounts[customer]
            if daemon.is_silent:
                account.unreserve(holding.share, now)
            account.book(holding.share, -1)
        del self._daemons[name]
        self._holders.on_removed()


def _settle_tokens(account: Account, holding: Holding, demand: QuotaDemand) -> None:
    """Credits returned tokens, and counts those that the daemon no longer has as used."""
    held = min(demand.held, holding.held)
    returned = min(demand.returned, holding.held - held)
    account.outstanding -= holding.held - held
    holding.held = held
    if returned:
        account.credit(returned)


_STALE: Final = _Daemon(DaemonProcess("", 0))
"""Stands for an earlier process of a daemon, whose requests are ignored."""
_STALE.number = 1 << 62
