"""A daemon process follows the store to the address that its changed settings name."""

from __future__ import annotations

import signal
import tempfile
import unittest
from pathlib import Path

import trio

from fulmarstile_adapter.names import CONFIG_KEY, CONFIG_TOPIC
from fulmarstile_adapter_testing.configuration import make_configuration
from fulmarstile_adapter_testing.store import StoreStandIn, serve_store
from fulmarstile_adapter_testing.vm import PlatformVm

APPLY_S = 2.0
"""Time from the acknowledgement of a version until it must be in force, in seconds."""
IN_TOUCH_S = 3.0
"""Time after a disruption from which the bound holds, in seconds."""
ADDED = "added.example"


class ChangedStoreAddressTest(unittest.TestCase):
    def test_versions_written_at_a_changed_address_of_the_store_are_in_force_in_time(self) -> None:
        for is_left in (False, True):
            with self.subTest(is_left), tempfile.TemporaryDirectory() as folder:
                trio.run(self.play, Path(folder), is_left)

    async def play(self, folder: Path, is_left: bool) -> None:
        """Moves the store.

        Args:
            folder: Folder for the files of the daemon.
            is_left: Whether the earlier address refuses calls; else it answers as before.
        """
        store = StoreStandIn()
        earlier = StoreStandIn()
        async with (
            serve_store(earlier) as earlier_address,
            serve_store(store) as address,
            trio.open_nursery() as nursery,
        ):
            vm = PlatformVm(1, "shop", earlier_address, folder)
            first = make_configuration(1, [vm.host], (1, 1))
            for each in (earlier, store):
                each.put(CONFIG_TOPIC, CONFIG_KEY, first)
            nursery.start_soon(vm.upstream.serve)
            vm.start()
            try:
                await vm.wait_ready()
                await vm.send_heartbeat()
                await trio.sleep(IN_TOUCH_S)
                vm.move_store(address)
                vm.send_signal(signal.SIGHUP)
                earlier.faults.status = 503 if is_left else 0
                await trio.sleep(IN_TOUCH_S)
                store.put(CONFIG_TOPIC, CONFIG_KEY, make_configuration(2, [ADDED], (1, 1)))
                await trio.sleep(APPLY_S)
                answer = await vm.call("request-1", "GET", "/read/1")
                self.assertEqual(answer.status, 404)
            finally:
                vm.kill()
            nursery.cancel_scope.cancel()


if __name__ == "__main__":
    unittest.main()
