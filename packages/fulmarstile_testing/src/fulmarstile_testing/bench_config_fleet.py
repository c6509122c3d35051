"""A local fleet of the bench of configuration, seen from outside."""

from __future__ import annotations

import time
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING, Any, Final

import msgspec

from fulmarstile_config import (
    CustomerFold,
    Publication,
    SectionChange,
    encode_record,
    generate_key_pair,
    sign_publication,
    stream_name,
)
from fulmarstile_config.ownership import OWNER_TEAM
from fulmarstile_mesh import RENDEZVOUS_STREAM
from fulmarstile_testing.bench_config_baselines import APPLIED_MARK
from fulmarstile_testing.fleet import LOG_NAME, DaemonSpec, LocalFleet
from fulmarstile_wire.records import StreamRecord

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from fulmarstile_config import KeyPair
    from fulmarstile_platform import HttpLog
    from fulmarstile_testing.probe import FleetProbe

CUSTOMER: Final = "laundry"
ZONES: Final = ("be-bru", "be-ant", "be-lie")
BODY_ITEMS: Final = 40
"""Items in each changed section."""


class BenchFleet(LocalFleet):
    """Starts bench daemons of one design."""

    design = "push"

    def start_daemon(self, name: str, seeds: Sequence[str] = ()) -> None:
        """Starts a daemon."""
        self.settings_file(name).write_text(self._render_settings(self.specs[name], seeds))
        settings = f"--settings={self.settings_file(name)}"
        self._start(
            name, "fulmarstile_testing.bench_config_daemon", settings, f"--design={self.design}"
        )

    def list_applied(self, name: str) -> dict[int, float]:
        """Returns when a daemon put each version in force, in seconds since the epoch."""
        applied: dict[int, float] = {}
        for line in self.output(name).splitlines():
            words = line.split()
            if words[:1] == [APPLIED_MARK] and len(words) == 3:
                applied.setdefault(int(words[1]), float(words[2]))
        return applied


@contextmanager
def open_bench_fleet(design: str, size: int, pair: KeyPair) -> Iterator[BenchFleet]:
    """Prepares a fleet; what still runs on exit is killed.

    Args:
        design: A name of `bench_config_daemon.RELAYS`.
        size: Number of daemons.
        pair: Keys of the customer's owner.

    Yields:
        The fleet.
    """
    mode = design if design in ("push", "pull") else "push"
    specs = [
        DaemonSpec(
            f"daemon-{number:02}", ZONES[number % len(ZONES)], "planning", dissemination=mode
        )
        for number in range(size)
    ]
    with TemporaryDirectory(prefix="fulmarstile-bench-") as directory:
        fleet = BenchFleet(
            directory=Path(directory),
            specs={spec.name: spec for spec in specs},
            owners={CUSTOMER: pair.public_key},
            default_customer=CUSTOMER,
        )
        fleet.design = design
        fleet.allocate()
        try:
            yield fleet
        finally:
            fleet.stop_all()


@dataclass(frozen=True, slots=True)
class LogRequests:
    """Requests to the log since its start, those for claims left out."""

    config_reads: int
    rendezvous_reads: int
    appends: int

    @property
    def reads(self) -> int:
        """Reads of both kinds."""
        return self.config_reads + self.rendezvous_reads


@dataclass(frozen=True, slots=True)
class FleetUsage:
    """What a fleet has used since its start, at one moment."""

    at: float
    sent_bytes: int
    sent_messages: int
    processor_s: float
    memory_bytes: int
    """Largest resident memory of one daemon."""
    log: LogRequests


