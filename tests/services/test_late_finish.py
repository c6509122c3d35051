"""A stopping daemon answers what has arrived although its event loop is late at the end."""

from __future__ import annotations

import time
import unittest
from contextlib import ExitStack
from unittest import mock

import trio

from fulmarstile_testing.builders.service_mesh import serve_mesh
from tests.services.test_unread_requests import REQUEST, open_caller, read_until_end

LATE_S = 0.3
"""Time for which the event loop is held, more than `LossSlackS`, in seconds."""
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
