"""An answer that came before the end of its request's body isn't lost when the daemon ends."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, cast

import trio

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._exchange import Exchange
from fulmarstile_http.messages import RequestHead, ResponseHead

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._exchange import UpstreamResponse
    from fulmarstile_http.client_connection import ClientConnection

BODY = b"x" * 1_000_000


class EarlyUpstream:
    """Connection to an upstream that answers before it has read the body."""

    idle_limit_s = 0.0

    def __init__(self, on_stop_sending: Callable[[], None]) -> None:
        self._on_stop_sending = on_stop_sending
        self._parts = [b"answer", None]

    async def send_request(self, head: RequestHead, body: bytes, is_last: bool) -> None:
        try:
            await trio.sleep_forever()
        finally:
            self._on_stop_sending()

    async def receive_response(self) -> ResponseHead:
        await trio.lowlevel.checkpoint()
        return ResponseHead(200, [])

    async def receive_body(self) -> bytes | None:
        await trio.lowlevel.checkpoint()
        return self._parts.pop(0)

    def abort(self) -> None:
        raise AssertionError("the answer was aborted")


class EarlyAnswerTest(unittest.TestCase):
    def test_a_whole_answer_is_not_lost_while_the_sending_of_the_body_stops(self) -> None:
        responses: list[UpstreamResponse] = []

        async def run() -> None:
            with trio.CancelScope() as scope:

                def end_daemon() -> None:
                    if not exchange.is_answering():
                        scope.cancel()

                connection = cast("ClientConnection", EarlyUpstream(end_daemon))
                exchange = Exchange(connection, b"POST", b"/a", [], BODY, ByteBudget(1 << 20))
                responses.append(await exchange.run())

        trio.run(run)
        self.assertEqual([response.body for response in responses], [b"answer"])


if __name__ == "__main__":
    unittest.main()
