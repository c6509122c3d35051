"""Calls reach upstreams and answers reach callers, through one daemon and through two."""

from __future__ import annotations

import json
import unittest

import trio

from fulmarstile_testing.builders.call_proxies import (
    make_request,
    serve_daemon,
    serve_two_daemons,
)


class CallPathTest(unittest.TestCase):
    def test_a_call_is_answered_by_the_local_upstream(self) -> None:
        async def run() -> None:
            async with serve_daemon() as daemon:
                answer = await daemon.call(make_request("/slots?day=2"))
            self.assertEqual((answer.status, answer.complete), (200, True))
            self.assertEqual(json.loads(answer.body)["target"], "/slots?day=2")

        trio.run(run)

    def test_a_call_is_answered_by_the_upstream_of_another_daemon(self) -> None:
        async def run() -> None:
            async with serve_two_daemons() as (entry, serving):
                answer = await entry.call(make_request(method="POST", body=b"x" * 1000))
                self.assertEqual(entry.upstream.counts.total, 0)
                self.assertEqual(serving.upstream.counts.total, 1)
                self.assertEqual(serving.proxy.counters.forwarded_calls, 1)
            self.assertEqual(answer.status, 200)
            self.assertEqual(json.loads(answer.body)["instance"], "planning-daemon-2")
            self.assertEqual(json.loads(answer.body)["body_bytes"], 1000)

        trio.run(run)

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        async def run() -> None:
            async with serve_daemon() as daemon:
                caller = await daemon.connect()
                await caller.send(b"".join(make_request(f"/slots/{n}") for n in range(5)))
                answers = [await caller.receive() for _ in range(5)]
                await caller.close()
            targets = [json.loads(answer.body)["target"] for answer in answers]
            self.assertEqual(targets, [f"/slots/{n}" for n in range(5)])

        trio.run(run)

    def test_answers_without_a_body_leave_the_connection_usable(self) -> None:
        async def run() -> None:
            async with serve_two_daemons() as daemons:
                for daemon in daemons:
                    caller = await daemon.connect()
                    cases = (("HEAD", 200), ("HEAD", 404), ("GET", 204), ("GET", 304), ("PUT", 204))
                    for method, status in cases:
                        await caller.send(make_request(f"/slots?status={status}", method))
                        answer = await caller.receive(method)
                        self.assertEqual((answer.status, answer.body), (status, b""))
                        self.assertTrue(answer.complete)
                    await caller.send(make_request("/slots"))
                    self.assertEqual((await caller.receive()).status, 200)

        trio.run(run)

    def test_an_http_1_0_caller_gets_its_answer_and_its_connection_is_closed(self) -> None:
        async def run() -> None:
            async with serve_daemon() as daemon:
                for chunked in ("", "&chunked=1"):
                    caller = await daemon.connect()
                    target = f"/slots?size=100000{chunked}".encode()
                    await caller.send(b"GET " + target + b" HTTP/1.0\r\n\r\n")
                    answer = await caller.receive()
                    self.assertEqual((answer.status, len(answer.body)), (200, 100_000))
                    self.assertTrue(await caller.is_closed_by_proxy())

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
