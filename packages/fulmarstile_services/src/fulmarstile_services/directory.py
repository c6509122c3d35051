"""All daemons known, and the crashes that requests are suspected of."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
import xxhash

from fulmarstile_wire.services import MemberPhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_wire.services import CrashReport, Member

MAX_CRASH_REPORTS: Final = 512
"""Most crash reports kept; the oldest is dropped first."""
SUSPECT_CRASH_COUNT: Final = 2
"""Upstreams that a request crashed before it is refused."""
_MEMBER_BUCKETS: Final = 64
"""Groups of members, by their names, that are compared between daemons."""
_CRASH_BUCKET: Final = _MEMBER_BUCKETS
"""Number of the bucket of the crash reports."""
_BUCKET_BYTES: Final = 8


class Directory:
    """Merges what the store and other daemons say; the order of arrival doesn't matter.

    Args:
        local_member: Record of this daemon.
    """

    def __init__(self, local_member: Member) -> None:
        self._local_name = local_member.name
        self._members: dict[str, Member] = {}
        self._crashes: dict[CrashReport, None] = {}
        self._suspects: dict[bytes, int] = {}
        self._serving: dict[str, dict[str, Member]] = {}
        self._services: dict[str, tuple[Member, ...]] = {}
        self._bucket_names: tuple[set[str], ...] = tuple(set() for _ in range(_MEMBER_BUCKETS))
        self._buckets = [0] * (_MEMBER_BUCKETS + 1)
        self._digest = b""
        self.previous_record: Member | None = None
        """Newest record that an earlier incarnation of this daemon left, if any is known."""
        self._put(local_member)

    @property
    def local_member(self) -> Member:
        """Record of this daemon."""
        return self._members[self._local_name]

    @property
    def members(self) -> tuple[Member, ...]:
        """All daemons known, this one included."""
        return tuple(self._members.values())

    @property
    def crashes(self) -> tuple[CrashReport, ...]:
        """Crash reports known, oldest first."""
        return tuple(self._crashes)

    @property
    def digest(self) -> bytes:
        """Hash that is equal at daemons that know the same."""
        if not self._digest:
            self._digest = xxhash.xxh3_64_digest(self.bucket_digests)
        return self._digest

    @property
    def bucket_digests(self) -> bytes:
        """A hash of each bucket of members, and one of the crash reports."""
        return b"".join(each.to_bytes(_BUCKET_BYTES, "big") for each in self._buckets)

    def find_differing_buckets(self, bucket_digests: bytes) -> frozenset[int]:
        """Finds the buckets in which another daemon knows something else.

        Args:
            bucket_digests: Its hashes.

        Returns:
            Numbers of the buckets; all if the other one has another number of them.
        """
        if len(bucket_digests) != len(self._buckets) * _BUCKET_BYTES:
            return frozenset(range(len(self._buckets)))
        local_digests = self.bucket_digests
        return frozenset(
            number
            for number in range(len(self._buckets))
            if local_digests[number * _BUCKET_BYTES : (number + 1) * _BUCKET_BYTES]
            != bucket_digests[number * _BUCKET_BYTES : (number + 1) * _BUCKET_BYTES]
        )

    def list_members(self, buckets: frozenset[int]) -> tuple[Member, ...]:
        """Lists the members of some buckets.

        Args:
            buckets: Numbers of the buckets; those that don't exist are empty.

        Returns:
            The members.
        """
        numbers = sorted(number for number in buckets if 0 <= number < _MEMBER_BUCKETS)
        names = (name for number in numbers for name in self._bucket_names[number])
        return tuple(self._members[name] for name in names)

    def list_crashes(self, buckets: frozenset[int]) -> tuple[CrashReport, ...]:
        """Lists the crash reports if their bucket is among some.

        Args:
            buckets: Numbers of the buckets.

        Returns:
            The crash reports, oldest first.
        """
        return self.crashes if _CRASH_BUCKET in buckets else ()

    def serving(self, service: str) -> tuple[Member, ...]:
        """Lists the daemons whose upstream takes requests of a service.

        Args:
            service: Name of the service.

        Returns:
            Their records, the same tuple until one of them changes.
        """
        known = self._services.get(service)
        if known is None:
            group = self._serving.get(service)
            if not group:
                return ()
            known = self._services[service] = tuple(group[name] for name in sorted(group))
        return known

    def find(self, name: str) -> Member | None:
        """Finds a daemon by its name."""
        return self._members.get(name)

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Tells whether a request has crashed as many upstreams as it may."""
        return self._suspects.get(fingerprint, 0) >= SUSPECT_CRASH_COUNT

    def merge_members(self, members: Iterable[Member]) -> tuple[Member, ...]:
        """Takes in records of daemons.

        Args:
            members: Records from anywhere, old or new.

        Returns:
            Those that were news. A newer record of this daemon's name, left by an earlier
            incarnation, raises the own one above it.
        """
        news = []
        for member in members:
            known = self._members.get(member.name)
            if (
                member.name == self._local_name
                and member.incarnation != self.local_member.incarnation
            ):
                self._keep_previous_record(member)
            if known is not None and member.order <= known.order:
                continue
            if member.name == self._local_name:
                self._raise_local_member(member)
            else:
                self._put(member)
            news.append(member)
        return tuple(news)

    def update_local_member(self, local_member: Member) -> Member:
        """Replaces this daemon's record by one of the next revision.

        Args:
            local_member: New content; its incarnation and revision are ignored.

        Returns:
            The record.
        """
        incarnation, revision = self.local_member.order
        changed = replace_order(local_member, incarnation, revision + 1)
        self._put(changed)
        return changed

    def merge_crashes(self, reports: Iterable[CrashReport]) -> tuple[CrashReport, ...]:
        """Takes in crash reports.

        Args:
            reports: Reports from anywhere.

        Returns:
            Those that were news.
        """
        news = [report for report in reports if report not in self._crashes]
        for report in news:
            self._crashes[report] = None
            self._toggle(_CRASH_BUCKET, _hash_crash(report))
        while len(self._crashes) > MAX_CRASH_REPORTS:
            oldest = next(iter(self._crashes))
            del self._crashes[oldest]
            self._toggle(_CRASH_BUCKET, _hash_crash(oldest))
        if news:
            self._count_suspects()
        return tuple(news)

    def _keep_previous_record(self, earlier: Member) -> None:
        if self.previous_record is None or earlier.order > self.previous_record.order:
            self.previous_record = earlier

    def _raise_local_member(self, earlier: Member) -> None:
        self._put(replace_order(self.local_member, earlier.incarnation + 1, 0))

    def _count_suspects(self) -> None:
        self._suspects = {}
        for report in self._crashes:
            self._suspects[report.fingerprint] = self._suspects.get(report.fingerprint, 0) + 1

    def _put(self, member: Member) -> None:
        """Takes in a record in the place of the one known; costs the same for any fleet."""
        known = self._members.get(member.name)
        bucket = xxhash.xxh3_64_intdigest(member.name.encode()) % _MEMBER_BUCKETS
        if known is not None:
            self._toggle(bucket, _hash_member(known))
            if known.phase is MemberPhase.SERVING:
                del self._serving[known.service][known.name]
                self._services.pop(known.service, None)
        self._members[member.name] = member
        self._bucket_names[bucket].add(member.name)
        self._toggle(bucket, _hash_member(member))
        if member.phase is MemberPhase.SERVING:
            self._serving.setdefault(member.service, {})[member.name] = member
            self._services.pop(member.service, None)

    def _toggle(self, bucket: int, value: int) -> None:
        """Adds the hash of a record to that of its bucket, or takes it away again."""
        self._buckets[bucket] ^= value
        self._digest = b""


def _hash_member(member: Member) -> int:
    key = f"{member.name} {member.incarnation} {member.revision}"
    return xxhash.xxh3_64_intdigest(key.encode())


def _hash_crash(report: CrashReport) -> int:
    return xxhash.xxh3_64_intdigest(report.fingerprint + report.upstream_id.encode())


def replace_order(member: Member, incarnation: int, revision: int) -> Member:
    """Copies a record with another position.

    Args:
        member: The record.
        incarnation: New incarnation.
        revision: New revision.

    Returns:
        The copy.
    """
    return msgspec.structs.replace(member, incarnation=incarnation, revision=revision)