class FleetObserver:
    """Reads the counters of a fleet."""

    def __init__(self, fleet: BenchFleet, probe: FleetProbe) -> None:
        self._fleet = fleet
        self._probe = probe

    async def read_usage(self) -> FleetUsage:
        """Returns what the fleet has used so far."""
        sent_bytes = sent_messages = 0
        processor_s = 0.0
        memory_bytes = 0
        names = [name for name in self._fleet.specs if name in self._fleet.processes]
        for name in names:
            state = await self._get_state(name)
            sent_bytes += state["counters"]["links"]["sent_bytes"]
            sent_messages += state["counters"]["links"]["sent_messages"]
        for name in names:
            usage = self._fleet.read_usage(name)
            processor_s += usage.processor_s
            memory_bytes = max(memory_bytes, usage.memory_bytes)
        counts = await self.read_log_counts()
        return FleetUsage(
            at=time.time(),
            sent_bytes=sent_bytes,
            sent_messages=sent_messages,
            processor_s=processor_s,
            memory_bytes=memory_bytes,
            log=counts,
        )

    async def read_log_counts(self) -> LogRequests:
        """Returns what the log was asked for, claims left out."""
        counts = None
        while counts is None:
            counts = await self._probe.get_json(self._fleet.log_address, "/__stand_in/counts")
        return LogRequests(
            config_reads=counts["reads_per_stream"].get(stream_name(CUSTOMER), 0),
            rendezvous_reads=counts["reads_per_stream"].get(RENDEZVOUS_STREAM, 0),
            appends=sum(
                counts["appends_per_stream"].get(stream, 0)
                for stream in (stream_name(CUSTOMER), RENDEZVOUS_STREAM)
            ),
        )

    async def knows_everybody(self) -> bool:
        """Returns whether every daemon sees every running one alive."""
        running = [name for name in self._fleet.specs if name in self._fleet.processes]
        for name in running:
            address = self._fleet.admin_addresses[name]
            members = await self._probe.get_json(address, "/v1/members") or []
            if sum(member["status"] == "alive" for member in members) != len(running):
                return False
        return True

    async def switch_log(self, **switches: object) -> None:
        """Sets switches of the log stand-in."""
        body = msgspec.json.encode(switches)
        await self._probe.request(self._fleet.log_address, "PUT", "/__stand_in/switches", body)

    async def _get_state(self, name: str) -> Any:
        state = None
        while state is None:
            state = await self._probe.get_json(self._fleet.admin_addresses[name], "/state")
        return state


class BenchPublisher:
    """Publishes changes of one section and knows the version that each leads to."""

    def __init__(self, fleet: BenchFleet, log: HttpLog, pair: KeyPair) -> None:
        self._log = log
        self._pair = pair
        self._fold = CustomerFold(CUSTOMER, pair.public_key, fleet.mesh_key)
        self._random = Random(1)
        self._count = 0

    async def publish(self) -> tuple[int, float]:
        """Publishes a change.

        Returns:
            The version it leads to and the time of its append, in seconds since the epoch.
        """
        self._count += 1
        change = SectionChange("limits", self._get_base(), self._build_body())
        publication = Publication(
            publication_id=f"change-{self._count}",
            customer=CUSTOMER,
            team=OWNER_TEAM,
            changes=(change,),
            base_sequence=self._fold.sequence,
        )
        signed = sign_publication(publication, self._pair.private_key)
        offset = await self._log.append(stream_name(CUSTOMER), encode_record(signed))
        return await self._follow(offset)

    async def _follow(self, offset: int) -> tuple[int, float]:
        appended_at = 0.0
        while self._fold.head.next_offset <= offset:
            page = await self._log.read(stream_name(CUSTOMER), self._fold.head.next_offset)
            for record in page.records:
                self._fold.on_record(
                    StreamRecord(record.offset, record.payload, record.appended_at_ms)
                )
                if record.offset == offset:
                    appended_at = record.appended_at_ms / 1000
        return self._fold.version, appended_at

    def _get_base(self) -> int:
        section = self._fold.sections.get("limits")
        return section.version if section is not None else 0

    def _build_body(self) -> str:
        lines = ["limits:"]
        for number in range(BODY_ITEMS):
            rate = self._random.randrange(100, 100_000)
            lines.append(f"- {{name: limit-{number}, calls_per_s: {rate}, burst: {rate}}}")
        return "\n".join(lines) + "\n"


def create_keys() -> KeyPair:
    """Returns new keys of the customer's owner."""
    return generate_key_pair()


__all__ = [
    "CUSTOMER",
    "LOG_NAME",
    "BenchFleet",
    "BenchPublisher",
    "FleetObserver",
    "FleetUsage",
    "create_keys",
    "open_bench_fleet",
]
