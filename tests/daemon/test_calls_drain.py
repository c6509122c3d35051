"""During a planned stop, calls in flight finish and new ones are refused as NOT_RUN."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_daemon.calls import CallSettings
from fulmarstile_testing.builders.call_proxies import (
    MESH_KEY,
    make_request,
    serve_daemon,
    serve_two_daemons,
)


class DrainTest(unittest.TestCase):
    def test_calls_in_flight_finish_and_new_ones_are_refused(self) -> None:
        async def call(daemon, target: str, answers: list) -> None:
            answers.append(await daemon.call(make_request(target)))

        async def run() -> None:
            answers: list = []
            settings = CallSettings(MESH_KEY, queue_limit=20, drain_announce_s=0.0)
            async with serve_daemon(slots=2, settings=settings) as daemon:
                idle = await daemon.connect()
                async with trio.open_nursery() as nursery:
                    for size in (10, 500_000, 10, 10):
                        target = f"/slots?delay_ms=100&size={size}"
                        nursery.start_soon(call, daemon, target, answers)
                    while daemon.proxy.dump().upstream_queued < 2:
                        await trio.sleep(0.005)
                    daemon.proxy.begin_draining()
                    await daemon.proxy.wait_drained()
                await idle.send(make_request())
                refused = await idle.receive()
                self.assertEqual((refused.status, refused.reason), (503, "draining"))
                self.assertEqual(refused.headers["connection"], "close")
                self.assertTrue(await idle.is_closed_by_proxy())
                ran = daemon.upstream.counts.total
            self.assertTrue(all(answer.complete for answer in answers))
            self.assertEqual(sum(answer.status == 200 for answer in answers), ran)
            for answer in answers:
                self.assertIn(answer.verdict, ("", "NOT_RUN"))

        trio.run(run)

    def test_calls_are_accepted_until_other_daemons_have_learned_of_the_stop(self) -> None:
        async def run() -> None:
            settings = CallSettings(MESH_KEY, drain_announce_s=0.2)
            async with serve_daemon(settings=settings) as daemon:
                caller = await daemon.connect()
                daemon.proxy.begin_draining()
                await caller.send(make_request())
                served = await caller.receive()
                self.assertEqual((served.status, served.headers["connection"]), (200, "close"))
                self.assertTrue(await caller.is_closed_by_proxy())
                await daemon.proxy.wait_drained()
                refused = await daemon.call(make_request())
                self.assertEqual((refused.verdict, refused.reason), ("NOT_RUN", "draining"))

        trio.run(run)

    def test_a_draining_upstream_gets_no_new_calls_until_it_is_ready_again(self) -> None:
        async def run() -> None:
            async with serve_two_daemons() as (entry, serving):
                address = serving.upstream.address
                serving.proxy.set_upstream(address, 10, 12, draining=True)
                refused = await entry.call(make_request("/write"))
                self.assertEqual((refused.verdict, refused.reason), ("NOT_RUN", "draining"))
                self.assertEqual(serving.upstream.counts.total, 0)
                serving.proxy.set_upstream(address, 10, 12)
                self.assertEqual((await entry.call(make_request("/write"))).status, 200)

        trio.run(run)

    def test_a_stop_under_load_cuts_off_no_answer_and_sends_no_false_not_run(self) -> None:
        async def run() -> None:
            answers: dict[str, object] = {}

            async def call(daemon, number: int) -> None:
                await trio.sleep(0.003 * number)
                headers = {"X-Request-Id": str(number)}
                target = f"/write?delay_ms={number % 20}&size={(number % 5) * 50_000}"
                answers[str(number)] = await daemon.call(make_request(target, headers=headers))

            settings = CallSettings(MESH_KEY, drain_announce_s=0.05)
            async with serve_daemon(slots=3, settings=settings) as daemon:
                async with trio.open_nursery() as nursery:
                    for number in range(100):
                        nursery.start_soon(call, daemon, number)
                    await trio.sleep(0.1)
                    daemon.proxy.begin_draining()
                ran = daemon.upstream.counts.executed
            for request_id, answer in answers.items():
                self.assertTrue(answer.complete, request_id)
                reported_verdict = answer.verdict or "RAN"
                self.assertEqual(
                    reported_verdict, "RAN" if request_id in ran else "NOT_RUN", request_id
                )
            verdicts = {answer.verdict for answer in answers.values()}
            self.assertEqual(verdicts, {"", "NOT_RUN"})

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
