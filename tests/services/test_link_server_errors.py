"""An error on one connection from another daemon ends neither the daemon nor other connections."""

from __future__ import annotations

import itertools
import random
import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_calls.request import RefusalReason
from fulmarstile_testing.builders.link_servers import (
    answer_call,
    make_hop_call,
    make_link_server,
    open_link,
    serve_links,
)
from fulmarstile_wire.loads import LoadRequest
from fulmarstile_wire.services import (
    PROTOCOL_VERSION,
    BodyGrant,
    BodyOffer,
    Hello,
    HopAnswer,
    HopCancel,
    HopOutcome,
    HopWithdraw,
    LinkMessage,
    PeerCall,
    SyncAnswer,
    SyncCall,
    SyncReply,
    SyncRequest,
)
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

SYNC = SyncRequest("client", b"digest")
DURATION_S = 5.0
SEQUENCES = 60
MAX_MESSAGES = 25
LAST_ID = 99


class HandlerFailedError(Exception):
    """A handler failed."""


def fail(*_: object) -> object:
    """Fails as a handler with a fault does."""
    raise HandlerFailedError


def fail_from_second_call(function: Callable[..., object]) -> Callable[..., object]:
    """Makes a function that fails after its first call."""
    calls = itertools.count()

    def call(*arguments: object) -> object:
        return function(*arguments) if next(calls) == 0 else fail()

    return call


async def fail_call(*_: object) -> HopAnswer:
    """Fails as the handler of a forwarded request with a fault does."""
    raise HandlerFailedError


async def work_long(*_: object) -> HopAnswer:
    """Works on a forwarded request until it is cancelled."""
    await trio.sleep_forever()
    raise AssertionError("unreachable")


