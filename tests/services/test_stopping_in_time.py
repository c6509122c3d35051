"""A daemon ends within the grace period, counted from the arrival of SIGTERM."""

from __future__ import annotations

import os
import signal
import time
import unittest
from typing import TYPE_CHECKING

import trio

from fulmarstile_services.document import Repeatability
from fulmarstile_services.settings import RequiredBounds
from fulmarstile_testing.builders.service_mesh import ServiceClient, connect, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_testing.builders.service_mesh import ServiceNode

DOCUMENT = make_document(
    make_route(repeatability=Repeatability.AT_MOST_ONCE, timeout_s=60.0, target_latency_s=30.0)
)
LONG_MS = 40_000
SHORT_GRACE_S = 3.0
HELD_S = 0.9
"""Time for which a task keeps the event loop from handling SIGTERM, in seconds."""
NESTED_HELD_S = 0.4
QUOTA_PERIOD_S = 0.1
"""Time for which a process may get no processor time, and so no signal, in seconds."""
LATE_S = 3.05
"""Time after SIGTERM at which no request may be passed on that could be cut off, in seconds."""


async def send_long_request(client: ServiceClient, node: ServiceNode) -> None:
    """Sends `request-1`, and waits until the upstream runs it."""
    await client.send(f"/a?delay_ms={LONG_MS}", "POST", wait_ms=LONG_MS)
    with trio.fail_after(5.0):
        while not node.upstream.record.running:
            await trio.sleep(0.01)


def send_sigterm_to_busy_loop(held_s: float) -> float:
    """Sends SIGTERM to this process, and keeps its event loop busy; returns when it was sent."""
    sent_at = time.monotonic()
    os.kill(os.getpid(), signal.SIGTERM)
    time.sleep(held_s)
    return sent_at


def send_sigterm_to_halted_process(halted_s: float) -> float:
    """Sends SIGTERM to this process while it runs nothing for a time; returns when it was sent."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
    time.sleep(0.05)
    sent_at = send_sigterm_to_busy_loop(halted_s)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGTERM})
    return sent_at


class StoppingInTimeTest(unittest.TestCase):
    def measure_stop_s(self, send_sigterm: Callable[[float], float]) -> float:
        """Stops a daemon beside a running request; returns the time from SIGTERM to its end."""

        async def run() -> float:
            bounds = RequiredBounds(grace_s=SHORT_GRACE_S)
            async with serve_mesh("shop", document=DOCUMENT, bounds=bounds) as mesh:
                node = mesh.nodes[0]
                async with ServiceClient(await connect(node.address)) as client:
                    await send_long_request(client, node)
                    await trio.sleep(0.5)
                    sent_at = send_sigterm(HELD_S)
                    await node.ended.wait()
                return time.monotonic() - sent_at

        return trio.run(run)

    def test_a_daemon_whose_loop_handles_sigterm_late_is_not_there_at_the_end_of_the_grace_period(
        self,
    ) -> None:
        self.assertLess(self.measure_stop_s(send_sigterm_to_busy_loop), SHORT_GRACE_S)

    def test_a_daemon_that_gets_sigterm_late_is_not_there_at_the_end_of_the_grace_period(
        self,
    ) -> None:
        self.assertLess(self.measure_stop_s(send_sigterm_to_halted_process), SHORT_GRACE_S)

    def test_a_halt_is_not_counted_from_before_the_last_request(self) -> None:
        async def run() -> tuple[float, float]:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                node = mesh.nodes[0]
                daemon = node.daemon
                async with (
                    ServiceClient(await connect(node.address)) as client,
                    ServiceClient(await connect(node.address)) as second,
                ):
                    await send_long_request(client, node)
                    await second.call("/b", "POST", request_id="request-2")
                    time.sleep(HELD_S)
                    halted_s = daemon._lateness.halted_s
                    return halted_s, trio.current_time() - daemon._callers._last_request_at

        halted_s, since_request_s = trio.run(run)
        self.assertGreaterEqual(halted_s, HELD_S)
        self.assertLessEqual(halted_s, since_request_s)

    def test_a_call_sent_late_after_a_sigterm_that_was_handled_late_is_not_cut_off(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                node = mesh.nodes[0]
                async with ServiceClient(await connect(node.address)) as client:
                    await send_long_request(client, node)
                    sent_at = send_sigterm_to_busy_loop(NESTED_HELD_S)
                    await trio.sleep(sent_at + LATE_S - time.monotonic())
                    answer = await node.call(
                        f"/b?delay_ms={LONG_MS}", "POST", request_id="request-1.1", wait_ms=LONG_MS
                    )
                self.assertEqual(answer.status, 503)
                self.assertEqual(node.upstream.record.count_runs("request-1.1"), 0)

        trio.run(run)

    def test_a_call_sent_late_after_a_sigterm_that_arrived_late_is_not_cut_off(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                node = mesh.nodes[0]
                async with ServiceClient(await connect(node.address)) as client:
                    await send_long_request(client, node)
                    sent_at = time.monotonic()
                    await trio.sleep(QUOTA_PERIOD_S)
                    node.stop()
                    await trio.sleep(sent_at + LATE_S - time.monotonic())
                    answer = await node.call(
                        f"/b?delay_ms={LONG_MS}", "POST", request_id="request-1.1", wait_ms=LONG_MS
                    )
                self.assertEqual(answer.status, 503)
                self.assertEqual(node.upstream.record.count_runs("request-1.1"), 0)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
