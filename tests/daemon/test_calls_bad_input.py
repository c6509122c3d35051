"""Malformed, too large and slow requests get a clear refusal and never reach an upstream."""

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

POST = b"POST / HTTP/1.1\r\nHost: x\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
LAST_CHUNK = b"\r\n0\r\n\r\n"

MALFORMED = {
    "conflicting lengths": POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "listed lengths": POST + b"Content-Length: 1, 2\r\n\r\nab",
    "length and chunked": POST + b"Content-Length: 3\r\n" + CHUNKED + LAST_CHUNK,
    "chunked and length": POST + CHUNKED + b"Content-Length: 3\r\n" + LAST_CHUNK,
    "chunked twice": POST + CHUNKED + CHUNKED + LAST_CHUNK,
    "unknown coding": POST + b"Transfer-Encoding: xchunked\r\n" + LAST_CHUNK,
    "chunked in HTTP/1.0": b"POST / HTTP/1.0\r\nHost: x\r\n" + CHUNKED + LAST_CHUNK,
    "odd chunk size": POST + CHUNKED + b"\r\n0x1\r\na\r\n0\r\n\r\n",
    "chunk longer than its size": POST + CHUNKED + b"\r\n1\r\nab\r\n0\r\n\r\n",
    "chunk size ended by a bare LF": POST + CHUNKED + b"\r\n1\na\r\n0\r\n\r\n",
    "negative length": POST + b"Content-Length: -1\r\n\r\n",
    "signed length": POST + b"Content-Length: +1\r\n\r\na",
    "continued header": b"GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n",
    "bare LF": b"GET / HTTP/1.1\nHost: x\r\n\r\n",
    "bare LF throughout": b"GET / HTTP/1.1\nHost: x\n\n",
    "bare CR": b"GET / HTTP/1.1\r\nHost: x\r\nA: b\rc\r\n\r\n",
    "space before colon": b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length : 3\r\n\r\n",
    "no host": b"GET / HTTP/1.1\r\n\r\n",
    "two hosts": b"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
    "NUL in a value": b"GET / HTTP/1.1\r\nHost: x\r\nA: \0\r\n\r\n",
    "other protocol": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    "no request line": b"hello\r\n\r\n",
    "dot segments": b"GET /slots/../charge HTTP/1.1\r\nHost: x\r\n\r\n",
    "encoded dot segments": b"GET /slots/%2E%2e/charge HTTP/1.1\r\nHost: x\r\n\r\n",
    "tunnel": b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n",
}


