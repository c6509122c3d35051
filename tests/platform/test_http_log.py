"""The HTTP client of the log, against the log stand-in on loopback."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager

import msgspec
import trio

from fulmarstile_platform import (
    HttpClient,
    HttpClientSettings,
    HttpError,
    HttpLog,
    HttpLogSettings,
    LogRefusedError,
    LogUnavailableError,
    open_http_client,
    open_http_log,
)
from fulmarstile_testing.log_stand_in import serve_log
from fulmarstile_wire.verdict import Verdict

SETTINGS = HttpLogSettings(append_timeout_s=30.0, read_timeout_s=30.0)


@asynccontextmanager
async def running_log():
    async with trio.open_nursery() as nursery:
        address = await nursery.start(serve_log, "127.0.0.1:0")
        async with open_http_log(address, SETTINGS) as log, open_http_client(address) as client:
            yield log, client
        nursery.cancel_scope.cancel()


async def switch(client: HttpClient, **changes: object) -> None:
    response = await client.request("PUT", "/__stand_in/switches", msgspec.json.encode(changes))
    assert response.status == 200, response.body


class HttpLogTest(unittest.TestCase):
    """Reads, appends and the verdicts of their failures."""

    def test_records_are_read_back_starting_at_an_offset(self):
        async def scenario():
            async with running_log() as (log, _):
                offsets = [await log.append("config.a", bytes([n, 255])) for n in range(5)]
                page = await log.read("config.a", 3)
                other = await log.read("unknown/stream", 0)
                return offsets, page, other

        offsets, page, other = trio.run(scenario)
        self.assertEqual(offsets, [0, 1, 2, 3, 4])
        self.assertEqual([r.payload for r in page.records], [b"\x03\xff", b"\x04\xff"])
        self.assertEqual((page.first_offset, page.end_offset), (0, 5))
        self.assertEqual((other.records, other.end_offset), ((), 0))

    def test_long_poll_returns_on_append(self):
        async def scenario():
            async with running_log() as (log, _), trio.open_nursery() as nursery:
                pages = []

                async def read():
                    pages.append(await log.read("s", 0, wait_s=600.0))

                nursery.start_soon(read)
                await trio.sleep(0.05)
                await log.append("s", b"x")
            return pages

        self.assertEqual([r.payload for r in trio.run(scenario)[0].records], [b"x"])

    def test_append_whose_answer_is_lost_may_have_run_and_took_effect(self):
        async def scenario():
            async with running_log() as (log, client):
                await log.append("s", b"first")
                await switch(client, lose_next_answers=1)
                with self.assertRaises(LogUnavailableError) as caught:
                    await log.append("s", b"second")
                return caught.exception.verdict, await log.read("s", 0)

        verdict, page = trio.run(scenario)
        self.assertIs(verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual([r.payload for r in page.records], [b"first", b"second"])

    def test_outage_interrupts_long_polls_and_loses_no_records(self):
        async def scenario():
            async with running_log() as (log, client):
                await log.append("s", b"kept")

                async def read():
                    with self.assertRaises(LogUnavailableError):
                        await log.read("s", 1, wait_s=600.0)

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(read)
                    await trio.sleep(0.05)
                    await switch(client, outage=True)
                await switch(client, outage=False)
                return await log.read("s", 0)

        self.assertEqual(len(trio.run(scenario).records), 1)

    def test_refused_connection_is_not_run(self):
        async def scenario():
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            await listeners[0].aclose()
            await HttpLog(f"127.0.0.1:{port}").append("s", b"x")

        with self.assertRaises(LogUnavailableError) as caught:
            trio.run(scenario)
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)

    def test_overload_and_bad_request_raise_different_errors_and_are_not_run(self):
        async def scenario():
            async with running_log() as (log, client):
                await switch(client, max_appends_per_s=0)
                with self.assertRaises(LogUnavailableError) as overloaded:
                    await log.append("s", b"x")
                with self.assertRaises(LogRefusedError):
                    await log.read("s", -1)
                return overloaded.exception.verdict

        self.assertIs(trio.run(scenario), Verdict.NOT_RUN)

    def test_stream_that_the_log_has_lost_has_an_end_below_the_requested_offset(self):
        async def scenario():
            async with running_log() as (log, client):
                await log.append("s", b"x")
                await client.request("POST", "/__stand_in/forget")
                return await log.read("s", 1, wait_s=600.0)

        self.assertEqual(trio.run(scenario).end_offset, 0)


class HttpClientTest(unittest.TestCase):
    """Faulty servers: silent, slow, or closing connections."""

    def test_silent_server_times_out_as_may_have_run(self):
        async def scenario():
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, lambda _: trio.sleep_forever(), listeners)
                client = HttpClient(f"127.0.0.1:{port}")
                with self.assertRaises(HttpError) as caught:
                    await client.request("GET", "/", timeout_s=0.05)
                nursery.cancel_scope.cancel()
                return caught.exception.verdict

        self.assertIs(trio.run(scenario), Verdict.MAY_HAVE_RUN)

    def test_body_that_arrives_slowly_has_its_own_timeout(self):
        async def answer_slowly(stream):
            await stream.receive_some(65536)
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{")
            await trio.sleep(0.3)
            await stream.send_all(b"}")

        async def scenario():
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, answer_slowly, listeners)
                async with open_http_client(f"127.0.0.1:{port}") as client:
                    with self.assertRaises(HttpError):
                        await client.request("GET", "/", timeout_s=0.1)
                    response = await client.request("GET", "/", timeout_s=0.1, body_timeout_s=5.0)
                nursery.cancel_scope.cancel()
                return response.body

        self.assertEqual(trio.run(scenario), b"{}")

    def test_connection_closed_by_the_server_is_replaced_before_the_next_request(self):
        closed = trio.Event()

        async def answer_once(stream):
            await stream.receive_some(65536)
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            await stream.aclose()
            closed.set()

        async def scenario():
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, answer_once, listeners)
                settings = HttpClientSettings(max_connections=1)
                statuses = []
                async with open_http_client(f"127.0.0.1:{port}", settings) as client:
                    for _ in range(2):
                        statuses.append((await client.request("GET", "/")).status)
                        await closed.wait()
                nursery.cancel_scope.cancel()
                return statuses

        self.assertEqual(trio.run(scenario), [200, 200])
