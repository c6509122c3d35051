"""The small HTTP server answers requests, refuses bad ones and keeps serving afterwards."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import TYPE_CHECKING

import trio

from fulmarstile_platform.http import open_http_client
from fulmarstile_platform.http_server import (
    MAX_BODY_BYTES,
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


async def echo(request: HttpRequest) -> HttpAnswer:
    if request.path == "/problem":
        raise HttpProblemError(HTTPStatus.CONFLICT, "no")
    if request.path == "/fault":
        raise TypeError("a fault")
    return encode_answer({"path": request.path, "query": request.query, "size": len(request.body)})


@asynccontextmanager
async def open_server() -> AsyncIterator[str]:
    listeners = await listen_http("127.0.0.1:0")
    port = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_http, listeners, echo)
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()


async def send_raw(address: str, data: bytes) -> bytes:
    host, _, port = address.rpartition(":")
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        await stream.send_all(data)
        return await stream.receive_some(4096)


class HttpServerTest(unittest.TestCase):
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

    def test_listening_at_an_address_in_use_is_an_error_that_names_it(self) -> None:
        async def run() -> None:
            async with open_server() as address:
                with self.assertRaisesRegex(HttpListenError, f"cannot listen at {address}"):
                    await listen_http(address)

        trio.run(run)
