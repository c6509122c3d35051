"""The real program on loopback against the stand-in of the users' platform.

Starts a store, three daemons as processes and an upstream beside each, and sends requests on
every kind of route: before and after a change of the configuration and while an upstream leaves.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from contextlib import AsyncExitStack, ExitStack, contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import msgspec
import trio

from fulmarstile_adapter.names import CONFIG_KEY, CONFIG_TOPIC, HEADER_NAMES, SETTINGS_VARIABLE
from fulmarstile_platform.http import HttpError, open_http_client
from fulmarstile_testing.service_upstream import ServiceUpstream
from fulmarstile_testing.users_platform.store import StoreStandIn, serve_store

if TYPE_CHECKING:
    from collections.abc import Iterator

_SERVICES: Final = ("shop", "shop", "stock")
_BORN_MS: Final = 1_700_000_000_000
_SLOTS: Final = 4
_TIMEOUT_S: Final = 20.0
_UPLOAD_BYTES: Final = 300_000
_COLUMNS: Final = (
    "Name",
    "Hostname",
    "PathPrefix",
    "RouteType",
    "TimeoutS",
    "TargetLatencyS",
    "Priority",
    "MaxAttempts",
    "Service",
    "WeightedSplit",
)


class _Vm:
    """A VM with its addresses, its daemon and its upstream."""

    def __init__(self, number: int, service: str, store_address: str, folder: Path) -> None:
        self.name = f"vm-{number}"
        self.ip = f"127.0.0.{number + 1}"
        self.service = service
        self.upstream = ServiceUpstream(HEADER_NAMES, f"i-{number}")
        self.sequence = 0
        self._store_address = store_address
        self._file = folder / f"{self.name}.json"

    def address(self, port: int) -> str:
        """Returns an address of the VM."""
        return f"{self.ip}:{port}"

    @contextmanager
    def run_daemon(self) -> Iterator[None]:
        """Runs the daemon as a process."""
        self._file.write_bytes(msgspec.json.encode(self._make_settings()))
        log = self._file.with_suffix(".log")
        environment = {**os.environ, SETTINGS_VARIABLE: str(self._file)}
        with log.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", "fulmarstile_adapter"], env=environment, stdout=output
            )
            try:
                yield
            finally:
                process.terminate()
                process.wait(_TIMEOUT_S)

    async def wait_ready(self) -> None:
        """Waits until the daemon says that it is ready."""
        async with open_http_client(self.address(7403)) as client:
            with trio.fail_after(_TIMEOUT_S):
                while True:
                    try:
                        answer = await client.request("GET", "/v1/ready")
                    except HttpError:
                        await trio.sleep(0.05)
                        continue
                    if answer.status == 200:
                        return
                    await trio.sleep(0.05)

    async def beat(self, state: str = "ready") -> None:
        """Has the upstream send a heartbeat."""
        self.sequence += 1
        body = {
            "Address": self.upstream.address,
            "Info": {"Service": self.service, "Version": "v1", "Zone": "a", "Slots": _SLOTS},
            "Status": {"State": state, "Sequence": self.sequence, "ColdLeftS": 0},
            "born": _BORN_MS,
        }
        path = f"/v1/Instances.Heartbeat/{self.upstream.upstream_id}"
        async with open_http_client(self.address(7404)) as client:
            answer = await client.request("POST", path, msgspec.json.encode(body))
        if answer.status != 200:
            raise RuntimeError(f"heartbeat answered with {answer.status}: {answer.body!r}")

    async def call(self, request_id: str, method: str, path: str, body: bytes = b"") -> int:
        """Sends a request as a client of the VM; returns the status."""
        headers = {"X-Attempt-Id": request_id, "X-Deadline-Ms": "2000"}
        async with open_http_client(self.address(7402)) as client:
            answer = await client.request(method, path, body, headers=headers)
        return answer.status

    def _make_settings(self) -> dict[str, Any]:
        return {
            "NodeName": self.name,
            "Ip": self.ip,
            "Zone": "a",
            "Region": "r",
            "Service": self.service,
            "AppAddr": self.upstream.address,
            "Listen": {
                "Inbound": self.address(7401),
                "Outbound": self.address(7402),
                "Ready": self.address(7403),
                "Control": self.address(7404),
            },
            "Limits": {"MemoryMb": 150, "MaxFds": 1_024},
            "Platform": {"Address": self._store_address},
            "Bootstrap": True,
        }


def _make_config(version: int, vm: _Vm, split: tuple[int, int]) -> bytes:
    """Makes the operator's configuration; all routes are for the host of one VM."""
    weighted = [
        {"Service": "shop", "Weight": split[0]},
        {"Service": "stock", "Weight": split[1]},
    ]
    host = vm.address(7402)
    rows = [
        ["read", host, "/read/", "idempotent", 1.0, 0.4, 1, 2, "shop", None],
        ["order", host, "/order/", "non_idempotent", 1.0, 0.4, 0, 2, "stock", None],
        ["photo", host, "/photo/", "upload", 2.0, 1.0, 1, 2, "shop", None],
        ["both", host, "/both/", "idempotent", 1.0, 0.4, 2, 2, None, weighted],
    ]
    services = [[name, 100] for name in sorted(set(_SERVICES))]
    return msgspec.json.encode(
        {
            "Version": f"{version:08x}",
            "Routes": {"Columns": _COLUMNS, "Rows": rows},
            "Services": {"Columns": ["Name", "MaxConnections"], "Rows": services},
        }
    )


async def _call_every_route(vm: _Vm, phase: str) -> None:
    for method, path, body in (
        ("GET", "/read/1", b""),
        ("POST", "/order/1", b"one"),
        ("POST", "/photo/1", b"p" * _UPLOAD_BYTES),
        ("GET", "/both/1", b""),
        ("GET", "/nowhere/", b""),
    ):
        status = await vm.call(f"{phase}-{path}", method, path, body)
        print(f"{phase:>14}  {method:<4} {path:<10} {status}")


async def _run(folder: Path) -> None:
    store = StoreStandIn()
    async with AsyncExitStack() as stack:
        address = await stack.enter_async_context(serve_store(store))
        nursery = await stack.enter_async_context(trio.open_nursery())
        processes = stack.enter_context(ExitStack())
        vms = [_Vm(number, name, address, folder) for number, name in enumerate(_SERVICES, 1)]
        store.put(CONFIG_TOPIC, CONFIG_KEY, _make_config(1, vms[0], (7, 3)))
        for vm in vms:
            nursery.start_soon(vm.upstream.serve)
            processes.enter_context(vm.run_daemon())
        for vm in vms:
            await vm.wait_ready()
            await vm.beat()
        await trio.sleep(1.0)
        await _call_every_route(vms[0], "first version")
        store.put(CONFIG_TOPIC, CONFIG_KEY, _make_config(2, vms[0], (0, 1)))
        await trio.sleep(1.0)
        await _call_every_route(vms[0], "second version")
        await vms[0].beat("draining")
        await _call_every_route(vms[0], "one leaves")
        for vm in vms:
            print(f"{vm.upstream.upstream_id}: {len(vm.upstream.record.requests)} requests")
        print(f"calls to the store: {len(store.calls)}")
        processes.close()
        nursery.cancel_scope.cancel()


def main() -> None:
    """Runs the demonstration."""
    with tempfile.TemporaryDirectory() as folder:
        trio.run(_run, Path(folder))


if __name__ == "__main__":
    main()
