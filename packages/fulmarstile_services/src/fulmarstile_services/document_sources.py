"""Decides from where a daemon learns of newer versions of the operator's document."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import xxhash

from fulmarstile_services.store_readers import list_document_readers

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Container, Iterable

    from fulmarstile_services.directory import Directory
    from fulmarstile_wire.services import Member

PROMPT_READERS: Final = 2
"""Readers of the whole fleet that notice soon if connections to the store have gone silent."""
_RETRY_S: Final = 1.0
"""Time for which a daemon that gave no useful reply is not asked again, in seconds."""
_MAX_SILENCE_S: Final = 1.2
"""Time without a useful reply from which the daemon reads the store itself, in seconds."""


class DocumentSources:
    """Chooses the daemon to ask, and whether to read the store.

    A few daemons of each availability zone read the store, those with the fastest links, as each
    version arrives there as a whole. The others ask one of these, which sends what has changed.

    Args:
        directory: All known daemons.
        is_reachable: Returns whether a daemon answered the last attempt to reach it.
    """

    def __init__(self, directory: Directory, is_reachable: Callable[[str], bool]) -> None:
        self._directory = directory
        self._is_reachable = is_reachable
        self._failed_at: dict[str, float] = {}
        self._answered_at = -math.inf

    @property
    def is_reader(self) -> bool:
        """Whether this daemon reads the store for others of its zone."""
        return self._is_among(self._list_readers())

    @property
    def is_prompt_reader(self) -> bool:
        """Whether this daemon polls the store at short intervals for the others."""
        return self._is_among(self._list_prompt_readers(self._list_all_readers()))

    @property
    def is_relied_on(self) -> bool:
        """Whether this daemon polls the store at short intervals, and there are others."""
        readers = self._list_all_readers()
        return len(readers) > 1 and self._is_among(self._list_prompt_readers(readers))

    def choose(self, now: float, asked: Collection[str] = ()) -> Member | None:
        """Chooses the daemon to ask.

        Args:
            now: Current time in seconds.
            asked: Names of daemons that have not replied yet, which are asked again only if there
                is no other.

        Returns:
            For a reader, another one, of any zone, that polls at short intervals or has a fast
            link, so that a version that one zone has read reaches the others. Else a reader of the
            own zone, or of another one if none of these is of use. None if there is nobody to ask.
        """
        self._failed_at = {name: at for name, at in self._failed_at.items() if now - at < _RETRY_S}
        return self._choose({*self._failed_at, *asked}) or self._choose(self._failed_at)

    def _choose(self, excluded: Container[str]) -> Member | None:
        local_readers = self._list_readers()
        if not self._is_among(local_readers):
            # Each daemon prefers another reader, so that they share the work.
            member = self._choose_among(local_readers, lambda _: (0, 0), excluded)
            if member is not None:
                return member
        readers = self._list_all_readers()
        prompt = {reader.name for reader in self._list_prompt_readers(readers)}
        return self._choose_among(
            readers, lambda reader: (int(reader.name not in prompt), -reader.link_kbps), excluded
        )

    def on_reply(self, member: Member, now: float, *, is_current: bool) -> None:
        """Notes a reply.

        Args:
            member: The daemon that replied.
            now: Current time in seconds.
            is_current: Whether that daemon follows the store.
        """
        if is_current:
            self._answered_at = now
            self._failed_at.pop(member.name, None)
        else:
            self._failed_at[member.name] = now

    def on_failure(self, member: Member, now: float) -> None:
        """Notes that a daemon did not reply in time, or not usefully.

        Args:
            member: The daemon.
            now: Current time in seconds.
        """
        self._failed_at[member.name] = now

    def should_read_store(self, now: float) -> bool:
        """Returns whether this daemon should read the store itself.

        Args:
            now: Current time in seconds.
        """
        return now - self._answered_at > _MAX_SILENCE_S or self.is_reader

    def _list_readers(self, zone: str = "") -> tuple[Member, ...]:
        return list_document_readers(self._directory, self._is_reachable, zone)

    def _list_all_readers(self) -> list[Member]:
        zones = {member.availability_zone for member in self._directory.members}
        return [reader for zone in sorted(zones) for reader in self._list_readers(zone)]

    def _list_prompt_readers(self, readers: list[Member]) -> list[Member]:
        """Lists the readers with the fastest links, the same ones for all daemons."""
        ranked = sorted(readers, key=lambda reader: (-reader.link_kbps, _hash("", reader.name)))
        return ranked[:PROMPT_READERS]

    def _is_among(self, members: Iterable[Member]) -> bool:
        local_name = self._directory.local_member.name
        return any(member.name == local_name for member in members)

    def _choose_among(
        self,
        members: Iterable[Member],
        rank: Callable[[Member], tuple[int, int]],
        excluded: Container[str],
    ) -> Member | None:
        """Chooses a usable daemon of the lowest rank, and another one for each daemon if equal."""
        local_name = self._directory.local_member.name
        usable = [
            member
            for member in members
            if member.name != local_name and member.name not in excluded
        ]
        return min(
            usable,
            key=lambda member: (rank(member), _hash(local_name, member.name)),
            default=None,
        )


def _hash(local_name: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{local_name}/{name}".encode())
