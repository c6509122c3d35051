"""What is run is what a caller has framed; a request that nobody framed is never run."""

from __future__ import annotations

import os
import random
import unittest
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._caller_messages import CallerDisconnectedError
from fulmarstile_daemon.services._request_reader import RequestReader
from fulmarstile_http.request_checks import MalformedRequestError
from fulmarstile_services.document import RequestLimits

if TYPE_CHECKING:
    from collections.abc import Sequence

CASES: Final = int(os.environ.get("FRAMING_CASES", "3000"))
OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQ\r\n"
SMUGGLED = b"POST /smuggled HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
FAULTS: Final = (
    b"Content-Length: 3\r\nContent-Length: 4\r\n",
    b"Content-Length: 3\r\nContent-Length: 3\r\n",
    b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"Transfer-Encoding: xchunked\r\n",
    b"Content-Length : 3\r\n",
    b"Content-Length: +3\r\n",
    b"Content-Length: 3 3\r\n",
    b"X-A: a\r\n Content-Length: 3\r\n",
    b"X-A: a\nContent-Length: 3\r\n",
    b"X-A: a\rContent-Length: 3\r\n",
)
"""Headers of which two parsers might take different bodies."""


@dataclass(frozen=True)
class Framed:
    """A request as its caller framed it."""

    method: bytes
    target: bytes
    body: bytes


class ByteParts:
    """Stream that delivers given parts, then ends.

    Args:
        parts: The parts.
    """

    def __init__(self, parts: Sequence[bytes]) -> None:
        self._parts = list(parts)

    async def receive(self, size: int = 0) -> bytes:
        """Returns the next part; none at the end."""
        await trio.lowlevel.checkpoint()
        return self._parts.pop(0) if self._parts else b""

    async def send_all(self, data: bytes) -> None:
        """Accepts what the reader sends itself."""
        await trio.lowlevel.checkpoint()


def make_request(rng: random.Random) -> tuple[Framed, bytes]:
    """Makes a valid request and its bytes."""
    method = rng.choice((b"GET", b"POST", b"PUT", b"DELETE"))
    target = b"/%d" % rng.randrange(1_000)
    body = rng.choice((b"", b"x" * rng.randrange(1, 200), SMUGGLED, b"0\r\n\r\n" + SMUGGLED))
    written = rng.choice((target, target, b"http://a" + target))
    blanks = rng.choice((b"", b"", b" ", b"\t "))
    head = b"%b %b HTTP/1.1\r\nHost: a%b\r\n" % (method, written, blanks)
    headers = [OFFER] if rng.random() < 0.5 else []
    if not body and method == b"GET":
        framing, content = b"", b""
    elif rng.random() < 0.5:
        framing, content = b"Content-Length: %d%b\r\n" % (len(body), blanks), body
    else:
        framing, content = b"Transfer-Encoding: chunked\r\n", encode_chunks(rng, body)
    headers.append(framing)
    rng.shuffle(headers)
    # Some callers send empty lines behind a request.
    content += rng.choice((b"", b"", b"\r\n", b"\r\n\r\n"))
    return Framed(method, target, body), head + b"".join(headers) + b"\r\n" + content


def encode_chunks(rng: random.Random, body: bytes) -> bytes:
    """Encodes a body in chunks of random sizes."""
    encoded = b""
    while body:
        size = rng.randrange(1, len(body) + 1)
        encoded += b"%x\r\n%b\r\n" % (size, body[:size])
        body = body[size:]
    return encoded + b"0\r\n\r\n"


def cut(rng: random.Random, data: bytes) -> list[bytes]:
    """Cuts bytes into random parts, at times into single bytes."""
    if rng.random() < 0.2:
        return [data[index : index + 1] for index in range(len(data))]
    places = sorted(rng.randrange(1, len(data)) for _ in range(rng.randrange(6)))
    edges = [0, *places, len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False) if a < b]


async def read_all(parts: Sequence[bytes]) -> tuple[list[Framed], bool]:
    """Reads requests until the connection ends or one closes it.

    Returns:
        The requests, and whether one was refused.
    """
    reader = RequestReader(ByteParts(parts), RequestLimits, ByteBudget(1 << 24))
    requests: list[Framed] = []
    while True:
        try:
            exchange = await reader.receive()
        except MalformedRequestError:
            return requests, True
        except CallerDisconnectedError:
            return requests, False
        if exchange is None or exchange.request is None:
            return requests, False
        request = exchange.request
        requests.append(Framed(request.method, request.target, request.body))
        if not exchange.keeps_alive:
            return requests, False


class RequestFramingTest(unittest.TestCase):
    def test_the_body_of_a_request_that_offers_an_upgrade_is_part_of_it(self) -> None:
        head = b"POST /a HTTP/1.1\r\nHost: a\r\n" + OFFER
        data = head + b"Content-Length: %d\r\n\r\n" % len(SMUGGLED) + SMUGGLED
        requests, _ = trio.run(read_all, [data])
        self.assertEqual(requests, [Framed(b"POST", b"/a", SMUGGLED)])

    def test_a_request_for_a_tunnel_is_refused(self) -> None:
        data = b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n" + SMUGGLED
        self.assertEqual(trio.run(read_all, [data]), ([], True))

    def test_random_requests_are_read_as_they_were_framed(self) -> None:
        async def run() -> None:
            for seed in range(CASES):
                rng = random.Random(seed)
                made = [make_request(rng) for _ in range(rng.randrange(1, 4))]
                parts = cut(rng, b"".join(data for _, data in made))
                requests, is_refused = await read_all(parts)
                self.assertEqual(requests, [framed for framed, _ in made], f"seed {seed}")
                self.assertFalse(is_refused, f"seed {seed}")

        trio.run(run)

    def test_ambiguous_framing_is_refused_and_nothing_behind_it_is_read(self) -> None:
        async def run() -> None:
            for seed in range(CASES):
                rng = random.Random(seed)
                first, data = make_request(rng)
                head = b"POST /bad HTTP/1.1\r\nHost: a\r\n" + rng.choice(FAULTS)
                offer = OFFER if rng.random() < 0.5 else b""
                bad = head + offer + b"\r\n" + rng.choice((b"abc", b"3\r\nabc\r\n0\r\n\r\n"))
                requests, is_refused = await read_all(cut(rng, data + bad + SMUGGLED))
                self.assertEqual(requests, [first], f"seed {seed}")
                self.assertTrue(is_refused, f"seed {seed}")

        trio.run(run)
