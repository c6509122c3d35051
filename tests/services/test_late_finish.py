"""A stopping daemon answers what has arrived although its event loop is late at the end."""

from __future__ import annotations

import time
import unittest
from contextlib import ExitStack
from unittest import mock

import trio

from fulmarstile_services.document import Repeatability
from fulmarstile_services.settings import RequiredBounds
from fulmarstile_testing.builders.service_mesh import (
    ClientAnswer,
    ServiceClient,
    connect,
    serve_mesh,
)
from fulmarstile_testing.builders.services import make_document, make_route
from tests.services.test_unread_requests import REQUEST, open_caller, read_until_end

LATE_S = 0.3
"""Time for which the event loop is held, more than `LossSlackS`, in seconds."""
BOUNDS = RequiredBounds(grace_s=3.0)
PHASE_S = 0.5
"""Longest time that the last phase may take, in seconds."""
LONG_MS = 40_000
DOCUMENT = make_document(
    make_route(repeatability=Repeatability.AT_MOST_ONCE, timeout_s=60.0, target_latency_s=30.0)
)
CONNECTIONS = 40
"""Enough that the task of at least one runs late, as tasks run in random order."""


class LateFinishTest(unittest.TestCase):
    def test_a_request_that_arrives_while_the_event_loop_is_late_at_the_end_is_answered(
        self,
    ) -> None:
        async def run() -> list[bytes]:
            async with serve_mesh("shop") as mesh:
                node = mesh.nodes[0]
                with ExitStack() as opened:
                    kept = opened.enter_context(open_caller(node.address))
                    await trio.to_thread.run_sync(kept.sendall, REQUEST)
                    await trio.to_thread.run_sync(kept.recv, 65_536)
                    callers = node.daemon._callers
                    finish = callers.finish

                    arrived = [kept]

                    async def finish_late(timeout_s: float) -> None:
                        arrived.append(opened.enter_context(open_caller(node.address)))
                        for caller in arrived:
                            caller.sendall(REQUEST)
                        time.sleep(LATE_S)
                        await finish(timeout_s)

                    with mock.patch.object(callers, "finish", finish_late):
                        node.stop()
                        await node.ended.wait()
                    return [read_until_end(caller) for caller in arrived]

        for answer in trio.run(run):
            self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)

    def test_a_running_request_is_answered_although_the_event_loop_is_late_for_the_whole_phase(
        self,
    ) -> None:
        async def run() -> ClientAnswer:
            async with serve_mesh("shop", document=DOCUMENT, bounds=BOUNDS) as mesh:
                node = mesh.nodes[0]
                callers = node.daemon._callers
                expire_all = callers.expire_all

                def expire_late() -> None:
                    time.sleep(PHASE_S)
                    expire_all()

                async with ServiceClient(await connect(node.address)) as client:
                    await client.send(f"/a?delay_ms={LONG_MS}", "POST", wait_ms=LONG_MS)
                    with trio.fail_after(5.0):
                        while not node.upstream.record.running:
                            await trio.sleep(0.01)
                    with mock.patch.object(callers, "expire_all", expire_late):
                        node.stop()
                        answer = await client.receive()
                        await node.ended.wait()
                return answer

        answer = trio.run(run)
        self.assertEqual((answer.status, answer.complete), (502, True))

    def test_connections_without_a_request_at_the_end_cause_no_error(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                node = mesh.nodes[0]
                with ExitStack() as opened:
                    callers = node.daemon._callers
                    finish = callers.finish

                    async def finish_late(timeout_s: float) -> None:
                        for _ in range(CONNECTIONS):
                            opened.enter_context(open_caller(node.address))
                        await finish(timeout_s)

                    with mock.patch.object(callers, "finish", finish_late):
                        node.stop()
                        await node.ended.wait()

        # They may be closed as idle before the tasks that serve them run.
        with self.assertNoLogs("fulmarstile_daemon.services._request_server", "ERROR"):
            trio.run(run)


if __name__ == "__main__":
    unittest.main()
