"""What arrived of an answer that failed is not kept."""

from __future__ import annotations

import gc
import tracemalloc
import unittest

import trio

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._exchange import Exchange, ResponseTooLargeError
from fulmarstile_http.response_parser import ResponseParser

ANSWER_BYTES = 2_000_000
KEPT_BYTES = 100_000
"""Bound of what may stay allocated, in bytes; far less than the answers."""
PART = 50_000
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % ANSWER_BYTES
CONNECTIONS = 20


class PartialAnswer:
    """Connection on which parts of a body arrive."""

    async def receive_body(self) -> bytes:
        return bytes(PART)

    def abort(self) -> None:
        """Does nothing."""


class FailedAnswersTest(unittest.TestCase):
    def setUp(self) -> None:
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    def test_the_error_of_an_answer_that_is_too_large_does_not_keep_it(self) -> None:
        budget = ByteBudget(2 * ANSWER_BYTES)
        exchange = Exchange(PartialAnswer(), b"GET", b"/", [], b"", budget)

        async def run() -> int:
            try:
                await exchange._receive_body()
            except ResponseTooLargeError:
                # The error is being handled, as while a crash of the upstream is checked for.
                return tracemalloc.get_traced_memory()[0]
            return ANSWER_BYTES

        self.assertLessEqual(trio.run(run), KEPT_BYTES)

    def test_connections_that_end_within_an_answer_keep_nothing_of_it(self) -> None:
        for _ in range(CONNECTIONS):
            parser = ResponseParser(32 * 1024)
            parser.feed(HEAD + bytes(PART))
            parser.release()
        del parser
        self.assertLessEqual(tracemalloc.get_traced_memory()[0], KEPT_BYTES)


if __name__ == "__main__":
    unittest.main()
