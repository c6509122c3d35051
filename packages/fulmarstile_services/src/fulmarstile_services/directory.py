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
SUSPECTED_CRASHES: Final = 2
"""Upstreams that a request crashed before it is refused."""


class Directory:
    """Merges what the store and other daemons say; the order of arrival doesn't matter.

    Args:
        own: Record of this daemon.
    """

    def __init__(self, own: Member) -> None:
        self._own_name = own.name
        self._members: dict[str, Member] = {own.name: own}
        self._crashes: dict[CrashReport, None] = {}
        self._suspects: dict[bytes, int] = {}
        self._services: dict[str, tuple[Member, ...]] = {}
        self._digest = b""
        self.recalled: Member | None = None
        """Newest record that an earlier incarnation of this daemon left, if any is known."""
        self._refresh()

    @property
    def own(self) -> Member:
        """Record of this daemon."""
        return self._members[self._own_name]

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
        return self._digest

    def serving(self, service: str) -> tuple[Member, ...]:
        """Lists the daemons whose upstream takes requests of a service."""
        return self._services.get(service, ())

    def find(self, name: str) -> Member | None:
        """Finds a daemon by its name."""
        return self._members.get(name)

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Tells whether a request has crashed as many upstreams as it may."""
        return self._suspects.get(fingerprint, 0) >= SUSPECTED_CRASHES

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
            if member.name == self._own_name and member.incarnation != self.own.incarnation:
                self._recall(member)
            if known is not None and member.order <= known.order:
                continue
            if member.name == self._own_name:
                self._raise_own(member)
            else:
                self._members[member.name] = member
            news.append(member)
        if news:
            self._refresh()
        return tuple(news)

    def change_own(self, own: Member) -> Member:
        """Replaces this daemon's record by one of the next revision.

        Args:
            own: New content; its incarnation and revision are ignored.

        Returns:
            The record.
        """
        incarnation, revision = self.own.order
        changed = replace_order(own, incarnation, revision + 1)
        self._members[self._own_name] = changed
        self._refresh()
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
        while len(self._crashes) > MAX_CRASH_REPORTS:
            del self._crashes[next(iter(self._crashes))]
        if news:
            self._count_suspects()
            self._refresh()
        return tuple(news)

    def _recall(self, earlier: Member) -> None:
        if self.recalled is None or earlier.order > self.recalled.order:
            self.recalled = earlier

    def _raise_own(self, earlier: Member) -> None:
        self._members[self._own_name] = replace_order(self.own, earlier.incarnation + 1, 0)

    def _count_suspects(self) -> None:
        self._suspects = {}
        for report in self._crashes:
            self._suspects[report.fingerprint] = self._suspects.get(report.fingerprint, 0) + 1

    def _refresh(self) -> None:
        services: dict[str, list[Member]] = {}
        digest = xxhash.xxh3_64()
        for name in sorted(self._members):
            member = self._members[name]
            digest.update(f"{name} {member.incarnation} {member.revision};".encode())
            if member.phase is MemberPhase.SERVING:
                services.setdefault(member.service, []).append(member)
        for key in sorted((each.fingerprint, each.upstream_id) for each in self._crashes):
            digest.update(key[0] + key[1].encode())
        self._services = {service: tuple(group) for service, group in services.items()}
        self._digest = digest.digest()


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
