"""A stopped daemon ends without the clean-up of the interpreter.

That takes most of the processor time between the last line of the log and the end of the process.
Where processor time is short, the process was still there at the end of its grace period.
"""

from __future__ import annotations

import json
import os
import signal
import tempfile
import unittest
from pathlib import Path

import trio

from fulmarstile_adapter.names import CONFIG_KEY, CONFIG_TOPIC
from fulmarstile_adapter_testing.configuration import make_configuration
from fulmarstile_adapter_testing.store import StoreStandIn, serve_store
from fulmarstile_adapter_testing.vm import PlatformVm, VmPlacement

CLEAN_UP_CODE = 9
"""Exit code of a process whose interpreter begins to clean up."""
PROGRAM = f"""
import atexit, os, runpy
atexit.register(os._exit, {CLEAN_UP_CODE})
runpy.run_module("fulmarstile_adapter", run_name="__main__")
"""


class WatchedVm(PlatformVm):
    """VM whose daemon ends with `CLEAN_UP_CODE` when its interpreter begins to clean up."""

    def _list_arguments(self) -> list[str]:
        return ["-c", PROGRAM]


class ProcessEndTest(unittest.TestCase):
    def test_a_stopped_daemon_writes_its_last_line_and_skips_the_clean_up(self) -> None:
        async def run(folder: Path) -> tuple[int | None, list[bytes]]:
            store = StoreStandIn()
            store.put(CONFIG_TOPIC, CONFIG_KEY, make_configuration(1, ["mesh.example"], (1, 1)))
            placement = VmPlacement(f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}")
            async with serve_store(store) as address:
                vm = WatchedVm(1, "shop", address, folder, placement=placement)
                vm.start()
                try:
                    await vm.wait_ready()
                    vm.send_signal(signal.SIGTERM)
                finally:
                    await vm.wait_exit()
                return vm.exit_code, vm.log_file.read_bytes().splitlines()

        with tempfile.TemporaryDirectory() as folder:
            code, lines = trio.run(run, Path(folder))
        self.assertEqual(json.loads(lines[-1])["event"], "ended")
        self.assertEqual(code, 0)


if __name__ == "__main__":
    unittest.main()
