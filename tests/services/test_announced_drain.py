"""An upstream whose answer says that it leaves gets no new requests from daemons that know."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_testing.builders.service_mesh import serve_mesh
from fulmarstile_testing.known_red import pass_over_known_red


class AnnouncedDrainTest(unittest.TestCase):
    @pass_over_known_red
    def test_after_an_answer_that_says_so_no_request_reaches_the_upstream(self) -> None:
        async def run() -> None:
            async with serve_mesh("web", "web", "shop", "shop") as mesh:
                leaving = mesh.nodes[2]
                leaving.upstream.is_leaving = True
                for number in range(40):
                    await mesh.nodes[0].call("/a", request_id=f"first-{number}")
                    if leaving.upstream.record.requests:
                        break
                told = len(leaving.upstream.record.requests)
                self.assertEqual(told, 1)
                for number in range(40):
                    answer = await mesh.nodes[number % 2].call("/a", request_id=f"r{number}")
                    self.assertEqual(answer.status, 200)
                self.assertEqual(len(leaving.upstream.record.requests), told)

        trio.run(run)

    @pass_over_known_red
    def test_a_restart_beside_the_upstream_and_a_late_heartbeat_do_not_undo_it(self) -> None:
        async def run() -> None:
            async with serve_mesh("web", "shop", "shop") as mesh:
                leaving = mesh.nodes[1]
                leaving.upstream.is_leaving = True
                mesh.set_store_down(True)
                for number in range(40):
                    await mesh.nodes[0].call("/a", request_id=f"first-{number}")
                    if leaving.upstream.record.requests:
                        break
                await leaving.kill()
                told = len(leaving.upstream.record.requests)
                again = await mesh.start_node(
                    "daemon-2", upstream=leaving.upstream, earlier=leaving, announced=False
                )
                await again.announce(sequence=1)
                await again.announce(sequence=2)
                for number in range(20):
                    await mesh.nodes[0].call("/a", request_id=f"r{number}")
                self.assertEqual(len(leaving.upstream.record.requests), told)

        trio.run(run)

    @pass_over_known_red
    def test_a_daemon_that_starts_later_knows_of_a_drain_that_an_answer_announced(self) -> None:
        async def run() -> None:
            async with serve_mesh("web", "shop") as mesh:
                leaving = mesh.nodes[1]
                leaving.upstream.is_leaving = True
                await mesh.nodes[0].call("/a", request_id="first")
                again = await mesh.start_node("daemon-9", service="stock")
                with trio.fail_after(2):
                    while again.daemon.directory.serving("shop"):
                        await trio.sleep(0.01)

        trio.run(run)
