"""An error in a task of the call proxy ends neither the proxy nor the calls in flight."""

from __future__ import annotations

import unittest
from contextlib import AbstractContextManager, ExitStack
from typing import TYPE_CHECKING, Any
from unittest import mock

import trio
from loguru import logger

from fulmarstile_daemon.calls import CallProxy, CallSettings
from fulmarstile_daemon.calls._disconnect_watch import DisconnectWatch
from fulmarstile_daemon.calls._local_upstream import LocalUpstream
from fulmarstile_http.listener import ConnectionListener, OutOfDescriptorsError
from fulmarstile_testing.builders.call_proxies import MESH_KEY, make_request, serve_daemon

if TYPE_CHECKING:
    from collections.abc import Callable

ERROR = LookupError("an error of the test")
SLOW = make_request("/slots?delay_ms=300")
TIMEOUT_S = 10.0


class FailingTaskTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("fulmarstile_daemon.calls")
        self.addCleanup(logger.enable, "fulmarstile_daemon.calls")

    def check(
        self, *patches: AbstractContextManager[Any], others: int = 0, connection_limit: int = 10
    ) -> list[int]:
        """Sends a slow request, beside it others on connections of their own, and one afterwards.

        Returns:
            The status of the first and of the last one.
        """
        settings = CallSettings(MESH_KEY, drain_announce_s=0.0, connection_limit=connection_limit)

        async def run() -> list[int]:
            statuses = []
            with trio.fail_after(TIMEOUT_S):
                async with serve_daemon(settings=settings) as daemon:
                    caller = await daemon.connect()
                    await caller.send(SLOW)
                    while not daemon.upstream.counts.running:
                        await trio.sleep(0.005)
                    with ExitStack() as stack:
                        for patch in patches:
                            stack.enter_context(patch)
                        for _ in range(others):
                            await daemon.call(make_request())
                        statuses.append((await caller.receive()).status)
                    await caller.send(make_request())
                    statuses.append((await caller.receive()).status)
            return statuses

        return trio.run(run)

    def test_an_error_in_the_periodic_checks_costs_no_call(self) -> None:
        patch = mock.patch.object(DisconnectWatch, "tick", side_effect=[ERROR, *[None] * 100])
        with self.assertLogs(level="ERROR"):
            self.assertEqual(self.check(patch), [200, 200])

    def check_eviction(self, *results: object) -> None:
        patch = mock.patch.object(CallProxy, "_evict_idle", side_effect=results)
        self.assertEqual(self.check(patch, others=1, connection_limit=1), [200, 200])

    def test_an_error_while_a_connection_is_evicted_costs_only_the_new_one(self) -> None:
        self.check_eviction(ERROR)

    def test_an_error_in_the_second_try_of_an_eviction_costs_only_the_new_one(self) -> None:
        self.check_eviction(False, ERROR)

    def test_an_error_while_descriptors_are_short_costs_no_call(self) -> None:
        accept: Callable[[ConnectionListener], Any] = ConnectionListener.accept
        failures = iter([OutOfDescriptorsError(24, "an error of the test")])

        async def accept_or_fail(listener: ConnectionListener) -> Any:
            stream = await accept(listener)
            for failure in failures:
                stream.close()
                raise failure
            return stream

        patches = (
            mock.patch.object(ConnectionListener, "accept", accept_or_fail),
            mock.patch.object(CallProxy, "_evict_idle", side_effect=ERROR),
        )
        with self.assertLogs(level="ERROR"):
            self.assertEqual(self.check(*patches, others=2), [200, 200])

    def test_an_error_while_a_crash_is_checked_costs_no_call(self) -> None:
        async def run() -> None:
            with trio.fail_after(TIMEOUT_S):
                async with serve_daemon() as daemon:
                    daemon.proxy._on_connection_lost((), trio.current_time())
                    answer = await daemon.call(make_request())
                    self.assertEqual(answer.status, 200)

        failing = mock.patch.object(LocalUpstream, "find_suspects", side_effect=ERROR)
        with failing, self.assertLogs(level="ERROR"):
            trio.run(run)


if __name__ == "__main__":
    unittest.main()
