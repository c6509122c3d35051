"""Connections between daemons: multiplexing, failure, and peers that must be rejected."""

from __future__ import annotations

import unittest
from dataclasses import replace

import trio

from fulmarstile_testing.builders.service_mesh import connect, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_testing.service_upstream import ServiceUpstream
from fulmarstile_wire.services import Hello, HopCancel, encode_frame

LONG = make_document(make_route(timeout_s=20.0, target_latency_s=20.0))


class LinkTest(unittest.TestCase):
    def test_concurrent_calls_on_one_connection_get_their_own_answers(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=LONG) as mesh:

                async def call(number: int) -> None:
                    size = number * 1_000 + 1
                    target = f"/a?size={size}&delay_ms={20 - number}"
                    answer = await mesh.nodes[0].call(
                        target, request_id=f"r{number}", wait_ms=20_000
                    )
                    self.assertEqual((answer.status, len(answer.body)), (200, size))

                async with trio.open_nursery() as nursery:
                    for number in range(20):
                        nursery.start_soon(call, number)

        trio.run(run)

    def test_a_peer_that_does_not_speak_the_protocol_is_disconnected(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                address = mesh.nodes[0].platform.settings.listeners.daemons
                for data in (
                    b"GET / HTTP/1.1\r\n\r\n",
                    encode_frame(HopCancel(1)),
                    encode_frame(Hello(999, "tomorrow")),
                ):
                    stream = await connect(address)
                    await stream.send_all(data)
                    with trio.fail_after(5):
                        self.assertEqual(await stream.receive_some(100), b"")
                self.assertEqual((await mesh.nodes[0].call("/a")).status, 200)

        trio.run(run)

    def test_calls_to_a_daemon_that_dies_fail_at_once(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=LONG) as mesh:
                entry, serving = mesh.nodes
                statuses = []

                async def call() -> None:
                    answer = await entry.call("/a?delay_ms=60000", "POST", wait_ms=20_000)
                    statuses.append(answer.status)

                with trio.fail_after(10):
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(call)
                        while not serving.upstream.record.running:
                            await trio.sleep(0.01)
                        await serving.kill()
                self.assertEqual(statuses, [502])

        trio.run(run)

    def test_an_unreachable_daemon_is_used_again_after_its_restart(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop") as mesh:
                node = mesh.nodes[1]
                await node.kill()
                self.assertEqual((await mesh.nodes[0].call("/a")).status, 503)
                await mesh.start_node("daemon-2", upstream=node.upstream, earlier=node)
                with trio.fail_after(10):
                    while (await mesh.nodes[0].call("/a")).status != 200:
                        await trio.sleep(0.05)

        trio.run(run)

    def test_a_member_whose_address_now_belongs_to_another_daemon_gets_no_calls(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop") as mesh:
                entry, gone = mesh.nodes
                await gone.kill()
                heir = ServiceUpstream(HEADER_NAMES, "upstream-of-heir")
                settings = replace(gone.platform.settings, name="heir", service="stock")
                gone.platform.settings = settings
                await mesh.start_node("heir", service="stock", upstream=heir, earlier=gone)
                await mesh.wait_serving("stock", 2)
                member = entry.daemon.directory.find("daemon-2")
                self.assertFalse(await entry.daemon.gossip.exchange(member))
                self.assertEqual((await entry.call("/a")).status, 503)

        trio.run(run)
