"""A message between daemons that is dropped to free memory fails only the call it belongs to."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._links import DaemonLinks
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_testing.builders.link_servers import (
    LinkClient,
    answer_call,
    make_hop_call,
    make_link_server,
    open_link,
    serve_links,
)
from fulmarstile_testing.builders.services import make_member
from fulmarstile_wire.services import Hello, HopAnswer, HopCall, HopOutcome, encode_frame
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._call import AttemptResult

BUDGET_BYTES = 1_000_000
LARGE_BODY = b"x" * 450_000
"""Fits the limit of one message, which is half of the budget."""
OVERSIZE_BODY = b"x" * 600_000
"""Of a daemon with more memory: larger than one message may be here."""
PART_BYTES = 300_000
ANSWERS_BYTES = 450_000
SMALLER_BYTES = 280_000
TIMEOUT_S = 5.0
LARGE_CALL = 1_000
SMALL_CALL = 7


def fill(budget: ByteBudget) -> None:
    """Takes the memory that is free, as complete answers do."""
    budget.open().grow(BUDGET_BYTES - budget.used_bytes)


def take_from_largest(budget: ByteBudget) -> None:
    """Takes memory for a smaller message, for which the largest one is aborted."""
    budget.open().grow(ANSWERS_BYTES)
    assert budget.open().try_grow(SMALLER_BYTES)


class DroppedCallTest(unittest.TestCase):
    """A daemon receives a forwarded request that its memory doesn't allow."""

    def test_a_request_that_is_aborted_for_others_is_refused_alone(self) -> None:
        self.check(LARGE_BODY, take_from_largest)

    def test_a_request_for_which_no_memory_is_left_is_refused_alone(self) -> None:
        self.check(LARGE_BODY, fill)

    def test_a_request_that_is_larger_than_a_message_may_be_is_refused_alone(self) -> None:
        self.check(OVERSIZE_BODY, lambda _: None)

    def check(self, body: bytes, use_memory: Callable[[ByteBudget], None]) -> None:
        budget = ByteBudget(BUDGET_BYTES)
        released = trio.Event()
        handled = []

        async def handle(call, deadline, progress):
            handled.append(call.call_id)
            await released.wait()
            return await answer_call(call, deadline, progress)

        async def run() -> None:
            server = make_link_server(handle, budget=budget)
            async with serve_links(server) as address, open_link(address) as client:
                await client.send(make_hop_call(SMALL_CALL))
                data = encode_frame(make_hop_call(LARGE_CALL, body))
                await client.stream.send_all(data[:PART_BYTES])
                await trio.testing.wait_all_tasks_blocked(0.05)
                self.assertLessEqual(budget.used_bytes, BUDGET_BYTES)
                use_memory(budget)
                await client.stream.send_all(data[PART_BYTES:])
                answer = await client.receive()
                self.assertEqual(answer.call_id, LARGE_CALL)
                self.assertEqual(answer.outcome.verdict, Verdict.NOT_RUN)
                self.assertEqual(answer.outcome.reason, RefusalReason.OVERLOADED.value)
                self.assertLessEqual(budget.used_bytes, BUDGET_BYTES)
                released.set()
                answer = await client.receive()
                self.assertEqual((answer.call_id, answer.status), (SMALL_CALL, 200))

        async def run_in_time() -> None:
            with trio.fail_after(TIMEOUT_S):
                await run()

        trio.run(run_in_time)
        self.assertEqual(handled, [SMALL_CALL])


class DroppedAnswerTest(unittest.TestCase):
    """A daemon receives an answer to a forwarded request that its memory doesn't allow."""

    def test_an_answer_that_is_aborted_for_others_is_lost_alone(self) -> None:
        self.check(LARGE_BODY, take_from_largest)

    def test_an_answer_for_which_no_memory_is_left_is_lost_alone(self) -> None:
        self.check(LARGE_BODY, fill)

    def test_an_answer_that_is_larger_than_a_message_may_be_is_lost_alone(self) -> None:
        self.check(OVERSIZE_BODY, lambda _: None)

    def check(self, body: bytes, use_memory: Callable[[ByteBudget], None]) -> None:
        budget = ByteBudget(BUDGET_BYTES)
        results: dict[str, AttemptResult] = {}

        async def run() -> None:
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
            links = DaemonLinks("entry", budget)

            async def forward(name: str) -> None:
                request = ReceivedRequest(b"POST", name.encode(), MessageHeaders(), b"", 0.0)
                results[name] = await links.forward(
                    make_member("other", address=address),
                    make_hop_call(1).hop,
                    request,
                    AttemptProgress(),
                )

            async with listener, trio.open_nursery() as nursery:
                await nursery.start(links.run)
                async with trio.open_nursery() as calls:
                    calls.start_soon(forward, "large")
                    calls.start_soon(forward, "small")
                    peer = LinkClient(await listener.accept())
                    self.assertIsInstance(await peer.receive(), Hello)
                    ids = [await receive_call(peer) for _ in range(2)]
                    by_name = {call.target: call.call_id for call in ids}
                    data = encode_frame(
                        HopAnswer(by_name[b"large"], HopOutcome(Verdict.RAN), 200, [], body)
                    )
                    await peer.stream.send_all(data[:PART_BYTES])
                    await trio.testing.wait_all_tasks_blocked(0.05)
                    self.assertLessEqual(budget.used_bytes, BUDGET_BYTES)
                    use_memory(budget)
                    await peer.stream.send_all(data[PART_BYTES:])
                    await peer.send(HopAnswer(by_name[b"small"], HopOutcome(Verdict.RAN), 200))
                nursery.cancel_scope.cancel()
            await peer.stream.aclose()

        async def run_in_time() -> None:
            with trio.fail_after(TIMEOUT_S):
                await run()

        trio.run(run_in_time)
        self.assertLessEqual(budget.used_bytes, BUDGET_BYTES)
        self.assertTrue(results["small"].response is not None, results["small"].outcome)
        self.assertTrue(results["large"].response is None)
        outcome = results["large"].outcome
        self.assertEqual(outcome.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(outcome.reason, RefusalReason.ANSWER_TOO_LARGE.value)


async def receive_call(peer: LinkClient) -> HopCall:
    """Receives a forwarded request as the other daemon."""
    message = await peer.receive()
    assert isinstance(message, HopCall)
    return message


if __name__ == "__main__":
    unittest.main()
