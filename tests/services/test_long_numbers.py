"""A number with hundreds of digits in a header closes no connection without an answer."""

from __future__ import annotations

import unittest
from contextlib import suppress
from unittest import mock

import trio

from fulmarstile_testing.builders.service_mesh import ServiceClient, connect, serve_mesh
from fulmarstile_testing.service_upstream import ServiceUpstream

LENGTHS = (400, 5_000)
"""Digits of a number that `float` does not hold, and of one that `int` does not parse."""


class LongNumberTest(unittest.TestCase):
    def test_a_caller_with_a_long_time_limit_is_answered(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                for length in LENGTHS:
                    async with ServiceClient(await connect(mesh.nodes[0].address)) as client:
                        await client.stream.send_all(
                            b"GET /a HTTP/1.1\r\nhost: shop.example\r\nrequest-id: r\r\n"
                            b"time-left-ms: %b\r\n\r\n" % (b"9" * length)
                        )
                        received = b""
                        with suppress(trio.BrokenResourceError):
                            received = await client.stream.receive_some()
                        self.assertIn(b" 200 ", received)

        trio.run(run)

    def test_an_upstream_with_a_long_keep_alive_timeout_is_passed_on(self) -> None:
        make_headers = ServiceUpstream._make_headers
        for length in LENGTHS:
            extra = (b"keep-alive", b"timeout=" + b"9" * length)

            async def run(extra: tuple[bytes, bytes] = extra) -> None:
                with mock.patch.object(
                    ServiceUpstream,
                    "_make_headers",
                    lambda *arguments: [*make_headers(*arguments), extra],
                ):
                    async with serve_mesh("shop") as mesh:
                        self.assertEqual((await mesh.nodes[0].call("/a")).status, 200)

            with self.subTest(length):
                trio.run(run)


if __name__ == "__main__":
    unittest.main()
