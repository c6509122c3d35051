"""A stopped daemon ends without the clean-up of the interpreter.

That takes most of the processor time between the last line of the log and the end of the process.
Where processor time is short, the process was still there at the end of its grace period.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import trio

from fulmarstile_adapter.names import CONFIG_KEY, CONFIG_TOPIC, SETTINGS_VARIABLE
from fulmarstile_adapter_testing.configuration import make_configuration
from fulmarstile_adapter_testing.store import StoreStandIn, serve_store
from fulmarstile_adapter_testing.vm import PlatformVm, VmPlacement
from fulmarstile_testing.builders.settings import build_settings_text
from fulmarstile_testing.free_ports import find_free_ports

CLEAN_UP_CODE = 9
"""Exit code of a process whose interpreter begins to clean up."""
WATCH = f"import atexit, os; atexit.register(os._exit, {CLEAN_UP_CODE})"
PROGRAM = f"{WATCH}; import runpy; runpy.run_module('fulmarstile_adapter', run_name='__main__')"
OWN_PROGRAM = f"{WATCH}; from fulmarstile_daemon.main import run; run()"
"""The daemon of the product's own call path."""


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

    def test_an_error_at_the_start_is_written_before_the_process_ends(self) -> None:
        environment = {**os.environ, SETTINGS_VARIABLE: "/nonexistent"}
        command = [sys.executable, "-c", PROGRAM]
        ended = subprocess.run(
            command, env=environment, capture_output=True, timeout=60.0, check=False
        )
        self.assertEqual(ended.returncode, os.EX_CONFIG)
        self.assertIn(b"/nonexistent", ended.stderr)

    def test_a_stopped_daemon_of_the_own_call_path_skips_the_clean_up(self) -> None:
        peers, calls, admin = (f"127.0.0.1:{port}" for port in find_free_ports(3))
        text = build_settings_text(peers__address=peers, calls__address=calls, admin__address=admin)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.ini"
            path.write_text(text)
            command = [sys.executable, "-c", OWN_PROGRAM, f"--settings={path}"]
            with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as process:
                assert process.stderr is not None
                self.assertIn("started", process.stderr.readline())
                process.send_signal(signal.SIGTERM)
                lines = process.stderr.read().splitlines()
        self.assertIn("stopped", lines[-1])
        self.assertEqual(process.returncode, 0)


if __name__ == "__main__":
    unittest.main()