class LinkServerErrorTest(unittest.TestCase):
    def test_a_failing_synchronization_ends_no_request_of_its_connection(self) -> None:
        self.check_request_survives(
            SyncCall(1, SYNC), make_link_server(self.wait_for_release, handle_sync=fail)
        )

    def test_a_failing_query_ends_no_request_of_its_connection(self) -> None:
        server = make_link_server(self.wait_for_release, handlers={LoadRequest: fail})
        self.check_request_survives(PeerCall(1, LoadRequest("shop")), server)

    def test_a_failing_offer_ends_no_request_of_its_connection(self) -> None:
        server = make_link_server(self.wait_for_release)
        server._rate_wait_s = fail
        self.check_request_survives(BodyOffer(1, 100_000, 5_000), server)

    def test_a_failing_cancellation_ends_no_request_of_its_connection(self) -> None:
        server = make_link_server(self.wait_for_release)
        server._body_admission.release = fail_from_second_call(server._body_admission.release)
        self.check_request_survives(HopCancel(1), server)

    def test_a_request_that_cannot_be_accepted_is_answered_at_once(self) -> None:
        async def run() -> None:
            server = make_link_server()
            server._body_admission.release = fail_from_second_call(server._body_admission.release)
            async with serve_links(server) as address, open_link(address) as client:
                with trio.fail_after(DURATION_S):
                    await client.send(make_hop_call(1))
                    self.assertEqual((await client.receive()).status, 200)
                    await client.send(make_hop_call(2))
                    answer = await client.receive()
                self.assertEqual((answer.call_id, answer.status), (2, 0))
                self.assertEqual(answer.outcome.verdict, Verdict.NOT_RUN)

        with self.assertLogs("fulmarstile_daemon.services._link_server", "ERROR"):
            trio.run(run)

    async def wait_for_release(self, call, deadline, progress):
        await self.released.wait()
        return await answer_call(call, deadline, progress)

    def check_request_survives(self, failing: LinkMessage, server) -> None:
        async def run() -> None:
            self.released = trio.Event()
            async with serve_links(server) as address, open_link(address) as client:
                await client.send(make_hop_call(7, b"body"), failing)
                await trio.testing.wait_all_tasks_blocked(0.05)
                self.released.set()
                with trio.fail_after(DURATION_S):
                    answer = await client.receive()
                self.assertEqual((answer.call_id, answer.body), (7, b"body"))

        with self.assertLogs("fulmarstile_daemon.services._link_server", "ERROR"):
            trio.run(run)

    def test_a_call_id_that_is_used_twice_ends_only_its_connection(self) -> None:
        async def run() -> None:
            async with (
                serve_links(make_link_server(work_long)) as address,
                open_link(address) as client,
                open_link(address) as other,
            ):
                await client.send(make_hop_call(1), make_hop_call(1), HopCancel(1))
                with trio.fail_after(DURATION_S), self.assertRaises(EOFError):
                    await client.receive()
                await other.send(SyncCall(3, SYNC))
                with trio.fail_after(DURATION_S):
                    self.assertEqual((await other.receive()).call_id, 3)

        trio.run(run)

    def test_a_request_whose_handling_fails_is_answered_at_once(self) -> None:
        async def run() -> None:
            async with (
                serve_links(make_link_server(fail_call)) as address,
                open_link(address) as client,
            ):
                await client.send(make_hop_call(1))
                with trio.fail_after(DURATION_S):
                    answer = await client.receive()
                self.assertEqual((answer.call_id, answer.status), (1, 0))
                self.assertEqual(answer.outcome.verdict, Verdict.NOT_RUN)
                self.assertEqual(answer.outcome.reason, RefusalReason.CONNECTION_LOST.value)

        with self.assertLogs("fulmarstile_daemon.services._link_server", "ERROR"):
            trio.run(run)

    def test_no_sequence_of_messages_ends_the_server_or_another_connection(self) -> None:
        async def handle(call, deadline, progress):
            if call.body == b"fail":
                raise HandlerFailedError
            if call.body == b"begin":
                progress.try_begin()
            progress.on_withdrawn = lambda: None
            await trio.sleep(0.002 * (call.hop.priority % 4))
            return await answer_call(call, deadline, progress)

        def handle_sync(request: SyncRequest) -> SyncReply:
            if request.document_version == 1:
                raise HandlerFailedError
            return SyncReply("server", b"digest")

        async def run() -> None:
            async with (
                serve_links(make_link_server(handle, handle_sync)) as address,
                open_link(address) as other,
            ):
                for seed in range(SEQUENCES):
                    with self.subTest(seed=seed), trio.fail_after(DURATION_S):
                        await play_sequence(address, random.Random(seed))
                        await other.send(SyncCall(seed, SYNC))
                        self.assertEqual((await other.receive()).call_id, seed)

        with self.assertLogs("fulmarstile_daemon.services._link_server", "ERROR"):
            trio.run(run)


async def play_sequence(address: str, rng: random.Random) -> None:
    """Sends messages until all are handled or the server closes the connection."""
    async with open_link(address) as client:
        try:
            await client.send(*make_sequence(rng), SyncCall(LAST_ID, SYNC))
            while (await client.receive()).call_id != LAST_ID:
                pass
        except (EOFError, trio.BrokenResourceError):
            return


def make_sequence(rng: random.Random) -> list[LinkMessage]:
    """Makes valid messages in an order that no daemon sends."""
    return [make_message(rng, rng.randrange(3)) for _ in range(rng.randrange(1, MAX_MESSAGES))]


def make_message(rng: random.Random, call_id: int) -> LinkMessage:
    """Makes any message."""
    body = rng.choice((b"", b"fail", b"begin"))
    messages = (
        make_hop_call(call_id, body, priority=rng.randrange(9)),
        make_hop_call(call_id, body, remaining_ms=rng.choice((0, -5, 1, 1 << 62))),
        HopCancel(call_id),
        HopWithdraw(call_id),
        BodyOffer(call_id, rng.choice((-1, 0, 1 << 40)), rng.choice((-1, 0, 5_000))),
        BodyGrant(call_id),
        HopAnswer(call_id, HopOutcome(Verdict.RAN), 200),
        SyncCall(call_id, SyncRequest("client", b"digest", rng.randrange(2))),
        SyncAnswer(call_id, SyncReply("client", b"digest")),
        PeerCall(call_id, LoadRequest("shop")),
        Hello(PROTOCOL_VERSION, "client"),
    )
    return rng.choice(messages)


if __name__ == "__main__":
    unittest.main()
