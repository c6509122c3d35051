"""A stop gives requests their time although the event loop was late before SIGTERM."""

from __future__ import annotations

import os
import signal
import time
import unittest

import trio

from fulmarstile_daemon.services._boot_clock import read_boot_clock
from fulmarstile_services.document import Repeatability
from fulmarstile_services.settings import RequiredBounds
from fulmarstile_testing.builders.service_mesh import ServiceClient, connect, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route

DOCUMENT = make_document(
    make_route(repeatability=Repeatability.AT_MOST_ONCE, timeout_s=60.0, target_latency_s=30.0)
)
GRACE_S = 3.0
LONG_GRACE_S = 6.0
LAST_SIXTH_S = 5.0
"""Time from SIGTERM to the last sixth of this grace period, in seconds."""
HALTED_S = 0.28
BUSY_S = 0.9
ENDS_AFTER_S = 1.7
"""Time from SIGTERM to the end of the request, before the last sixth of the grace period."""


class StoppingAfterLateLoopTest(unittest.TestCase):
    def test_a_request_is_not_broken_off_because_a_task_computed_before_sigterm(self) -> None:
        async def run() -> int:
            bounds = RequiredBounds(grace_s=GRACE_S)
            async with serve_mesh("shop", document=DOCUMENT, bounds=bounds) as mesh:
                node = mesh.nodes[0]
                async with ServiceClient(await connect(node.address)) as client:
                    delay_ms = int((BUSY_S + ENDS_AFTER_S) * 1000)
                    await client.send(f"/a?delay_ms={delay_ms}", "POST", wait_ms=60_000)
                    while not node.upstream.record.running:
                        await trio.sleep(0.01)
                    # Handlers of signals run meanwhile, unlike tasks.
                    ends_at = time.monotonic() + BUSY_S
                    while time.monotonic() < ends_at:
                        pass
                    os.kill(os.getpid(), signal.SIGTERM)
                    status = (await client.receive()).status
                await node.ended.wait()
            return status

        self.assertEqual(trio.run(run), 200)

    def test_a_request_is_not_broken_off_because_sigterm_came_later_than_assumed(self) -> None:
        # A process without a core learns only that the signal came while it had none.
        async def run() -> int:
            bounds = RequiredBounds(grace_s=LONG_GRACE_S)
            async with serve_mesh("shop", document=DOCUMENT, bounds=bounds) as mesh:
                node = mesh.nodes[0]
                async with ServiceClient(await connect(node.address)) as client:
                    delay_ms = int(LAST_SIXTH_S * 1000)
                    await client.send(f"/a?delay_ms={delay_ms}", "POST", wait_ms=60_000)
                    node.daemon.begin_stopping(read_boot_clock() - HALTED_S)
                    status = (await client.receive()).status
                await node.ended.wait()
            return status

        self.assertEqual(trio.run(run), 200)


if __name__ == "__main__":
    unittest.main()
