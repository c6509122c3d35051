"""All known daemons, and the crash reports by which requests are suspected."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
import xxhash

from fulmarstile_services.departures import Departures, hash_departures
from fulmarstile_services.upstream_notices import UpstreamNotices
from fulmarstile_wire.services import MemberPhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_wire.departures import UpstreamDeparture
    from fulmarstile_wire.services import CrashReport, Member, UpstreamNotice

MAX_CRASH_REPORTS: Final = 512
"""Maximum number of crash reports kept; the oldest are dropped first."""
SUSPECT_CRASH_COUNT: Final = 2
"""Number of upstream crashes after which a request is refused."""
_MEMBER_BUCKETS: Final = 64
"""Number of buckets into which members are hashed by name to compare daemons' states."""
_CRASH_BUCKET: Final = _MEMBER_BUCKETS
"""Index of the bucket that holds the crash reports."""
_BUCKET_BYTES: Final = 8


class Directory:
    """Merges records from the store and other daemons, independent of their order of arrival.

    Args:
        local_member: Record of this daemon.
    """

    def __init__(self, local_member: Member) -> None:
        self._local_name = local_member.name
        self._members: dict[str, Member] = {}
        self._crashes: dict[CrashReport, None] = {}
        self._crash_counts: dict[bytes, int] = {}
        self._serving: dict[str, dict[str, Member]] = {}
        self._serving_cache: dict[str, tuple[Member, ...]] = {}
        self._names_by_bucket: tuple[set[str], ...] = tuple(set() for _ in range(_MEMBER_BUCKETS))
        self._departed_by_bucket: tuple[set[str], ...] = tuple(
            set() for _ in range(_MEMBER_BUCKETS)
        )
        """Names of the daemons beside which upstreams have left."""
        self._bucket_hashes = [0] * (_MEMBER_BUCKETS + 1)
        self._digest = b""
        self.notices = UpstreamNotices()
        """What upstreams have said about themselves in their responses."""
        self.departures = Departures()
        """Upstreams that have left; change them with `merge_departures` only."""
        self.previous_record: Member | None = None
        """Newest known record of an earlier incarnation of this daemon, if any."""
        self._put(local_member)

    @property
    def local_member(self) -> Member:
        """Record of this daemon."""
        return self._members[self._local_name]

    @property
    def members(self) -> tuple[Member, ...]:
        """All known daemons, including this one."""
        return tuple(self._members.values())

    @property
    def crashes(self) -> tuple[CrashReport, ...]:
        """Known crash reports, oldest first."""
        return tuple(self._crashes)

    @property
    def digest(self) -> bytes:
        """Hash that is equal on daemons with the same state."""
        if not self._digest:
            self._digest = xxhash.xxh3_64_digest(self.bucket_digests)
        return self._digest

    @property
    def bucket_digests(self) -> bytes:
        """Hash of each bucket of members, followed by the hash of the crash reports."""
        return b"".join(
            bucket_hash.to_bytes(_BUCKET_BYTES, "big") for bucket_hash in self._bucket_hashes
        )

    def find_differing_buckets(self, bucket_digests: bytes) -> frozenset[int]:
        """Finds the buckets whose contents differ from those of another daemon.

        Args:
            bucket_digests: Bucket hashes of the other daemon.

        Returns:
            Indexes of the buckets; all of them if the daemons have different numbers of buckets.
        """
        if len(bucket_digests) != len(self._bucket_hashes) * _BUCKET_BYTES:
            return frozenset(range(len(self._bucket_hashes)))
        local_digests = self.bucket_digests
        return frozenset(
            index
            for index in range(len(self._bucket_hashes))
            if local_digests[index * _BUCKET_BYTES : (index + 1) * _BUCKET_BYTES]
            != bucket_digests[index * _BUCKET_BYTES : (index + 1) * _BUCKET_BYTES]
        )

    def list_members(self, buckets: frozenset[int]) -> tuple[Member, ...]:
        """Returns the members of the given buckets.

        Args:
            buckets: Indexes of the buckets; those that don't exist are ignored.

        Returns:
            The members.
        """
        return tuple(self._members[name] for name in _list_names(self._names_by_bucket, buckets))

    def list_departures(self, buckets: frozenset[int]) -> tuple[UpstreamDeparture, ...]:
        """Returns the departures of the upstreams beside the members of the given buckets.

        Args:
            buckets: Indexes of the buckets; those that don't exist are ignored.

        Returns:
            The departures.
        """
        names = _list_names(self._departed_by_bucket, buckets)
        return tuple(departure for name in names for departure in self.departures.of(name))

    def list_crashes(self, buckets: frozenset[int]) -> tuple[CrashReport, ...]:
        """Returns the crash reports if the given buckets include theirs.

        Args:
            buckets: Indexes of the buckets.

        Returns:
            The crash reports, oldest first.
        """
        return self.crashes if _CRASH_BUCKET in buckets else ()

    def serving(self, service: str) -> tuple[Member, ...]:
        """Returns the daemons whose upstream accepts requests for a service.

        Args:
            service: Name of the service.

        Returns:
            Their records; the same tuple object until one of them changes.
        """
        known = self._serving_cache.get(service)
        if known is None:
            group = self._serving.get(service)
            if not group:
                return ()
            members = (group[name] for name in sorted(group))
            known = self._serving_cache[service] = tuple(
                member
                for member in members
                if not (self.notices.has_left(member) or self.departures.has_left(member))
            )
        return known

    def find(self, name: str) -> Member | None:
        """Returns the record of a daemon, or None if the name is unknown."""
        return self._members.get(name)

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Returns whether a request has crashed so many upstreams that it is to be refused."""
        return self._crash_counts.get(fingerprint, 0) >= SUSPECT_CRASH_COUNT

    def merge_members(self, members: Iterable[Member]) -> tuple[Member, ...]:
        """Merges records of daemons.

        If a record of an earlier incarnation of this daemon is newer than the local one, as after
        a clock was set back, the local record is raised above it.

        Args:
            members: Records from any source, old or new.

        Returns:
            Those that were newer than the known ones.
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

    def merge_notice(self, notice: UpstreamNotice) -> bool:
        """Merges what an upstream has said about itself.

        Args:
            notice: Notice from any source, old or new.

        Returns:
            Whether more is known than before.
        """
        is_news = self.notices.merge(notice)
        if is_news and notice.leaves:
            self._serving_cache.clear()
        return is_news

    def merge_departures(
        self, departures: Iterable[UpstreamDeparture]
    ) -> tuple[UpstreamDeparture, ...]:
        """Merges departures of upstreams.

        Args:
            departures: Departures from any source, old or new.

        Returns:
            Those by which more is known than before.
        """
        news = []
        for departure in departures:
            known = self.departures.of(departure.member)
            if not self.departures.merge(departure):
                continue
            merged = self.departures.of(departure.member)
            bucket = _find_bucket(departure.member)
            self._departed_by_bucket[bucket].add(departure.member)
            self._toggle_hash(bucket, hash_departures(known) ^ hash_departures(merged))
            self._serving_cache.clear()
            news.append(departure)
        return tuple(news)

    def update_local_member(self, local_member: Member) -> Member:
        """Replaces the record of this daemon, with the next revision.

        Args:
            local_member: New content; its incarnation and revision are ignored.

        Returns:
            The new record.
        """
        incarnation, revision = self.local_member.order
        changed = replace_order(local_member, incarnation, revision + 1)
        self._put(changed)
        return changed

    def merge_crashes(self, reports: Iterable[CrashReport]) -> tuple[CrashReport, ...]:
        """Merges crash reports.

        Args:
            reports: Reports from any source.

        Returns:
            Those that were not known before.
        """
        news = []
        for report in reports:
            if report in self._crashes:
                continue
            self._crashes[report] = None
            self._toggle_hash(_CRASH_BUCKET, _hash_crash(report))
            news.append(report)
        while len(self._crashes) > MAX_CRASH_REPORTS:
            oldest = next(iter(self._crashes))
            del self._crashes[oldest]
            self._toggle_hash(_CRASH_BUCKET, _hash_crash(oldest))
        if news:
            self._count_crashes_by_request()
        return tuple(news)

    def _keep_previous_record(self, earlier: Member) -> None:
        if self.previous_record is None or earlier.order > self.previous_record.order:
            self.previous_record = earlier

    def _raise_local_member(self, earlier: Member) -> None:
        self._put(replace_order(self.local_member, earlier.incarnation + 1, 0))

    def _count_crashes_by_request(self) -> None:
        self._crash_counts = {}
        for report in self._crashes:
            self._crash_counts[report.fingerprint] = (
                self._crash_counts.get(report.fingerprint, 0) + 1
            )

    def _put(self, member: Member) -> None:
        """Adds or replaces a record; the cost doesn't depend on the number of members."""
        known = self._members.get(member.name)
        bucket = _find_bucket(member.name)
        if known is not None:
            self._toggle_hash(bucket, _hash_member(known))
            if known.phase is MemberPhase.SERVING:
                del self._serving[known.service][known.name]
                self._serving_cache.pop(known.service, None)
        self._members[member.name] = member
        self._names_by_bucket[bucket].add(member.name)
        self._toggle_hash(bucket, _hash_member(member))
        if member.phase is MemberPhase.SERVING:
            self._serving.setdefault(member.service, {})[member.name] = member
            self._serving_cache.pop(member.service, None)

    def _toggle_hash(self, bucket: int, value: int) -> None:
        """Adds a record's hash to its bucket, or removes it again."""
        self._bucket_hashes[bucket] ^= value
        self._digest = b""


def _list_names(by_bucket: tuple[set[str], ...], buckets: frozenset[int]) -> list[str]:
    """Lists the names in the given buckets, of which some may not exist."""
    indexes = sorted(index for index in buckets if 0 <= index < len(by_bucket))
    return [name for index in indexes for name in by_bucket[index]]


def _find_bucket(member_name: str) -> int:
    return xxhash.xxh3_64_intdigest(member_name.encode()) % _MEMBER_BUCKETS


def _hash_member(member: Member) -> int:
    key = f"{member.name} {member.incarnation} {member.revision}"
    return xxhash.xxh3_64_intdigest(key.encode())


def _hash_crash(report: CrashReport) -> int:
    key = f"{report.upstream_born_ms} {report.upstream_id}"
    return xxhash.xxh3_64_intdigest(report.fingerprint + key.encode())


def replace_order(member: Member, incarnation: int, revision: int) -> Member:
    """Copies a record with another incarnation and revision.

    Args:
        member: The record.
        incarnation: New incarnation.
        revision: New revision.

    Returns:
        The copy.
    """
    return msgspec.structs.replace(member, incarnation=incarnation, revision=revision)
