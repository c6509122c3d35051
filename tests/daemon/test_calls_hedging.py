"""A slow read is sent to a second upstream, and only one answer reaches the caller."""

from __future__ import annotations

import json
import unittest
from contextlib import AsyncExitStack

import trio

from fulmarstile_testing.builders.call_proxies import (
    HEDGED_ROUTE,
    FakeContext,
    make_endpoint,
    make_request,
    make_table,
    serve_daemon,
)
from fulmarstile_testing.upstream_stand_in import StandInSettings


async def serve_with_slow_peer(stack: AsyncExitStack):
    """Serves a daemon whose own upstream is fast and whose peer's is slow."""
    context = FakeContext(routing_table=make_table((HEDGED_ROUTE,)))
    entry = await stack.enter_async_context(serve_daemon(context=context))
    slow = StandInSettings("planning", "slow", delay_ms=60_000)
    peer = await stack.enter_async_context(serve_daemon("daemon-2", upstream=slow))
    remote = make_endpoint("daemon-2", peer.proxy.address, is_local=False)
    entry.proxy.replace_endpoints((remote,))
    return entry, peer, (entry.endpoint, remote)


class HedgingTest(unittest.TestCase):
    def test_a_slow_read_is_answered_by_a_second_upstream_and_the_first_is_cancelled(self) -> None:
        async def run() -> None:
            async with AsyncExitStack() as stack:
                entry, peer, endpoints = await serve_with_slow_peer(stack)
                entry.proxy.replace_endpoints((entry.endpoint,))
                for _ in range(4):
                    await entry.call(make_request())
                entry.proxy.replace_endpoints((endpoints[1],))
                caller = await entry.connect()
                await caller.send(make_request("/slots/hedged"))
                while not peer.upstream.counts.running:
                    await trio.sleep(0.002)
                entry.proxy.replace_endpoints(endpoints)
                answer = await caller.receive()
                self.assertEqual(answer.status, 200)
                self.assertEqual(json.loads(answer.body)["instance"], "planning-daemon-1")
                await peer.upstream.wait_idle()
                self.assertEqual(peer.upstream.counts.cancelled, 1)
                self.assertEqual(entry.proxy.counters.hedges, 1)

        trio.run(run)

    def test_a_write_is_never_hedged(self) -> None:
        async def run() -> None:
            async with AsyncExitStack() as stack:
                entry, peer, endpoints = await serve_with_slow_peer(stack)
                entry.proxy.replace_endpoints((entry.endpoint,))
                for _ in range(4):
                    await entry.call(make_request())
                entry.proxy.replace_endpoints((endpoints[1],))
                headers = {"Fulmarstile-Deadline-Ms": "300"}
                caller = await entry.connect()
                await caller.send(make_request("/slots", "POST", b"x", headers))
                while not peer.upstream.counts.running:
                    await trio.sleep(0.002)
                entry.proxy.replace_endpoints(endpoints)
                answer = await caller.receive("POST")
                self.assertEqual((answer.status, answer.verdict), (504, "MAY_HAVE_RUN"))
                self.assertEqual(entry.upstream.counts.total, 4)
                self.assertEqual(entry.proxy.counters.hedges, 0)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
