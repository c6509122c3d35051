"""Customers' quotas over the whole fleet: tokens of this daemon, and shards that it owns."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._links import DaemonUnreachableError
from fulmarstile_daemon.services._quota_owner import ShardOwner
from fulmarstile_daemon.services.events import DependencyLost, DependencyRegained
from fulmarstile_services.quotas.lease import Decision, Source, choose_interval_s
from fulmarstile_services.quotas.plan import (
    QUERY_TIMEOUT_S,
    SHARD_COUNT,
    plan_quota,
    rank_candidates,
    shard_of,
)
from fulmarstile_services.quotas.shard import QuotaShard
from fulmarstile_wire.quotas import QuotaReply
from fulmarstile_wire.services import MemberPhase

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._links import DaemonLinks
    from fulmarstile_daemon.services.active_routes import ActiveRoutes
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.metrics import ServiceMetrics
    from fulmarstile_platform.keyed_log import KeyedLog
    from fulmarstile_services.directory import Directory
    from fulmarstile_services.quotas.plan import QuotaPlan
    from fulmarstile_services.settings import QuotaBounds
    from fulmarstile_wire.quotas import QuotaRequest

_FIRST_GRANT_S: Final = 0.05
"""Longest time that a request waits for tokens, in seconds."""
_SHARE_WAIT_S: Final = 0.3
"""Longest time that a request waits for the daemon's share, in seconds.

