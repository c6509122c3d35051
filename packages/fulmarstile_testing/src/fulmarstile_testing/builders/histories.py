"""Histories of streams: hostile records, and fleets that read a log which loses records."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_config import FoldLimits, encode_record
from fulmarstile_testing.builders.config import (
    LIMITS,
    POOLS,
    ROUTES,
    START_MS,
    TEAMS,
    StreamBuilder,
    make_fold,
)
from fulmarstile_wire.records import StreamRecord

if TYPE_CHECKING:
    from fulmarstile_config import CustomerFold

NARROW: Final = FoldLimits(
    recent_publications=6,
    recent_unverified=4,
    recent_records=5,
    verifications_per_min=12,
    publications_per_min=6,
)
"""Limits that are low enough for short histories to reach."""

BODIES: Final = {
    "limits": (LIMITS, LIMITS.replace("500", "900"), "limits: {}", ""),
    "routes": (ROUTES, "routes: []\n", ROUTES.replace("/slots", "/free")),
    "routes.more": ("routes: []\n", ROUTES, ""),
    "pools": (POOLS, "pools: []\n", ""),
    "teams": (TEAMS, TEAMS.replace("'routes.*'", "'routes.x'"), "teams: &a [*a]"),
}
"""Valid and invalid bodies of each section."""


def take_step(stream: StreamBuilder, step: tuple) -> None:
    """Appends the record that a step describes.

    Args:
        stream: Stream with at least one record.
        step: `publish`, `garbage`, `resend`, `mutate` or `snapshot`, with its arguments.
    """
    match step:
        case ("publish", team, choices, publication_id, key, shift):
            sections = {
                name: BODIES[name][index % len(BODIES[name])] for name, index in choices.items()
            }
            versions = {
                name: max(0, state.version + shift) for name, state in stream.fold.sections.items()
            }
            publication = stream.make_publication(
                team, sections, publication_id=publication_id, key=key, base_versions=versions
            )
            payload = encode_record(publication)
        case ("garbage", payload):
            pass
        case ("resend", index):
            payload = stream.records[index % len(stream.records)].payload
        case ("mutate", index, position, mask):
            original = bytearray(stream.records[index % len(stream.records)].payload)
            if original:
                original[position % len(original)] ^= mask
            payload = bytes(original)
        case _:
            payload = stream.fold.encode_snapshot()
    stream.append(payload, after_ms=9_000)


class Fleet:
    """Replicas that read one log; each fold is driven as by a daemon's relay."""

    def __init__(self) -> None:
        self.log: list[StreamRecord] = []
        self.folds = [make_fold(NARROW) for _ in range(3)]
        self.publisher = StreamBuilder(NARROW)
        self.append_count = 0

    def append(self, payload: bytes) -> None:
        """Appends a record to the log."""
        self.append_count += 1
        self.log.append(StreamRecord(len(self.log), payload, START_MS + 20_000 * self.append_count))

    def publish(self, index: int, body: str) -> None:
        """Publishes a section based on the state of one replica."""
        self.publisher.fold = self.folds[index]
        section = f"limits.l{body}"
        text = f"limits:\n- name: l{body}\n  calls_per_s: 5\n  burst: 1\n"
        publication = self.publisher.make_publication("owner", {section: text})
        self.append(encode_record(publication))

    def sync(self, index: int) -> None:
        """Reads the log to its end into one replica; begins a generation if the log was lost."""
        fold = self.folds[index]
        position = max(0, fold.head.next_offset - 1)
        if position < len(self.log):
            fold.on_record(self.log[position])
        generation = fold.head.generation
        if fold.head.next_offset > len(self.log) or fold.needs_new_generation:
            fold.begin_generation()
            self.read(fold)
            if fold.head.generation == generation:
                self.append(fold.begin_generation(fold.head.next_offset))
        self.read(fold)

    def read(self, fold: CustomerFold) -> None:
        """Feeds a replica the log's records from its next offset on."""
        for record in self.log[fold.head.next_offset :]:
            fold.on_record(record)

    def exchange(self, source: int, target: int) -> None:
        """Offers a snapshot of one replica to another."""
        self.folds[target].restore_snapshot(self.folds[source].encode_snapshot())

    def settle(self) -> None:
        """Lets all replicas read and exchange snapshots, in enough rounds for them to agree."""
        for _ in range(8):
            for index in range(3):
                self.sync(index)
            for source in range(3):
                for target in range(3):
                    self.exchange(source, target)
