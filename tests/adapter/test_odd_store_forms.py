"""Answers of the store count whatever their form on the wire, and only if they are whole."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

from fulmarstile_adapter.store import open_store_client
from fulmarstile_platform.keyed_log import KeyedRecord
from fulmarstile_platform.log import LogError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fulmarstile_adapter.store import StoreClient

TOPIC = "keyed.test"
CONTENT = b"\x03keyvalue"
RECORD = len(CONTENT).to_bytes(4, "big") + CONTENT
HEAD_END = b"\r\n\r\n"


def make_body(end_offset: int, records: bytes = b"") -> bytes:
    return end_offset.to_bytes(8, "big") + bytes(8) + records


def encode_plain(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def encode_closing(body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body)
    return head + body


def encode_chunked(body: bytes) -> bytes:
    chunks = b"".join(b"1\r\n%b\r\n" % body[at : at + 1] for at in range(len(body)))
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def encode_until_close(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\n\r\n" + body


CLOSING_FORMS = (encode_closing, encode_until_close)
FORMS = (encode_plain, encode_chunked, *CLOSING_FORMS)


@asynccontextmanager
async def serve_answer(answer: bytes, *, closes: bool) -> AsyncIterator[StoreClient]:
    """Opens a client of a store that answers each call with the same bytes."""

    async def handle(stream: trio.SocketStream) -> None:
        received = b""
        async for data in stream:
            received += data
            if HEAD_END in received:
                received = b""
                await stream.send_all(answer)
                if closes:
                    await stream.aclose()
                    return

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, handle, listeners)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        async with open_store_client(address) as client:
            yield client
        nursery.cancel_scope.cancel()


class OddFormsTest(unittest.TestCase):
    def test_records_are_read_from_answers_of_any_form(self) -> None:
        async def run() -> None:
            for encode in FORMS:
                answer = encode(make_body(8, RECORD))
                with self.subTest(encode.__name__):
                    async with serve_answer(answer, closes=encode in CLOSING_FORMS) as client:
                        for _ in range(3):
                            page = await client.read_keyed(TOPIC, 7, 1.0)
                            self.assertEqual(page.records, (KeyedRecord("key", b"value"),))
                            self.assertEqual((page.next_offset, page.has_more), (8, False))

        trio.run(run)

    def test_an_answer_without_a_record_whose_end_is_beyond_says_that_there_is_more(self) -> None:
        async def run() -> None:
            for body in (make_body(8), make_body(8, RECORD[:-1])):
                async with serve_answer(encode_plain(body), closes=False) as client:
                    page = await client.read_keyed(TOPIC, 7, 1.0)
                    self.assertEqual((page.records, page.next_offset, page.has_more), ((), 7, True))

        trio.run(run)

    def test_an_answer_that_is_too_short_does_not_count_as_one_without_news(self) -> None:
        async def run() -> None:
            for body in (b"", make_body(8)[:15]):
                with self.subTest(body):
                    async with serve_answer(encode_plain(body), closes=False) as client:
                        with self.assertRaises(LogError):
                            await client.read_keyed(TOPIC, 7, 1.0)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
