"""The small HTTP server answers requests, refuses bad ones and keeps serving afterwards."""

from __future__ import annotations

import random
import unittest
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from http import HTTPStatus
from typing import TYPE_CHECKING

import trio

from fulmarstile_platform.http import open_http_client
from fulmarstile_platform.http_server import (
    MAX_BODY_BYTES,
    MAX_CONNECTIONS,
    HttpAnswer,
    HttpListenError,
    HttpProblemError,
    HttpRequest,
    encode_answer,
    listen_http,
    serve_http,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


RANDOM_REQUESTS = 200


async def echo(request: HttpRequest) -> HttpAnswer:
    if request.path == "/problem":
        raise HttpProblemError(HTTPStatus.CONFLICT, "no")
    if request.path == "/fault":
        raise TypeError("a fault")
    return encode_answer({"path": request.path, "query": request.query, "size": len(request.body)})


@asynccontextmanager
async def open_server(max_connections: int = MAX_CONNECTIONS) -> AsyncIterator[str]:
    listeners = await listen_http("127.0.0.1:0")
    port = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_http, listeners, echo, max_connections)
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()


def mutate(rng: random.Random) -> bytes:
    """Makes a request of which some bytes are replaced, removed or repeated."""
    head = b"POST //a[b]:1/%41?x=%zz&y HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
    data = bytearray(head + b"Transfer-Encoding: chunked\r\n" * rng.randrange(2) + b"\r\nabc")
    for _ in range(rng.randrange(1, 6)):
        at = rng.randrange(len(data))
        change = rng.choice((b"", b"[", b"%", b"\x00", b"\xff", b"\r\n", b":", bytes(data[:at])))
        data[at : at + rng.randrange(3)] = change
    return bytes(data)


async def send_raw(address: str, data: bytes) -> bytes:
    host, _, port = address.rpartition(":")
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        await stream.send_all(data)
        return await stream.receive_some(4096)


MALFORMED_TARGETS = (b"//[", b"http://[::1", b"//[v1.x]:a/", b"/%zz?%=&&=", b"//a:99999999/", b"*")


class HttpServerTest(unittest.TestCase):
    def test_a_malformed_target_does_not_end_the_server(self) -> None:
        async def run() -> None:
            async with open_server() as address, open_http_client(address) as client:
                for target in MALFORMED_TARGETS:
                    await send_raw(address, b"GET " + target + b" HTTP/1.1\r\nHost: a\r\n\r\n")
                answer = await send_raw(address, b"GET //[ HTTP/1.1\r\nHost: a\r\n\r\n")
                self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer)
                self.assertEqual((await client.request("GET", "/a")).status, HTTPStatus.OK)

        trio.run(run)

    def test_random_bytes_do_not_end_the_server(self) -> None:
        async def run() -> None:
            async with open_server() as address, open_http_client(address) as client:
                for seed in range(RANDOM_REQUESTS):
                    data = mutate(random.Random(seed))
                    with suppress(trio.BrokenResourceError), trio.move_on_after(0.05):
                        await send_raw(address, data)
                answer = await client.request("GET", "/a")
                self.assertEqual(answer.status, HTTPStatus.OK)

        trio.run(run)

    def test_path_query_and_body_reach_the_handler(self) -> None:
        async def run() -> None:
            async with open_server() as address, open_http_client(address) as client:
                answer = await client.request("PUT", "/a%20b?x=1", b"12345")
                self.assertEqual(answer.body, b'{"path":"/a b","query":{"x":"1"},"size":5}')

        trio.run(run)

    def test_an_http_problem_is_answered_with_its_status_and_reason(self) -> None:
        async def run() -> None:
            async with open_server() as address, open_http_client(address) as client:
                answer = await client.request("GET", "/problem")
                self.assertEqual((answer.status, answer.body), (409, b'{"error":"no"}'))

        trio.run(run)

    def test_an_exception_in_the_handler_is_answered_with_500_and_serving_continues(self) -> None:
        async def run() -> None:
            async with open_server() as address, open_http_client(address) as client:
                answer = await client.request("GET", "/fault")
                self.assertEqual(answer.status, 500)
                self.assertEqual((await client.request("GET", "/")).status, 200)

        trio.run(run)

    def test_malformed_and_oversize_requests_are_refused_and_serving_continues(self) -> None:
        async def run() -> None:
            async with open_server() as address, open_http_client(address) as client:
                self.assertIn(b" 400 ", await send_raw(address, b"NOT HTTP\r\n\r\n"))
                head = b"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
                oversize = head % (MAX_BODY_BYTES + 1) + bytes(MAX_BODY_BYTES + 1)
                self.assertIn(b" 413 ", await send_raw(address, oversize))
                self.assertEqual((await client.request("GET", "/")).status, 200)

        trio.run(run)

    def test_kept_connections_do_not_keep_a_new_one_from_being_served(self) -> None:
        async def ask(stream: trio.SocketStream) -> bytes:
            await stream.send_all(b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n")
            return await stream.receive_some(4096)

        async def run() -> None:
            async with open_server(max_connections=3) as address, AsyncExitStack() as stack:
                host, _, port = address.rpartition(":")
                streams = []
                for _ in range(8):
                    stream = await trio.open_tcp_stream(host, int(port))
                    streams.append(await stack.enter_async_context(stream))
                    with trio.fail_after(2.0):
                        self.assertIn(b" 200 ", await ask(stream))
                    if len(streams) > 1:
                        # The one used last is not the one that makes room.
                        self.assertIn(b" 200 ", await ask(streams[-2]))
                self.assertEqual(await streams[0].receive_some(), b"")

        trio.run(run)

    def test_listening_at_an_address_in_use_is_an_error_that_names_it(self) -> None:
        async def run() -> None:
            async with open_server() as address:
                with self.assertRaisesRegex(HttpListenError, f"cannot listen at {address}"):
                    await listen_http(address)

        trio.run(run)