The bursts of shares are small, so without a wait many requests at random times would be refused.
"""
_RANKING_S: Final = 1.0
"""Time for which the ranking of the daemons is kept, in seconds."""


def read_lease_clock() -> float:
    """Returns the time by which leases are measured, in seconds.

    Unlike the monotonic clock it goes on while the VM is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Quotas:
    """Takes tokens for requests, asks the owners for them, and answers other daemons as owner.

    Args:
        bounds: Bounds of the deployment.
        routes: Active routing table, whose document names the customers.
        directory: Directory of the known daemons.
        is_reachable: Returns whether a daemon answered the last attempt to reach it.
        links: Connections to other daemons.
        log: Log of the daemon.
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        routes: ActiveRoutes,
        directory: Directory,
        is_reachable: Callable[[str], bool],
        links: DaemonLinks,
        log: EventLog,
    ) -> None:
        self._bounds = bounds
        self._routes = routes
        self._directory = directory
        self._is_reachable = is_reachable
        self._links = links
        self._log = log
        self._name = directory.local_member.name
        self._incarnation = directory.local_member.incarnation
        self._shards = tuple(
            _ShardTasks(QuotaShard(self._name, self._incarnation, number, bounds.window_s))
            for number in range(SHARD_COUNT)
        )
        self._has_quotas = trio.Event()
        self._candidates: tuple[list[str], ...] = ()
        self._ranked_at = float("-inf")
        self._owners = tuple(
            ShardOwner(
                number,
                tasks.shard,
                self._list_candidates,
                self._find_incarnation,
                read_lease_clock,
                log,
            )
            for number, tasks in enumerate(self._shards)
        )
        self.exchanges = 0
        """Requests for tokens that this daemon has made."""

    @property
    def owned_shards(self) -> int:
        """Number of shards that this daemon owns."""
        now = read_lease_clock()
        return sum(tasks.shard.ownership.may_grant(now) for tasks in self._shards)

    @property
    def unknown_rate(self) -> float:
        """Rates that this daemon, as owner, deducts for unreported shares, per second."""
        now = read_lease_clock()
        return sum(
            tasks.shard.ledger.deducted_rates.unknown
            for tasks in self._shards
            if tasks.shard.ledger is not None and tasks.shard.ownership.may_grant(now)
        )

    @property
    def active_customers(self) -> int:
        """Number of customers that hold tokens or shares at this daemon."""
        return sum(tasks.shard.lease.active_count for tasks in self._shards)

    def add_gauges(self, metrics: ServiceMetrics) -> None:
        """Adds the gauges of customers' quotas.

        Args:
            metrics: Metrics of the daemon.
        """
        add = metrics.add_gauge
        add("quota_shards_owned", lambda: self.owned_shards)
        add("quota_unknown_rate", lambda: self.unknown_rate)
        add("quota_customers", lambda: self.active_customers)
        add("quota_exchanges", lambda: self.exchanges)

    def apply_document(self) -> None:
        """Applies the quotas of the active document; called when another one becomes active."""
        table = self._routes.table
        customers = (table.document.customers if table is not None else None) or ()
        plans: tuple[dict[str, QuotaPlan], ...] = tuple({} for _ in range(SHARD_COUNT))
        for customer in customers:
            if customer.rate_per_s > 0.0:
                plan = plan_quota(customer, self._bounds)
                plans[shard_of(customer.name)][customer.name] = plan
        now = read_lease_clock()
        for tasks, shard_plans in zip(self._shards, plans, strict=True):
            tasks.shard.set_plans(shard_plans, now)
        if any(plans):
            self._has_quotas.set()

    def on_request(self, request: QuotaRequest) -> QuotaReply:
        """Answers the request of a daemon for tokens."""
        if not 0 <= request.shard < SHARD_COUNT:
            return QuotaReply(False)
        self._check_incarnation()
        return self._shards[request.shard].shard.on_request(request, read_lease_clock())

    async def take(self, customer: str) -> tuple[Decision, float]:
        """Takes a token for a request; waits for the owner's grant if none is held.

        Args:
            customer: Name of a customer with a rate.

        Returns:
            The decision, and the time at which the token was taken, in seconds.
        """
        self._check_incarnation()
        tasks = self._shards[shard_of(customer)]
        lease = tasks.shard.lease
        now = read_lease_clock()
        decision = lease.take(customer, now)
        if decision.source is not Source.TOKEN or lease.needs_tokens_soon:
            tasks.wake.set()
        if decision.source is Source.SILENT and decision.is_worth_waiting:
            return await self._take_after_wait(tasks, customer)
        if decision.source is not Source.WAIT:
            return decision, now
        lease.add_waiting(customer, 1)
        try:
            with trio.move_on_after(_FIRST_GRANT_S):
                while lease.should_wait(customer, read_lease_clock()):
                    await tasks.replied.wait()
        finally:
            lease.add_waiting(customer, -1)
        return await self._take_after_wait(tasks, customer)

    async def _take_after_wait(self, tasks: _ShardTasks, customer: str) -> tuple[Decision, float]:
        """Takes a token; waits for the daemon's share while no owner is heard from."""
        lease = tasks.shard.lease
        now = read_lease_clock()
        give_up_at = now + _SHARE_WAIT_S
        while True:
            decision = lease.take(customer, now, is_first=False)
            if decision.source is not Source.SILENT or not decision.is_worth_waiting:
                return decision, now
            if now + decision.retry_after_s > give_up_at:
                return decision, now
            lease.add_queued(customer, 1)
            try:
                with trio.move_on_after(decision.retry_after_s):
                    await tasks.replied.wait()
            finally:
                lease.add_queued(customer, -1)
            now = read_lease_clock()

    def give_back(self, customer: str, taken_at: float) -> None:
        """Gives a token back, because its request was not run.

        Args:
            customer: Name of the customer.
            taken_at: Time at which the token was taken, in seconds.
        """
        lease = self._shards[shard_of(customer)].shard.lease
        lease.give_back(customer, taken_at, read_lease_clock())

    async def run(self, store: KeyedLog) -> None:
        """Owns shards and asks for tokens, until cancelled.

        Args:
            store: The platform's store.
        """
        await self._has_quotas.wait()
        async with trio.open_nursery() as nursery:
            for owner, tasks in zip(self._owners, self._shards, strict=True):
                nursery.start_soon(owner.follow, store)
                nursery.start_soon(owner.append_forever, store)
                nursery.start_soon(self._ask_forever, tasks)

    async def release(self) -> None:
        """Gives up all shards, so that other daemons own them sooner."""
        async with trio.open_nursery() as nursery:
            for owner in self._owners:
                nursery.start_soon(owner.release)

    async def _ask_forever(self, tasks: _ShardTasks) -> None:
        lease = tasks.shard.lease
        while True:
            interval_s = choose_interval_s(len(self._directory.members))
            delay_s = lease.next_request_at(interval_s) - read_lease_clock()
            if delay_s > 0.0:
                tasks.wake = trio.Event()
                with trio.move_on_after(delay_s):
                    await tasks.wake.wait()
            else:
                await self._ask(tasks)

    async def _ask(self, tasks: _ShardTasks) -> None:
        """Asks the owner, or a daemon that may know it."""
        shard = tasks.shard
        self._check_incarnation()
        request = shard.lease.make_request(read_lease_clock())
        target = shard.choose_target(self._list_candidates(request.shard))
        self.exchanges += 1
        try:
            reply = await self._query(target, request)
        except DaemonUnreachableError as error:
            shard.on_failure()
            self._note_owner(tasks, False, f"{target}: {error}")
        else:
            shard.on_reply(target or "", reply, read_lease_clock())
            if reply.is_owner:
                self._note_owner(tasks, True, "")
        replied, tasks.replied = tasks.replied, trio.Event()
        replied.set()

    async def _query(self, target: str | None, request: QuotaRequest) -> QuotaReply:
        if target == self._name:
            await trio.lowlevel.checkpoint()
            return self.on_request(request)
        member = None if target is None else self._directory.find(target)
        if member is None:
            raise DaemonUnreachableError("no daemon is known that may own the shard")
        reply = await self._links.query(member, request, QUERY_TIMEOUT_S)
        if not isinstance(reply, QuotaReply):
            raise DaemonUnreachableError("the reply is not one to a request for tokens")
        return reply

    def _check_incarnation(self) -> None:
        """Drops tokens and shares if other daemons take this one for a process started later."""
        incarnation = self._directory.local_member.incarnation
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            for tasks in self._shards:
                tasks.shard.restart(incarnation)

    def _note_owner(self, tasks: _ShardTasks, is_heard: bool, reason: str) -> None:
        """Logs that the owner of a shard is no longer heard from, or is again."""
        number = self._shards.index(tasks)
        if not is_heard and tasks.lost_at is None:
            tasks.lost_at = trio.current_time()
            self._log.write(DependencyLost(dependency=f"quota shard {number}", reason=reason))
        elif is_heard and tasks.lost_at is not None:
            after_s = round(trio.current_time() - tasks.lost_at, 2)
            tasks.lost_at = None
            self._log.write(DependencyRegained(dependency=f"quota shard {number}", after_s=after_s))

    def _find_incarnation(self, name: str) -> int:
        """Returns the incarnation in which a daemon is known to have been started; 0 for none."""
        # An owner must not renew with an incarnation that others know to be over.
        self._check_incarnation()
        member = self._directory.find(name)
        return 0 if member is None else member.incarnation

    def _list_candidates(self, shard: int) -> list[str]:
        now = trio.current_time()
        if now >= self._ranked_at + _RANKING_S:
            self._ranked_at = now
            names = [
                member.name
                for member in self._directory.members
                if member.name == self._name
                or (member.phase is not MemberPhase.STOPPED and self._is_reachable(member.name))
            ]
            self._candidates = tuple(
                rank_candidates(number, names) for number in range(SHARD_COUNT)
            )
        return self._candidates[shard]


class _ShardTasks:
    """A shard, and the events between its requests and the loop that asks the owner."""

    def __init__(self, shard: QuotaShard) -> None:
        self.shard = shard
        self.wake = trio.Event()
        """Set when the owner may have to be asked sooner than planned."""
        self.replied = trio.Event()
        """Set when the owner has been asked, and replaced."""
        self.lost_at: float | None = None
        """Time since which the owner is not heard from, in seconds."""
