"""A fleet of real processes with one customer, for tests that break it from outside."""

from __future__ import annotations

import uuid
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_config import (
    Publication,
    SectionChange,
    encode_record,
    generate_key_pair,
    sign_publication,
    stream_name,
)
from fulmarstile_platform import open_http_log
from fulmarstile_testing.fleet import LOG_NAME, open_fleet
from fulmarstile_testing.free_ports import find_free_ports
from fulmarstile_testing.probe import open_probe, wait_until
from fulmarstile_testing.tcp_relay import TcpRelay

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable, Mapping, Sequence

    from fulmarstile_platform.http import HttpResponse
    from fulmarstile_testing.fleet import DaemonSpec, LocalFleet
    from fulmarstile_testing.probe import FleetProbe

CUSTOMER: Final = "laundry"
"""The customer of the fleet."""

REQUEST_ID: Final = "X-Request-Id"
"""Header by which the upstream stand-in counts requests."""


@dataclass(slots=True)
class LiveMesh:
    """Publishes to a running fleet and watches it.

    Attributes:
        fleet: The processes.
        probe: Sends requests to them.
        owner_key: Owner's private key, raw bytes.
        highest_versions: Highest version seen in force on each daemon process.
    """

    fleet: LocalFleet
    probe: FleetProbe
    owner_key: bytes
    highest_versions: dict[str, int] = field(default_factory=dict)
    relay: TcpRelay | None = None
    """Relay in front of one daemon's listener for peers."""

    async def start(self, *upstream_options: str) -> None:
        """Starts every process and waits until every daemon knows every upstream."""
        self.fleet.start_all(*upstream_options)
        await self.wait_for_members(self.fleet.specs, len(self.fleet.specs))

    async def publish(self, sections: Mapping[str, str], base_version: int = 0) -> None:
        """Appends a publication to the log.

        Args:
            sections: Body of each section.
            base_version: Version at which all these sections were last changed.
        """
        changes = tuple(SectionChange(name, base_version, body) for name, body in sections.items())
        unsigned = Publication(str(uuid.uuid4()), CUSTOMER, "owner", changes)
        record = encode_record(sign_publication(unsigned, self.owner_key))
        async with open_http_log(self.fleet.log_address) as log:
            await log.append(stream_name(CUSTOMER), record)

    async def switch_log(self, **switches: object) -> None:
        """Sets failure switches of the log stand-in."""
        body = msgspec.json.encode(switches)
        await self.probe.request(self.fleet.log_address, "PUT", "/__stand_in/switches", body)

    async def restart_log(self) -> None:
        """Replaces the log by an empty one."""
        self.fleet.kill(LOG_NAME)
        self.fleet.start_log()

    async def read_version(self, name: str) -> int | None:
        """Returns the version in force on a daemon, or None if it does not answer.

        Raises:
            AssertionError: If the version is lower than one seen before on the same name.
        """
        address = self.fleet.admin_addresses[name]
        state = await self.probe.get_json(address, "/state")
        if state is None:
            return None
        version = state["applied"].get(CUSTOMER, 0)
        highest = self.highest_versions.get(name, 0)
        if version < highest and version != 0:
            raise AssertionError(f"{name} went back from version {highest} to {version}")
        self.highest_versions[name] = max(version, highest)
        return version

    async def wait_for_version(self, version: int, names: Iterable[str] | None = None) -> None:
        """Waits until a version, or a later one, is in force on daemons."""
        wanted = list(names or self.fleet.specs)

        async def is_in_force() -> bool:
            versions = [await self.read_version(name) for name in wanted]
            return all(found is not None and found >= version for found in versions)

        await wait_until(is_in_force, f"version {version} in force on {wanted}")

    async def wait_for_members(self, names: Iterable[str], count: int) -> None:
        """Waits until daemons know a number of ready upstreams."""

        async def is_known() -> bool:
            return all([await self.count_ready(name) == count for name in names])

        await wait_until(is_known, f"{count} ready upstreams known")

    async def count_ready(self, name: str) -> int:
        """Returns how many usable upstreams a daemon knows."""
        state = await self.probe.get_json(self.fleet.admin_addresses[name], "/state")
        return len(state["endpoints"]) if state else 0

    async def call(
        self,
        name: str,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> HttpResponse:
        """Sends a call through a daemon."""
        return await self.probe.request(
            self.fleet.calls_addresses[name], method, path, body, headers
        )

    async def count_runs(self, name: str) -> Mapping[str, int]:
        """Returns how often the upstream beside a daemon ran each request."""
        address = self.fleet.upstream_addresses[name]
        response = await self.probe.request(address, "GET", "/__stand_in/counts")
        assert response.status == HTTPStatus.OK
        return msgspec.json.decode(response.body)["executed"]


@asynccontextmanager
async def open_live_mesh(
    specs: Sequence[DaemonSpec], relayed: str = "", upstream_options: Sequence[str] = ()
) -> AsyncIterator[LiveMesh]:
    """Starts a fleet.

    Args:
        specs: The daemons.
        relayed: Daemon that peers reach only through `LiveMesh.relay`; empty for none.
        upstream_options: Options of every upstream.

    Yields:
        The fleet, once every daemon knows every upstream; killed on exit.
    """
    pair = generate_key_pair()
    with open_fleet(specs, {CUSTOMER: pair.public_key}, default_customer=CUSTOMER) as fleet:
        async with open_probe() as probe, trio.open_nursery() as nursery:
            mesh = LiveMesh(fleet, probe, pair.private_key)
            if relayed:
                (port,) = find_free_ports(1)
                address = f"127.0.0.1:{port}"
                fleet.advertised_addresses[relayed] = address
                mesh.relay = TcpRelay(fleet.peer_addresses[relayed])
                nursery.start_soon(mesh.relay.serve, address)
            await mesh.start(*upstream_options)
            yield mesh
            nursery.cancel_scope.cancel()
