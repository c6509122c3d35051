"""Daemon processes that stood still, or lost the store, run no request with a removed key."""

from __future__ import annotations

import signal
import tempfile
import unittest
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from fulmarstile_adapter.names import CONFIG_KEY, CONFIG_TOPIC
from fulmarstile_adapter_testing.configuration import make_configuration
from fulmarstile_adapter_testing.store import StoreStandIn, serve_store
from fulmarstile_adapter_testing.vm import PlatformVm
from fulmarstile_platform.http import open_http_client

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

REVOKE_S = 5.0
MARGIN_S = 0.1
BOUNDS = {"StrictRevoke": True, "RevokeS": REVOKE_S}
KEY = "key-0f3a77d1"
OTHER_KEY = "key-9c1b02e4"
READY_S = 20.0


class Deployment:
    """Two VMs and the store."""

    def __init__(self, store: StoreStandIn, vms: list[PlatformVm]) -> None:
        self.store = store
        self.vms = vms

    def publish(self, version: int, keys: dict[str, list[str]]) -> None:
        record = make_configuration(version, [vm.host for vm in self.vms], (1, 1), keys)
        self.store.put(CONFIG_TOPIC, CONFIG_KEY, record)

    async def call(self, number: int, request_id: str, key: str = KEY, wait_ms: int = 2_000) -> int:
        vm = self.vms[number]
        answer = await vm.call(request_id, "GET", "/read/1", deadline_ms=wait_ms, key=key)
        return answer.status

    async def wait_for_status(self, number: int, status: int, key: str) -> None:
        with trio.fail_after(READY_S):
            while await self.call(number, "waiting", key) != status:
                await trio.sleep(0.05)

    def count_runs(self, request_id: str) -> int:
        return sum(vm.upstream.record.count_runs(request_id) for vm in self.vms)


@asynccontextmanager
async def serve_deployment() -> AsyncIterator[Deployment]:
    """Runs two daemons whose upstreams serve the same service."""
    store = StoreStandIn()
    with tempfile.TemporaryDirectory() as folder:
        async with serve_store(store) as address, trio.open_nursery() as nursery:
            vms = [PlatformVm(n, "shop", address, Path(folder), bounds=BOUNDS) for n in (21, 22)]
            deployment = Deployment(store, vms)
            deployment.publish(1, {"baker": [KEY], "miller": [OTHER_KEY]})
            try:
                for vm in vms:
                    nursery.start_soon(vm.upstream.serve)
                    vm.start()
                for vm in vms:
                    await vm.wait_ready()
                    await vm.send_heartbeat()
                for number in range(len(vms)):
                    await deployment.wait_for_status(number, 200, KEY)
                yield deployment
            finally:
                for vm in vms:
                    vm.kill()
            nursery.cancel_scope.cancel()


class RevokedKeyTest(unittest.TestCase):
    def test_a_daemon_that_was_frozen_runs_nothing_that_was_sent_after_the_bound(self) -> None:
        async def run() -> None:
            async with serve_deployment() as deployment:
                frozen = deployment.vms[0]
                frozen.send_signal(signal.SIGSTOP)
                deployment.publish(2, {"baker": [], "miller": [OTHER_KEY]})
                await trio.sleep(REVOKE_S + MARGIN_S)
                statuses: list[int] = []

                async def call_frozen(number: int) -> None:
                    statuses.append(await deployment.call(0, f"late-{number}", wait_ms=9_000))

                async with trio.open_nursery() as calls:
                    for number in range(20):
                        calls.start_soon(call_frozen, number)
                    await trio.sleep(0.5)
                    frozen.send_signal(signal.SIGCONT)
                self.assertLessEqual(set(statuses), {401, 503})
                self.assertEqual([deployment.count_runs(f"late-{n}") for n in range(20)], [0] * 20)
                await deployment.wait_for_status(0, 200, OTHER_KEY)
                await deployment.wait_for_status(0, 401, KEY)

        trio.run(run)

    def test_no_key_is_in_the_log_the_dump_or_the_metrics_of_a_process(self) -> None:
        async def run() -> None:
            async with serve_deployment() as deployment:
                deployment.publish(2, {"baker": ["another"], "miller": [OTHER_KEY]})
                for number, vm in enumerate(deployment.vms):
                    await deployment.wait_for_status(number, 401, KEY)
                    await deployment.wait_for_status(number, 200, OTHER_KEY)
                    deployment.store.put(CONFIG_TOPIC, CONFIG_KEY, KEY.encode())
                    async with open_http_client(vm.address(9464)) as client:
                        texts = [
                            (await client.request("GET", path)).body
                            for path in ("/state", "/metrics")
                        ]
                    self.assertIn(b"requests_unauthorized", texts[1])
                    await trio.sleep(0.5)
                    texts.append(vm.log_file.read_bytes())
                    self.assertIn(b"api-key-unknown", texts[2])
                    for text in texts:
                        for key in (KEY, OTHER_KEY):
                            self.assertNotIn(key[4:].encode(), text)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
