"""A daemon that stops answers every request, and refuses as not run those that haven't run."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING

import trio

from fulmarstile_daemon.services._body_admission import OfferKey
from fulmarstile_services.document import Repeatability
from fulmarstile_testing.builders.service_mesh import ServiceClient, connect, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from fulmarstile_testing.builders.service_mesh import ClientAnswer, ServiceNode

UPLOADS = make_document(
    make_route(
        repeatability=Repeatability.AT_MOST_ONCE,
        timeout_s=60.0,
        target_latency_s=30.0,
        priority=1,
    )
)
BODY = b"x" * 200_000
SLOW_LINK_KBPS = 8_000
LONG_MS = 40_000
SLOTS = 4
AFTER_WITHDRAWAL_S = 1.2
LATE_S = 2.6
"""Time into the stop from which requests that may outlast the daemon are refused, in seconds."""
INNER_ID = "request-1.1"
"""Id of a call that the upstream makes while it runs `request-1`."""


async def wait_until(holds: Callable[[], object]) -> None:
    """Waits until a condition holds."""
    with trio.fail_after(5.0):
        while not holds():
            await trio.sleep(0.01)


def fill_link(node: ServiceNode) -> None:
    """Blocks all other bodies on the link to a VM with an offered body that is never sent."""
    node.daemon.body_admission.offer(OfferKey("fill", 1), 10_000_000, lambda: None)


@asynccontextmanager
async def occupy_slots(node: ServiceNode) -> AsyncIterator[None]:
    """Occupies all slots of an upstream."""
    async with trio.open_nursery() as nursery:
        for number in range(SLOTS):
            call = partial(node.call, method="POST", request_id=f"r{number}", wait_ms=LONG_MS)
            nursery.start_soon(call, f"/a?delay_ms={LONG_MS}")
        await wait_until(lambda: node.upstream.record.running == SLOTS)
        yield
        nursery.cancel_scope.cancel()


async def call_and_stop(
    entry: ServiceNode, is_in_progress: Callable[[], object], target: str = "/a", body: bytes = BODY
) -> ClientAnswer:
    """Sends an upload, stops its daemon once the upload is in progress, and returns the answer."""
    async with ServiceClient(await connect(entry.address)) as client:
        await client.send(target, "POST", wait_ms=LONG_MS, body=body)
        await wait_until(is_in_progress)
        entry.stop()
        with trio.fail_after(10.0):
            return await client.receive()


class StoppingInFlightTest(unittest.TestCase):
    def assert_refused(self, answer: ClientAnswer) -> None:
        self.assertEqual((answer.status, answer.complete), (503, True))
        self.assertIn(b"retry-after", answer.headers)

    def test_an_upload_whose_body_waits_for_the_link_is_refused_as_not_run(self) -> None:
        async def run() -> None:
            async with serve_mesh(
                "stock", "shop", document=UPLOADS, link_kbps=SLOW_LINK_KBPS
            ) as mesh:
                entry, serving = mesh.nodes
                fill_link(serving)
                answer = await call_and_stop(entry, lambda: entry.daemon.dump().callers_in_flight)
                self.assert_refused(answer)
                self.assertEqual(serving.upstream.record.requests, [])

        trio.run(run)

    def test_an_upload_that_waits_for_a_slot_on_another_vm_is_refused_as_not_run(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=UPLOADS) as mesh:
                entry, serving = mesh.nodes
                async with occupy_slots(serving):
                    answer = await call_and_stop(
                        entry, lambda: serving.daemon.dump().upstream_queued
                    )
                self.assert_refused(answer)
                self.assertEqual(serving.upstream.record.count_runs("request-1"), 0)

        trio.run(run)

    def test_a_request_that_its_upstream_does_not_finish_fails_before_the_daemon_ends(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=UPLOADS) as mesh:
                entry, serving = mesh.nodes
                answer = await call_and_stop(
                    entry, lambda: serving.upstream.record.running, f"/a?delay_ms={LONG_MS}"
                )
                self.assertEqual((answer.status, answer.complete), (502, True))

        trio.run(run)

    def test_a_request_that_arrives_after_queued_ones_were_withdrawn_is_refused_at_once(
        self,
    ) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=UPLOADS) as mesh:
                entry, serving = mesh.nodes
                async with occupy_slots(serving):
                    entry.stop()
                    await trio.sleep(AFTER_WITHDRAWAL_S)
                    with trio.fail_after(0.5):
                        answer = await entry.call("/a", "POST", wait_ms=LONG_MS)
                self.assert_refused(answer)

        trio.run(run)

    def test_calls_of_a_running_request_are_accepted_until_the_daemon_ends(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", "stock", document=UPLOADS) as mesh:
                node = mesh.nodes[0]
                async with ServiceClient(await connect(node.address)) as client:
                    await client.send(f"/a?delay_ms={LONG_MS}", "POST", wait_ms=LONG_MS)
                    await wait_until(lambda: node.upstream.record.running)
                    node.stop()
                    await trio.sleep(LATE_S)
                    inner = await node.call("/b", request_id=INNER_ID, wait_ms=LONG_MS)
                    other = await node.call("/b", request_id="request-2", wait_ms=LONG_MS)
                self.assertEqual((inner.status, other.status), (200, 503))

        trio.run(run)

    def test_a_stopping_daemon_refuses_bodies_that_wait_for_its_link(self) -> None:
        async def run() -> None:
            async with serve_mesh(
                "stock", "shop", document=UPLOADS, link_kbps=SLOW_LINK_KBPS
            ) as mesh:
                entry, serving = mesh.nodes
                fill_link(serving)
                async with ServiceClient(await connect(entry.address)) as client:
                    await client.send("/a", "POST", wait_ms=LONG_MS, body=BODY)
                    await wait_until(lambda: entry.daemon.dump().callers_in_flight)
                    await trio.sleep(0.1)
                    serving.stop()
                    with trio.fail_after(4.0):
                        answer = await client.receive()
                self.assert_refused(answer)
                self.assertEqual(serving.upstream.record.requests, [])

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
