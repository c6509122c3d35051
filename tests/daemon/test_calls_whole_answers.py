"""Callers get the complete answer to their own request, or a clear failure."""

from __future__ import annotations

import json
import unittest

import trio

from fulmarstile_daemon.calls import CallSettings
from fulmarstile_testing.builders.call_proxies import (
    MESH_KEY,
    make_request,
    serve_daemon,
    serve_two_daemons,
)
from fulmarstile_testing.upstream_stand_in import StandInSettings

LARGE = 3_000_000


class WholeAnswerTest(unittest.TestCase):
    def test_a_small_answer_that_is_cut_off_becomes_a_refusal(self) -> None:
        async def run() -> None:
            async with serve_two_daemons() as (entry, serving):
                for daemon in (serving, entry):
                    answer = await daemon.call(make_request("/write?truncate=1", "POST", b"x"))
                    self.assertEqual((answer.status, answer.verdict), (502, "RAN"))
                    self.assertEqual((answer.reason, answer.complete), ("truncated", True))

        trio.run(run)

    def test_a_large_answer_that_is_cut_off_does_not_end_as_complete(self) -> None:
        async def run() -> None:
            async with serve_two_daemons() as (entry, serving):
                for daemon in (serving, entry):
                    for chunked in ("", "&chunked=1"):
                        target = f"/write?truncate=1&size={LARGE}{chunked}"
                        answer = await daemon.call(make_request(target))
                        self.assertFalse(answer.complete)
                        self.assertLess(len(answer.body), LARGE)

        trio.run(run)

    def test_a_large_answer_is_streamed_whole(self) -> None:
        async def run() -> None:
            async with serve_two_daemons() as (entry, serving):
                for daemon in (serving, entry):
                    for chunked in ("", "&chunked=1"):
                        answer = await daemon.call(make_request(f"/slots?size={LARGE}{chunked}"))
                        self.assertTrue(answer.complete)
                        self.assertEqual(len(answer.body), LARGE)

        trio.run(run)

    def test_answers_are_never_mixed_up_while_callers_disconnect(self) -> None:
        async def disconnect_early(daemon, number: int) -> None:
            caller = await daemon.connect()
            await caller.send(make_request(f"/slots/left-{number}?delay_ms=3"))
            await trio.sleep(0.001 * (number % 5))
            await caller.close()

        async def wait_for_answer(daemon, number: int, results: dict[int, str]) -> None:
            answer = await daemon.call(make_request(f"/slots/{number}?delay_ms={number % 4}"))
            results[number] = json.loads(answer.body)["target"].partition("?")[0]

        async def run() -> None:
            results: dict[int, str] = {}
            async with serve_two_daemons() as daemons, trio.open_nursery() as nursery:
                for number in range(60):
                    daemon = daemons[number % 2]
                    nursery.start_soon(disconnect_early, daemon, number)
                    nursery.start_soon(wait_for_answer, daemon, number, results)
            self.assertEqual(results, {number: f"/slots/{number}" for number in range(60)})

        trio.run(run)

    def test_an_unsolicited_answer_reaches_no_other_caller(self) -> None:
        async def run() -> None:
            async with serve_two_daemons() as (entry, serving):
                for daemon in (serving, entry):
                    await daemon.call(make_request("/slots/first?twice=1"))
                    answer = await daemon.call(make_request("/slots/second"))
                    self.assertEqual(json.loads(answer.body)["target"], "/slots/second")

        trio.run(run)

    def test_a_large_upload_is_streamed_whole(self) -> None:
        async def run() -> None:
            async with serve_two_daemons() as (entry, serving):
                for daemon in (serving, entry):
                    caller = await daemon.connect()
                    head = make_request(
                        "/write",
                        "POST",
                        headers={"Content-Length": str(LARGE), "Expect": "100-continue"},
                    )
                    await caller.send(head)
                    await caller.send(b"x" * LARGE)
                    answer = await caller.receive("POST")
                    self.assertEqual(json.loads(answer.body)["body_bytes"], LARGE)
                    await caller.close()

        trio.run(run)

    def test_an_upload_gets_no_continue_before_it_holds_a_slot(self) -> None:
        async def run() -> None:
            async with serve_daemon(slots=1) as daemon:
                holder = await daemon.connect()
                await holder.send(make_request("/slots?delay_ms=100000"))
                await wait_until(lambda: daemon.upstream.counts.running == 1)
                upload = await daemon.connect()
                headers = {"Content-Length": str(LARGE), "Expect": "100-continue"}
                await upload.send(make_request("/short", "POST", headers=headers))
                answer = await upload.receive("POST")
                self.assertEqual((answer.status, answer.verdict), (504, "NOT_RUN"))
                self.assertEqual(daemon.upstream.counts.total, 1)

        trio.run(run)

    def test_an_upload_whose_caller_disconnects_is_cancelled_and_frees_its_slot(self) -> None:
        async def run() -> None:
            async with serve_daemon(slots=1) as daemon:
                upload = await daemon.connect()
                head = make_request("/write", "POST", headers={"Content-Length": str(LARGE)})
                await upload.send(head + b"x" * 200_000)
                await wait_until(lambda: daemon.upstream.counts.running == 1)
                await upload.close()
                answer = await daemon.call(make_request())
                self.assertEqual(answer.status, 200)
                self.assertEqual(daemon.upstream.counts.cancelled, 1)

        trio.run(run)

    def test_a_caller_that_disconnects_cancels_the_exchange_with_the_upstream(self) -> None:
        async def run() -> None:
            async with serve_two_daemons() as (entry, serving):
                caller = await entry.connect()
                await caller.send(make_request("/slots?delay_ms=100000"))
                await wait_until(lambda: serving.upstream.counts.running == 1)
                await caller.close()
                await wait_until(lambda: serving.upstream.counts.running == 0)
                self.assertEqual(serving.upstream.counts.cancelled, 1)
                await wait_until(lambda: serving.proxy.dump().upstream_running == 0)
                await wait_until(lambda: entry.proxy.counters.callers_gone == 1)

        trio.run(run)

    def test_slots_and_connections_are_never_exceeded(self) -> None:
        async def run() -> None:
            statuses: list[int] = []

            async def call(daemon, number: int) -> None:
                answer = await daemon.call(make_request(f"/write?delay_ms={number % 3}"))
                statuses.append(answer.status)

            async with serve_daemon(slots=3, connections=4) as daemon:
                async with trio.open_nursery() as nursery:
                    for number in range(60):
                        nursery.start_soon(call, daemon, number)
                self.assertEqual(daemon.upstream.counts.max_running, 3)
                self.assertLessEqual(daemon.upstream.counts.max_connections, 4)
            self.assertEqual(statuses, [200] * 60)

        trio.run(run)

    def test_a_connection_that_went_silent_is_replaced(self) -> None:
        async def run() -> None:
            settings = CallSettings(MESH_KEY, fresh_connection_s=0.01)
            async with serve_daemon(settings=settings) as daemon:
                await daemon.call(make_request())
                daemon.upstream.silent_connections = set(daemon.upstream.open_connections)
                await trio.sleep(0.05)
                answer = await daemon.call(make_request("/write", "POST", b"x"))
                self.assertEqual(answer.status, 200)
                self.assertEqual(daemon.upstream.counts.total, 2)

        trio.run(run)

    def test_an_answer_without_a_length_is_not_passed_on(self) -> None:
        async def run() -> None:
            stand_in = StandInSettings("planning", "planning-1", until_close=True)
            async with serve_daemon(upstream=stand_in) as daemon:
                answer = await daemon.call(make_request("/write"))
                self.assertEqual((answer.status, answer.verdict), (502, "RAN"))

        trio.run(run)


async def wait_until(condition) -> None:
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.005)


if __name__ == "__main__":
    unittest.main()
