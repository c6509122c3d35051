"""Real processes on loopback: log stand-in, daemons and upstream stand-ins."""

from __future__ import annotations

import base64
import os
import secrets
import signal
import subprocess
import sys
import tempfile
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Final

from fulmarstile_testing.free_ports import LOOPBACK, find_free_ports

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

LOG_NAME: Final = "log"
"""Name of the log stand-in's process."""

STOP_TIMEOUT_S: Final = 10.0
"""Time that a process gets to end after SIGTERM, in seconds."""


@dataclass(frozen=True, slots=True)
class DaemonSpec:
    """A daemon of the fleet and the upstream beside it."""

    name: str
    availability_zone: str
    service: str
    region: str = "region-1"
    slots: int = 10
    connections: int = 130
    dissemination: str = "push"


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What the operating system says a process has used."""

    processor_s: float
    memory_bytes: int


@dataclass(slots=True)
class LocalFleet:
    """Starts, stops and disturbs the processes of a fleet on loopback.

    Attributes:
        directory: Directory of the settings files and of the processes' output.
        specs: Daemons by name.
        owners: Owner's public key of each customer, raw bytes.
        default_customer: Customer of calls that name none.
        advertised_addresses: Address that peers dial instead of the listener's, by daemon.
    """

    directory: Path
    specs: Mapping[str, DaemonSpec]
    owners: Mapping[str, bytes]
    default_customer: str = ""
    mesh_key: bytes = field(default_factory=lambda: secrets.token_bytes(32))
    log_address: str = ""
    admin_addresses: dict[str, str] = field(default_factory=dict)
    calls_addresses: dict[str, str] = field(default_factory=dict)
    peer_addresses: dict[str, str] = field(default_factory=dict)
    upstream_addresses: dict[str, str] = field(default_factory=dict)
    advertised_addresses: dict[str, str] = field(default_factory=dict)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def allocate(self) -> None:
        """Reserves an address for every listener."""
        ports = find_free_ports(1 + 4 * len(self.specs))
        self.log_address = f"{LOOPBACK}:{next(ports)}"
        for name in self.specs:
            self.admin_addresses[name] = f"{LOOPBACK}:{next(ports)}"
            self.calls_addresses[name] = f"{LOOPBACK}:{next(ports)}"
            self.peer_addresses[name] = f"{LOOPBACK}:{next(ports)}"
            self.upstream_addresses[name] = f"{LOOPBACK}:{next(ports)}"

    def settings_file(self, name: str) -> Path:
        """Returns the settings file of a daemon."""
        return self.directory / f"{name}.ini"

    def start_log(self, *options: str) -> None:
        """Starts the log stand-in."""
        module = "fulmarstile_testing.log_stand_in"
        self._start(LOG_NAME, module, f"--address={self.log_address}", *options)

    def start_daemon(self, name: str, seeds: Sequence[str] = ()) -> None:
        """Starts a daemon.

        Args:
            name: Name of the daemon.
            seeds: Addresses of peers to join through, besides those found in the log.
        """
        self.settings_file(name).write_text(self._render_settings(self.specs[name], seeds))
        self._start(name, "fulmarstile_daemon.main", f"--settings={self.settings_file(name)}")

    def start_upstream(self, name: str, *options: str) -> None:
        """Starts the upstream beside a daemon."""
        spec = self.specs[name]
        self._start(
            upstream_name(name),
            "fulmarstile_testing.upstream_stand_in",
            f"--address={self.upstream_addresses[name]}",
            f"--admin={self.admin_addresses[name]}",
            f"--service={spec.service}",
            f"--slots={spec.slots}",
            f"--connections={spec.connections}",
            *options,
        )

    def start_all(self, *upstream_options: str) -> None:
        """Starts the log, every daemon and every upstream, these with further options."""
        self.start_log()
        for name in self.specs:
            self.start_daemon(name)
            self.start_upstream(name, *upstream_options)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process at once and waits for its end."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Asks a process to stop.

        Args:
            name: Name of the process.
            timeout_s: Time after which it is killed, in seconds.

        Returns:
            Exit code of the process; negative if it had to be killed.
        """
        process = self.processes.pop(name)
        process.send_signal(signal.SIGCONT)
        process.terminate()
        try:
            return process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop_all(self) -> None:
        """Kills every process that is left."""
        for name in list(self.processes):
            self.kill(name)

    def read_usage(self, name: str) -> ProcessUsage:
        """Returns what a process has used since its start, from the operating system."""
        pid = self.processes[name].pid
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = int(fields[21])
        return ProcessUsage(
            processor_s=ticks / os.sysconf("SC_CLK_TCK"),
            memory_bytes=pages * os.sysconf("SC_PAGE_SIZE"),
        )

    def output(self, name: str) -> str:
        """Returns what a process has written so far."""
        return (self.directory / f"{name}.out").read_text(errors="replace")

    def _start(self, name: str, module: str, *options: str) -> None:
        with (self.directory / f"{name}.out").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *options],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def _render_settings(self, spec: DaemonSpec, seeds: Sequence[str]) -> str:
        lines = [
            "[daemon]",
            f"name = {spec.name}",
            f"region = {spec.region}",
            f"availability_zone = {spec.availability_zone}",
            "[peers]",
            f"address = {self.peer_addresses[spec.name]}",
            f"advertise = {self.advertised_addresses.get(spec.name, '')}",
            f"seeds = {', '.join(seeds)}",
            f"dissemination = {spec.dissemination}",
            "[calls]",
            f"address = {self.calls_addresses[spec.name]}",
            f"default_customer = {self.default_customer}",
            "[admin]",
            f"address = {self.admin_addresses[spec.name]}",
            "[log]",
            f"address = {self.log_address}",
            "[mesh]",
            f"key = {_encode_key(self.mesh_key)}",
            "[customers]",
        ]
        lines += [f"{name} = {_encode_key(key)}" for name, key in self.owners.items()]
        return "\n".join(lines) + "\n"


def upstream_name(daemon: str) -> str:
    """Returns the name of the process of the upstream beside a daemon."""
    return f"{daemon}.upstream"


@contextmanager
def open_fleet(
    specs: Sequence[DaemonSpec], owners: Mapping[str, bytes], default_customer: str = ""
) -> Iterator[LocalFleet]:
    """Prepares a fleet in a temporary directory; nothing is started yet.

    Args:
        specs: The daemons.
        owners: Owner's public key of each customer, raw bytes.
        default_customer: Customer of calls that name none.

    Yields:
        The fleet; what still runs on exit is killed.
    """
    with tempfile.TemporaryDirectory(prefix="fulmarstile-") as directory:
        fleet = LocalFleet(
            directory=Path(directory),
            specs={spec.name: spec for spec in specs},
            owners=owners,
            default_customer=default_customer,
        )
        fleet.allocate()
        try:
            yield fleet
        finally:
            fleet.stop_all()


def _encode_key(key: bytes) -> str:
    return base64.b64encode(key).decode("ascii")
