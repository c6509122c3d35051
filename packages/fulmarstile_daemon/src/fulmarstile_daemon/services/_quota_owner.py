"""Ownership of one quota shard: reads and writes its topic in the store."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._newest_records import read_all_newest
from fulmarstile_daemon.services.events import (
    QuotaDeductions,
    QuotaOwnership,
    RecordIgnored,
)
from fulmarstile_platform.keyed_log import LogConflictError, RecordsExpiredError
from fulmarstile_platform.log import LogError
from fulmarstile_wire.errors import WireError
from fulmarstile_wire.quotas import decode_holders, decode_owner, encode_holders, encode_owner

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_platform.keyed_log import KeyedLog, KeyedPage, KeyedRecord
    from fulmarstile_services.quotas.ledger import DeductedRates
    from fulmarstile_services.quotas.shard import QuotaShard
    from fulmarstile_wire.quotas import HoldersRecord, OwnerRecord

TOPIC_PREFIX: Final = "keyed.fulmarstile.quotas."
"""Start of the topics, one for each shard, that hold its owner."""
OWNER_KEY: Final = "owner"
HOLDERS_KEY: Final = "holders"
"""Key of the list of processes that may hold shares."""
_READ_WAIT_S: Final = 10.0
"""Long-poll timeout of one read, in seconds."""
_READ_GAP_S: Final = 0.5
"""Pause after a read, in seconds."""
_TICK_S: Final = 0.2
"""Interval at which an append is considered, in seconds."""
_APPEND_TIMEOUT_S: Final = 1.0
_DEDUCTION_CHANGE_RATIO: Final = 0.05
"""Change of a deduction, relative to the customers' rates, from which it is logged."""


