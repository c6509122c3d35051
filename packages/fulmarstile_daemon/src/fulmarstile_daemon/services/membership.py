"""Membership records: writes this daemon's to the store and reads those of the others."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._topic_follower import follow_topic
from fulmarstile_daemon.services.events import (
    CrashReported,
    DepartureLearned,
    DependencyLost,
    DependencyRegained,
    MemberChanged,
    RecordIgnored,
)
from fulmarstile_platform.keyed_log import KeyedRecord
from fulmarstile_platform.log import LogError
from fulmarstile_services.departure_records import DepartureRecords
from fulmarstile_services.member_records import MemberRecords
from fulmarstile_wire.departures import UpstreamDeparture, decode_departure, encode_departure
from fulmarstile_wire.errors import WireError
from fulmarstile_wire.services import (
    CrashReport,
    decode_crash,
    decode_member,
    encode_crash,
    encode_member,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from fulmarstile_daemon.services._notice_merger import NoticeMerger
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_platform.keyed_log import KeyedLog
    from fulmarstile_services.directory import Directory
    from fulmarstile_wire.services import Member

MEMBERS_TOPIC: Final = "keyed.fulmarstile.members"
"""Topic that holds the record of each daemon, the departures and the crash reports."""
_CRASH_PREFIX: Final = "crash/"
_DEPARTURE_PREFIX: Final = "left/"
_RELAY_CHECK_INTERVAL_S: Final = 1.0
"""Interval of the check for departures and records that the store lacks, in seconds."""
_MAX_RELAYED: Final = 32
"""Maximum number of other daemons' records in one call; the size of a call is limited."""
_READER_CHECK_INTERVAL_S: Final = 0.5
"""Interval at which a daemon checks whether it is a reader of the store, in seconds."""
_PASSIVE_READ_INTERVAL_S: Final = 30.0
"""Mean read interval of a daemon that is not a reader, in seconds."""
_ASK_TIMEOUT_S: Final = 0.3
"""Maximum time that a restarted daemon waits for what others know of its upstream, in seconds."""
_RETRY_S: Final = 0.4
_MAX_RETRY_S: Final = 1.0


