"""Builders of configuration documents, publications and streams."""

from __future__ import annotations

import hashlib
import itertools
from typing import TYPE_CHECKING, Final

from fulmarstile_config import (
    CustomerFold,
    FoldLimits,
    KeyPair,
    Publication,
    SectionChange,
    derive_public_key,
    encode_key,
    encode_record,
    sign_publication,
)
from fulmarstile_wire.records import StreamRecord

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarstile_config import PublicationVerdict

CUSTOMER: Final = "laundry"
"""Customer of the built streams."""

MESH_KEY: Final = b"mesh key of the tests"
"""Key that snapshots of the built folds are authenticated with."""

START_MS: Final = 1_800_000_000_000
"""Time of the first record, milliseconds since the epoch; the start of a minute."""


def make_key_pair(name: str) -> KeyPair:
    """Returns the key pair of a team, derived from its name."""
    private_key = hashlib.sha256(name.encode()).digest()
    return KeyPair(private_key, derive_public_key(private_key))


def make_fold(limits: FoldLimits | None = None, customer: str = CUSTOMER) -> CustomerFold:
    """Returns an empty fold that trusts the key of the team `owner`."""
    return CustomerFold(customer, make_key_pair("owner").public_key, MESH_KEY, limits)


def make_teams(owned: Mapping[str, tuple[str, ...]], keys: Mapping[str, str] | None = None) -> str:
    """Returns a teams section.

    Args:
        owned: Sections that each team owns.
        keys: Name of the key pair of a team, if it is not the team's own name.
    """
    lines = ["teams:"]
    for team, sections in owned.items():
        public_key = make_key_pair((keys or {}).get(team, team)).public_key
        lines.append(f"- name: {team}")
        lines.append(f"  public_key: {encode_key(public_key)}")
        lines.append(f"  sections: [{', '.join(repr(section) for section in sections)}]")
    return "\n".join(lines) + "\n"


TEAMS: Final = make_teams(
    {
        "web": ("routes", "routes.*", "limits"),
        "platform": ("services", "pools", "pools.*", "retries"),
    }
)
"""Teams section of the built documents."""

SERVICES: Final = "services:\n- name: planning\n- name: reservations\n"
POOLS: Final = (
    "pools:\n"
    "- name: planning\n"
    "  service: planning\n"
    "- name: reservations\n"
    "  service: reservations\n"
)
LIMITS: Final = "limits:\n- name: residents\n  calls_per_s: 500\n  burst: 50\n"
RETRIES: Final = "retries:\n- name: twice\n  attempts: 2\n"
ROUTES: Final = (
    "routes:\n"
    "- name: slots\n"
    "  path: /slots\n"
    "  pool: planning\n"
    "  methods: [GET]\n"
    "  limit: residents\n"
    "  retry: twice\n"
    "  idempotent: true\n"
    "- name: reserve\n"
    "  path: /reservations\n"
    "  pool: reservations\n"
    "  priority: critical\n"
    "  at_most_once: true\n"
)


class StreamBuilder:
    """A configuration stream with the fold of a daemon that has read all of it.

    Attributes:
        fold: Fold of all records so far.
        records: All records so far.
    """

    def __init__(self, limits: FoldLimits | None = None) -> None:
        self.fold = make_fold(limits)
        self.records: list[StreamRecord] = []
        self._ids = (f"publication-{number}" for number in itertools.count(1))

    def make_publication(
        self,
        team: str,
        sections: Mapping[str, str],
        *,
        publication_id: str = "",
        key: str = "",
        customer: str = CUSTOMER,
        base_versions: Mapping[str, int] | None = None,
        base_sequence: int | None = None,
    ) -> Publication:
        """Returns a signed publication, by default based on the current state.

        Args:
            team: Team that publishes.
            sections: Body of each section, empty to remove it.
            publication_id: Identifier; a new one if empty.
            key: Name of the key pair to sign with; the team's own if empty.
            customer: Customer that the publication names.
            base_versions: Base versions to use instead of the current ones.
            base_sequence: Sequence that the publisher saw, if not the current one.
        """
        changes = tuple(
            SectionChange(
                section, (base_versions or {}).get(section, self._current_version(section)), body
            )
            for section, body in sections.items()
        )
        publication = Publication(
            publication_id=publication_id or next(self._ids),
            customer=customer,
            team=team,
            changes=changes,
            base_sequence=self.fold.sequence if base_sequence is None else base_sequence,
        )
        return sign_publication(publication, make_key_pair(key or team).private_key)

    def append(self, payload: bytes, after_ms: int = 1000) -> StreamRecord:
        """Appends a record to the stream and folds it."""
        last_ms = self.records[-1].appended_at_ms if self.records else START_MS - after_ms
        record = StreamRecord(len(self.records), payload, last_ms + after_ms)
        self.records.append(record)
        self.fold.on_record(record)
        return record

    def send(self, publication: Publication) -> PublicationVerdict | None:
        """Appends a publication and returns its verdict."""
        self.append(encode_record(publication))
        return self.fold.find_verdict(publication.publication_id)

    def publish(
        self, team: str, sections: Mapping[str, str], *, publication_id: str = "", key: str = ""
    ) -> PublicationVerdict | None:
        """Publishes sections based on the current state and returns the verdict."""
        publication = self.make_publication(team, sections, publication_id=publication_id, key=key)
        return self.send(publication)

    def publish_document(self) -> StreamBuilder:
        """Publishes the teams and a complete document, in three publications."""
        self.publish("owner", {"teams": TEAMS})
        self.publish("platform", {"services": SERVICES, "pools": POOLS, "retries": RETRIES})
        self.publish("web", {"limits": LIMITS, "routes": ROUTES})
        return self

    def replay(self, fold: CustomerFold, first: int = 0, last: int | None = None) -> CustomerFold:
        """Feeds a range of the records to another fold and returns it."""
        for record in self.records[first:last]:
            fold.on_record(record)
        return fold

    def _current_version(self, section: str) -> int:
        state = self.fold.sections.get(section)
        return state.version if state is not None else 0