class ShardOwner:
    """Keeps the ownership of one shard while this daemon is a candidate.

    Args:
        number: Number of the shard.
        shard: The shard.
        list_candidates: Returns the daemons that may own a shard.
        find_incarnation: Returns the incarnation in which a daemon was started; 0 if unknown.
        read_clock: Returns the time by which leases are measured, in seconds.
        log: Log of the daemon.
    """

    def __init__(
        self,
        number: int,
        shard: QuotaShard,
        list_candidates: Callable[[int], list[str]],
        find_incarnation: Callable[[str], int],
        read_clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        self._number = number
        self._topic = TOPIC_PREFIX + str(number)
        self._shard = shard
        self._list_candidates = list_candidates
        self._find_incarnation = find_incarnation
        self._read_clock = read_clock
        self._log = log
        self._store: KeyedLog | None = None
        self._append_lock = trio.Lock()
        self._is_released = False
        self._was_owner = False
        self._logged_rates: DeductedRates | None = None

    @property
    def _is_candidate(self) -> bool:
        if self._is_released:
            return False
        return self._shard.ownership.name in self._list_candidates(self._number)

    async def follow(self, store: KeyedLog) -> None:
        """Reads who owns the shard, while this daemon may own it and doesn't, until cancelled."""
        self._store = store
        ownership = self._shard.ownership
        while True:
            # The owner learns from its appends that another daemon owns the shard.
            if self._is_candidate and not ownership.may_grant(self._read_clock()):
                await self._read(store)
            await trio.sleep(_READ_GAP_S * random.uniform(0.8, 1.2))

    async def _read(self, store: KeyedLog) -> None:
        offset = self._shard.ownership.end_offset
        try:
            if offset is None:
                page = await read_all_newest(store, self._topic)
            else:
                page = await store.read_keyed(self._topic, offset, _READ_WAIT_S)
        except RecordsExpiredError:
            self._shard.ownership.forget_offset()
            return
        except LogError:
            # The outage of the store is logged by the topics that every daemon follows.
            return
        self._process(page)

    def _process(self, page: KeyedPage) -> None:
        """Processes a page of the shard's topic; a malformed list of holders counts as unknown."""
        ownership = self._shard.ownership
        records: list[OwnerRecord | HoldersRecord] = []
        is_list_readable = True
        for record in page.records:
            try:
                records.append(_decode(record))
                is_list_readable = is_list_readable or record.key == HOLDERS_KEY
            except WireError as error:
                is_list_readable = is_list_readable and record.key != HOLDERS_KEY
                self._log.write(RecordIgnored(source=self._topic, reason=str(error)))
        ownership.on_read(records, page.next_offset, self._read_clock())
        if not is_list_readable:
            ownership.on_unreadable_holders()

    async def append_forever(self, store: KeyedLog) -> None:
        """Acquires and renews the ownership, until cancelled."""
        while True:
            ownership = self._shard.ownership
            record = ownership.next_record(
                self._read_clock(),
                is_candidate=self._is_candidate,
                find_incarnation=self._find_incarnation,
            )
            if record is not None and not self._is_released:
                await self._append_owner(store, record)
            self._shard.observe_restarts(self._find_incarnation, self._read_clock())
            holders = self._shard.next_holders(self._read_clock())
            if holders is not None and not self._is_released:
                await self._append_holders(store, holders)
            self._log_change()
            await trio.sleep(_TICK_S * random.uniform(0.8, 1.2))

    async def release(self) -> None:
        """Stops granting, and lets another daemon own the shard soon."""
        self._is_released = True
        record = self._shard.ownership.release()
        if record is not None and self._store is not None:
            await self._append_owner(self._store, record)
            self._log_change()

    async def _append_owner(self, store: KeyedLog, record: OwnerRecord) -> None:
        async with self._append_lock:
            sent_at = self._read_clock()
            at = await self._append(store, OWNER_KEY, encode_owner(record))
            if at is not None:
                self._shard.on_appended(record, at, sent_at, self._read_clock())

    async def _append_holders(self, store: KeyedLog, record: HoldersRecord) -> None:
        async with self._append_lock:
            at = await self._append(store, HOLDERS_KEY, encode_holders(record))
            if at is not None:
                self._shard.on_holders_appended(record, at, self._read_clock())

    async def _append(self, store: KeyedLog, key: str, value: bytes) -> int | None:
        """Appends a record at the known end of the topic; returns its offset, None if it failed."""
        at = self._shard.ownership.end_offset
        if at is None:
            return None
        try:
            with trio.move_on_after(_APPEND_TIMEOUT_S) as scope:
                await store.append_keyed(self._topic, key, value, at)
        except LogConflictError:
            await self._read(store)
            return None
        except LogError:
            # Nothing is known to be written; an append that took effect all the same is read.
            return None
        return None if scope.cancelled_caught else at

    def _log_change(self) -> None:
        ownership = self._shard.ownership
        is_owner = ownership.may_grant(self._read_clock())
        if is_owner != self._was_owner:
            self._was_owner = is_owner
            self._log.write(
                QuotaOwnership(shard=self._number, epoch=ownership.epoch, owned=is_owner)
            )
            self._logged_rates = None
        if is_owner:
            self._log_deductions()

    def _log_deductions(self) -> None:
        """Logs what the owner deducts from the customers' rates, if that has changed."""
        ledger = self._shard.ledger
        if ledger is None:
            return
        rates, logged = ledger.deducted_rates, self._logged_rates
        if logged is not None and not _differ(rates, logged):
            return
        self._logged_rates = rates
        self._log.write(
            QuotaDeductions(
                shard=self._number,
                epoch=ledger.epoch,
                rate=round(rates.rate, 1),
                unknown=round(rates.unknown, 1),
                silent=round(rates.silent, 1),
                daemons=ledger.daemon_count,
            )
        )


def _decode(record: KeyedRecord) -> OwnerRecord | HoldersRecord:
    """Decodes a record of a shard's topic.

    Raises:
        WireError: If it is malformed.
    """
    if record.key == HOLDERS_KEY:
        return decode_holders(record.value)
    return decode_owner(record.value)


def _differ(rates: DeductedRates, logged: DeductedRates) -> bool:
    """Returns whether the deductions have changed so much that they are logged again."""
    change = max(abs(rates.unknown - logged.unknown), abs(rates.silent - logged.silent))
    return change > _DEDUCTION_CHANGE_RATIO * rates.rate
