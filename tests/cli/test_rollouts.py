"""`rollouts` shows what a daemon knows, for operators and for scripts."""

from __future__ import annotations

import contextlib
import io
import json
import unittest

import trio

from fulmarstile_cli.exit_codes import ExitCode
from fulmarstile_cli.main import run_command
from fulmarstile_testing.builders.rollouts import ROLLOUT_BOUNDS
from fulmarstile_testing.builders.service_mesh import serve_mesh


class RolloutsTest(unittest.TestCase):
    def run_on_daemon(self, *flags: str, duration_s: float) -> tuple[int, str]:
        """Runs the command against a daemon that has read an order for `v2`."""
        output = io.StringIO()

        async def run() -> int:
            async with serve_mesh("shop", bounds=ROLLOUT_BOUNDS, version="v1") as mesh:
                mesh.put_order("shop", "v2", duration_s)
                with trio.fail_after(10.0):
                    while not mesh.list_statuses("shop"):
                        await trio.sleep(0.01)
                address = mesh.nodes[0].platform.settings.listeners.metrics
                with contextlib.redirect_stdout(output):
                    return await run_command(["rollouts", f"--admin={address}", *flags])

        return trio.run(run), output.getvalue()

    def test_an_operator_sees_phase_evaluators_and_reason(self) -> None:
        code, output = self.run_on_daemon(duration_s=-1.0)
        self.assertEqual(code, ExitCode.OK)
        self.assertRegex(output, r"shop +v2 +rolled-back .* rejected: the duration")
        self.assertIn("evaluators: daemon-1", output)
        self.assertIn("versions without requests: v2", output)

    def test_a_script_reads_every_field(self) -> None:
        code, output = self.run_on_daemon("--json", duration_s=60.0)
        self.assertEqual(code, ExitCode.OK)
        (rollout,) = json.loads(output[output.index("[") :])
        self.assertEqual((rollout["phase"], rollout["is_fresh"]), ("canary", True))
