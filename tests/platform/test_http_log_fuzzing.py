"""Whatever a faulty log answers, its client returns a page or raises a `LogError`."""

from __future__ import annotations

import unittest

import msgspec
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarstile_platform import HttpLogSettings, LogError, LogPage, open_http_log
from fulmarstile_platform.http_log import ReadResponse, RecordBody
from fulmarstile_wire.verdict import Verdict

FUZZING = settings(max_examples=60, deadline=None, derandomize=True)
SETTINGS = HttpLogSettings(append_timeout_s=10.0, read_timeout_s=10.0)
GOOD_BODY = msgspec.json.encode(ReadResponse((RecordBody(0, b"x", 1),), 0, 1))

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(["records", "offset", "payload", "first_offset", "end_offset"]), inner
    ),
    max_leaves=8,
)


def respond(body: bytes, status: int = 200) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def ask(answer: bytes) -> tuple[LogPage | LogError, int | LogError]:
    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some(65536)
            await stream.send_all(answer)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        async with open_http_log(f"127.0.0.1:{port}", SETTINGS) as log:
            try:
                page = await log.read("s", 0)
            except LogError as error:
                page = error
            try:
                offset = await log.append("s", b"x")
            except LogError as error:
                offset = error
        nursery.cancel_scope.cancel()
    return page, offset


class HttpLogFuzzingTest(unittest.TestCase):
    """Answers of arbitrary bytes, of the wrong structure and truncated ones."""

    def check(self, answer: bytes) -> None:
        page, offset = trio.run(ask, answer)
        self.assertIsInstance(page, LogPage | LogError)
        self.assertIsInstance(offset, int | LogError)
        if isinstance(offset, LogError) and not answer.startswith(b"HTTP/1.1 4"):
            self.assertIs(offset.verdict, Verdict.MAY_HAVE_RUN)

    @FUZZING
    @given(st.binary(max_size=60), st.sampled_from([b"", b"HTTP/1.1 200 OK\r\n"]))
    def test_arbitrary_bytes(self, noise, start):
        self.check(start + noise)

    @FUZZING
    @given(json_values, st.sampled_from([200, 204, 400, 429, 500, 999]))
    def test_json_of_the_wrong_shape(self, value, status):
        self.check(respond(msgspec.json.encode(value), status))

    @FUZZING
    @given(st.integers(0, len(respond(GOOD_BODY))))
    def test_answers_cut_short(self, length):
        answer = respond(GOOD_BODY)[:length]
        page, _ = trio.run(ask, answer)
        self.assertEqual(isinstance(page, LogPage), length == len(respond(GOOD_BODY)))