class BadInputTest(unittest.TestCase):
    def test_malformed_requests_are_refused_as_not_run_and_the_connection_closed(self) -> None:
        async def run() -> None:
            async with serve_daemon() as daemon:
                for name, data in MALFORMED.items():
                    with self.subTest(name):
                        caller = await daemon.connect()
                        await caller.send(data + make_request("/smuggled"))
                        answer = await caller.receive()
                        self.assertIn(answer.status, (400, 501))
                        self.assertEqual((answer.verdict, answer.complete), ("NOT_RUN", True))
                        self.assertEqual(answer.reason, "bad-request")
                        self.assertTrue(await caller.is_closed_by_proxy())
                self.assertEqual(daemon.upstream.counts.total, 0)
                self.assertEqual(daemon.proxy.counters.errors, 0)

        trio.run(run)

    def test_a_body_that_turns_malformed_after_the_head_was_sent_is_not_reported_as_not_run(
        self,
    ) -> None:
        async def run() -> None:
            async with serve_two_daemons() as (entry, serving):
                for daemon in (serving, entry):
                    caller = await daemon.connect()
                    chunk = b"\r\n30000\r\n" + b"x" * 0x30000 + b"\r\n"
                    await caller.send(POST + CHUNKED + chunk)
                    while not serving.upstream.counts.running:
                        await trio.sleep(0.002)
                    await caller.send(b"no chunk\r\n")
                    answer = await caller.receive("POST")
                    self.assertEqual((answer.status, answer.reason), (400, "bad-request"))
                    self.assertEqual(answer.verdict, "MAY_HAVE_RUN")
                    await serving.upstream.wait_idle()
                self.assertEqual(serving.upstream.counts.cancelled, 2)

        trio.run(run)

    def test_an_oversize_head_is_refused(self) -> None:
        async def run() -> None:
            async with serve_daemon() as daemon:
                for size in (40_000, 300_000):
                    answer = await daemon.call(make_request(headers={"A": "x" * size}))
                    self.assertEqual((answer.status, answer.verdict), (431, "NOT_RUN"))
                self.assertEqual(daemon.upstream.counts.total, 0)

        trio.run(run)

    def test_a_head_that_arrives_too_slowly_is_refused(self) -> None:
        async def run() -> None:
            settings = CallSettings(MESH_KEY, head_timeout_s=0.05)
            async with serve_daemon(settings=settings) as daemon:
                caller = await daemon.connect()
                await caller.send(b"GET / HTTP/1.1\r\nHost: x\r\n")
                answer = await caller.receive()
                self.assertEqual((answer.status, answer.verdict), (408, "NOT_RUN"))
                self.assertTrue(await caller.is_closed_by_proxy())

        trio.run(run)

    def test_a_body_that_arrives_too_slowly_holds_no_slot_and_is_refused(self) -> None:
        async def run() -> None:
            async with serve_daemon(slots=1) as daemon:
                slow = await daemon.connect()
                head = make_request("/short", "POST", headers={"Content-Length": "10"})
                await slow.send(head + b"abc")
                other = await daemon.call(make_request())
                self.assertEqual(other.status, 200)
                answer = await slow.receive()
                self.assertEqual((answer.status, answer.verdict), (504, "NOT_RUN"))
                self.assertEqual(daemon.upstream.counts.total, 1)

        trio.run(run)

    def test_idle_connections_beyond_the_limit_are_evicted_for_new_callers(self) -> None:
        async def run() -> None:
            settings = CallSettings(MESH_KEY, connection_limit=50)
            async with serve_daemon(settings=settings) as daemon:
                idle = [await daemon.connect() for _ in range(200)]
                answer = await daemon.call(make_request())
                self.assertEqual(answer.status, 200)
                self.assertLessEqual(daemon.proxy.dump().caller_connections, 51)
                for caller in idle:
                    await caller.close()

        trio.run(run)

    def test_connections_with_an_incomplete_head_are_evicted_for_new_callers(self) -> None:
        async def run() -> None:
            settings = CallSettings(MESH_KEY, connection_limit=20)
            async with serve_daemon(settings=settings) as daemon:
                for _ in range(40):
                    await (await daemon.connect()).send(b"GET / HTTP/1.1\r\nHo")
                self.assertEqual((await daemon.call(make_request())).status, 200)

        trio.run(run)

    def test_a_caller_is_refused_while_all_connections_are_busy(self) -> None:
        async def run() -> None:
            settings = CallSettings(MESH_KEY, connection_limit=2)
            async with serve_daemon(settings=settings) as daemon:
                for _ in range(2):
                    caller = await daemon.connect()
                    await caller.send(make_request("/slots?delay_ms=100000"))
                while daemon.upstream.counts.running < 2:
                    await trio.sleep(0.002)
                answer = await daemon.call(make_request())
                self.assertEqual((answer.status, answer.verdict), (503, "NOT_RUN"))
                self.assertEqual(answer.reason, "overloaded")

        trio.run(run)

    def test_daemon_headers_sent_by_callers_are_ignored(self) -> None:
        async def run() -> None:
            headers = {
                "Fulmarstile-Hop": "daemon-2 00000000000000000000000000000000",
                "Fulmarstile-Service": "wallet",
                "Fulmarstile-Priority": "0",
            }
            async with serve_daemon() as daemon:
                answer = await daemon.call(make_request("/slots", headers=headers))
                self.assertEqual(answer.status, 200)
                self.assertEqual(daemon.proxy.counters.forwarded_calls, 0)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