class Membership:
    """Keeps this daemon's record in the store and the directory of the others up to date.

    Args:
        directory: Directory of the known daemons.
        notices: Merges what upstreams say about themselves.
        log: Log of the daemon.
        on_change: Called when a record has changed.
    """

    def __init__(
        self,
        directory: Directory,
        notices: NoticeMerger,
        log: EventLog,
        on_change: Callable[[], None],
    ) -> None:
        self._directory = directory
        self._notices = notices
        self._log = log
        self._on_change = on_change
        self._write_requested = trio.Event()
        self._retry_requested = trio.Event()
        self._written: Member | None = None
        self._written_changed = trio.Event()
        self._crashes: list[CrashReport] = []
        self._departure_records = DepartureRecords(
            directory.local_member.name, directory.departures, random.Random()
        )
        self._member_records = MemberRecords(random.Random())
        self._is_announced = False
        self._previous_record: Member | None = None
        self.is_caught_up = trio.Event()
        """Set when the records that the store held at the start have been read."""
        self.is_recovered = trio.Event()
        """Set when other daemons were asked, too, for what the store may not have."""
        self.ask_daemons: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint
        """Asks other daemons for departures of the upstream on this VM."""
        self.is_reader: Callable[[], bool] = lambda: True
        """Returns whether this daemon reads every change from the store."""
        self.on_recovered: Callable[[], None] = lambda: None
        """Called when more is known about the record of an earlier incarnation of this daemon."""
        self.on_local_departures: Callable[[], None] = lambda: None
        """Called when more upstreams of this VM are known to have left."""

    def publish(self) -> None:
        """Requests that the record of this daemon is written to the store."""
        self._is_announced = True
        self._write_requested.set()

    async def publish_and_wait(self, timeout_s: float) -> bool:
        """Requests that the record of this daemon is written to the store, and waits for it.

        Args:
            timeout_s: Timeout in seconds.

        Returns:
            Whether the current record, or a later one, and all departures were written.
        """
        wanted = self._directory.local_member.order
        self.publish()
        self._retry_requested.set()
        with trio.move_on_after(timeout_s):
            while (
                self._written is None
                or self._written.order < wanted
                or self._departure_records.list_unwritten()
            ):
                await self._written_changed.wait()
            return True
        return False

    def report_crash(self, fingerprints: Iterable[bytes]) -> None:
        """Publishes which requests were running when the upstream on this VM crashed.

        Args:
            fingerprints: Fingerprints of the requests.
        """
        local_member = self._directory.local_member
        reports = [
            CrashReport(fingerprint, local_member.upstream_id, local_member.upstream_born_ms)
            for fingerprint in fingerprints
        ]
        self._crashes += self.apply_crashes(reports)
        self._write_requested.set()

    def apply_members(self, members: Iterable[Member]) -> None:
        """Applies member records from the store or from another daemon."""
        members = tuple(members)
        # Later records of these daemons may not repeat that an upstream has left.
        self.apply_departures(
            UpstreamDeparture(member.name, member.upstream_id, member.upstream_born_ms)
            for member in members
            if member.upstream_leaves and member.upstream_id
        )
        local_order = self._directory.local_member.order
        changed = self._directory.merge_members(members)
        for member in changed:
            self._notices.merge(member.notice, member.name)
            self._log.write(
                MemberChanged(
                    member=member.name,
                    phase=member.phase.value,
                    service=member.service,
                    upstream=member.upstream_id,
                    incarnation=member.incarnation,
                    revision=member.revision,
                )
            )
        if self._directory.local_member.order != local_order and self._is_announced:
            self._write_requested.set()
        previous_record = self._directory.previous_record
        if previous_record is not self._previous_record:
            self._previous_record = previous_record
            self.on_recovered()
        if changed:
            self._on_change()

    def apply_departures(self, departures: Iterable[UpstreamDeparture]) -> None:
        """Applies departures from any source.

        Args:
            departures: The departures, old or new.
        """
        local_departures = self._local_departures
        for departure in self._directory.merge_departures(departures):
            self._departure_records.on_learned(departure, trio.current_time())
            self._log.write(
                DepartureLearned(
                    member=departure.member,
                    upstream=departure.upstream_id,
                    born_ms=departure.upstream_born_ms,
                )
            )
        if self._local_departures != local_departures:
            self.on_local_departures()

    def apply_crashes(self, reports: Iterable[CrashReport]) -> tuple[CrashReport, ...]:
        """Applies crash reports from the store or from another daemon.

        Returns:
            The reports that are new.
        """
        changed = self._directory.merge_crashes(reports)
        for report in changed:
            self._log.write(
                CrashReported(fingerprint=report.fingerprint.hex(), upstream=report.upstream_id)
            )
        return changed

    async def follow(self, store: KeyedLog) -> None:
        """Follows the store until cancelled.

        Args:
            store: The platform's store.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._recover)
            await follow_topic(
                store,
                MEMBERS_TOPIC,
                self._on_records,
                self._log,
                self.is_caught_up.set,
                before_read=self._wait_for_read_turn,
            )

    async def _recover(self) -> None:
        """Asks other daemons once the store was read, because it may lack the last changes."""
        await self.is_caught_up.wait()
        with trio.move_on_after(_ASK_TIMEOUT_S):
            await self.ask_daemons()
        self.is_recovered.set()
        self.on_recovered()

    @property
    def _local_departures(self) -> tuple[UpstreamDeparture, ...]:
        return self._directory.departures.of(self._directory.local_member.name)

    async def _wait_for_read_turn(self) -> None:
        """Waits until this daemon is a reader, or until its next infrequent read is due."""
        with trio.move_on_after(_PASSIVE_READ_INTERVAL_S * random.uniform(0.8, 1.2)):
            while not self.is_reader():
                await trio.sleep(_READER_CHECK_INTERVAL_S)

    async def write_forever(self, store: KeyedLog) -> None:
        """Writes records and crash reports that are to be published, until cancelled.

        Args:
            store: The platform's store.
        """
        retry_s = _RETRY_S
        is_store_lost = False
        while True:
            with trio.move_on_after(_RELAY_CHECK_INTERVAL_S):
                await self._write_requested.wait()
            self._write_requested = trio.Event()
            self._retry_requested = trio.Event()
            try:
                await self._write(store)
            except LogError as error:
                if not is_store_lost:
                    self._log.write(DependencyLost(dependency="store, writing", reason=str(error)))
                is_store_lost = True
                # A caller who waits for a write gets an attempt at once: the store may be back.
                with trio.move_on_after(retry_s * random.uniform(0.5, 1.0)):
                    await self._retry_requested.wait()
                retry_s = min(_MAX_RETRY_S, retry_s * 1.5)
                self._write_requested.set()
                continue
            if is_store_lost:
                self._log.write(DependencyRegained(dependency="store, writing"))
            is_store_lost = False
            retry_s = _RETRY_S

    async def _write(self, store: KeyedLog) -> None:
        local_member = self._directory.local_member
        await self._write_member(store, local_member)
        while self._crashes:
            report = self._crashes[0]
            await store.append_keyed(
                MEMBERS_TOPIC, _CRASH_PREFIX + report.key, encode_crash(report)
            )
            del self._crashes[0]
        if local_member != self._directory.local_member:
            self._write_requested.set()

    async def _write_member(self, store: KeyedLog, local_member: Member) -> None:
        """Writes departures and records of daemons in one call, if there are any.

        Each departure has a key of its own, so an earlier write that the store does late can't
        replace it. It can replace the record of a daemon, which readers then write again.
        """
        departures = self._departure_records
        added = departures.list_unwritten()
        relayed: list[Member] = []
        if self.is_caught_up.is_set() and self.is_reader():
            added += departures.list_to_relay(trio.current_time())
            relayed = self._list_members_to_relay()
        removed = departures.list_obsolete()
        records = [
            KeyedRecord(_DEPARTURE_PREFIX + departure.key, encode_departure(departure))
            for departure in added
        ]
        records += [KeyedRecord(_DEPARTURE_PREFIX + departure.key, b"") for departure in removed]
        if self._is_announced and local_member != self._written:
            records.append(KeyedRecord(local_member.name, encode_member(local_member)))
        records += [KeyedRecord(member.name, encode_member(member)) for member in relayed]
        if not records:
            return
        await store.append_together(MEMBERS_TOPIC, records)
        for member in relayed:
            if self._directory.find(member.name) == member:
                self._member_records.on_written(member)
        for departure in added:
            departures.on_stored(departure)
        for departure in removed:
            departures.on_removed(departure)
        if self._is_announced:
            self._written = local_member
        event, self._written_changed = self._written_changed, trio.Event()
        event.set()

    def _on_records(self, records: Iterable[KeyedRecord]) -> None:
        members: list[Member] = []
        departures: list[UpstreamDeparture] = []
        crashes: list[CrashReport] = []
        for record in records:
            if not record.value:
                continue
            try:
                if record.key.startswith(_CRASH_PREFIX):
                    crashes.append(decode_crash(record.value))
                elif record.key.startswith(_DEPARTURE_PREFIX):
                    departures.append(decode_departure(record.value))
                else:
                    members.append(decode_member(record.value))
            except WireError as error:
                self._log.write(RecordIgnored(source=record.key, reason=str(error)))
        self._apply_stored_departures(departures)
        self._rewrite_if_outdated(members)
        self.apply_members(members)
        self._compare_with_stored(members)
        self.apply_crashes(crashes)

    def _list_members_to_relay(self) -> list[Member]:
        names = self._member_records.list_to_relay(trio.current_time())[:_MAX_RELAYED]
        known = [self._directory.find(name) for name in names]
        return [member for member in known if member is not None]

    def _compare_with_stored(self, members: Iterable[Member]) -> None:
        """Notes which of the last records of other daemons in the store are outdated."""
        for name, stored in {member.name: member for member in members}.items():
            known = self._directory.find(name)
            if known is not None and name != self._directory.local_member.name:
                self._member_records.on_stored(stored, known, trio.current_time())

    def _apply_stored_departures(self, departures: Iterable[UpstreamDeparture]) -> None:
        departures = tuple(departures)
        self.apply_departures(departures)
        for departure in departures:
            self._departure_records.on_stored(departure)

    def _rewrite_if_outdated(self, members: Iterable[Member]) -> None:
        """Rewrites this daemon's record if a delayed earlier write has overwritten it."""
        local_member = self._directory.local_member
        stored = [member for member in members if member.name == local_member.name]
        if self._is_announced and stored and stored[-1].order < local_member.order:
            self._written = None
            self._write_requested.set()
