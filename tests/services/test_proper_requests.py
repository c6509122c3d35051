"""Requests in every form that HTTP/1.1 allows reach their route, in whatever pieces they arrive.

Guards against statuses 3xx and 4xx of the daemon itself for requests that the document allows.
"""

from __future__ import annotations

import dataclasses
import re
import unittest
from typing import TYPE_CHECKING

import trio

from fulmarstile_services.document import RequestLimits
from fulmarstile_testing.builders.service_mesh import connect, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route

if TYPE_CHECKING:
    from fulmarstile_services.document import ServiceDocument

REST = b"request-id: r-1\r\ntime-left-ms: 2000\r\n"
REQUEST = b"GET /a/b HTTP/1.1\r\nhost: shop.example\r\n" + REST + b"\r\n"
TARGET = ("/a/b?c=d", b"shop.example")
PIECE_GAP_S = 0.02
"""Time between two pieces, so that they are read one by one, in seconds."""
TIMEOUT_S = 3.0
DOCUMENT = make_document(make_route(prefix="/a/"))


def make_request(
    first: bytes = b"GET /a/b HTTP/1.1", host: bytes = b"host: shop.example", more: bytes = b""
) -> bytes:
    return first + b"\r\n" + host + b"\r\n" + REST + more + b"\r\n"


async def send(address: str, pieces: list[bytes], count: int) -> list[int]:
    """Sends pieces on one connection and returns the statuses of the answers."""
    received = b""
    async with await connect(address) as stream:
        for piece in pieces:
            await stream.send_all(piece)
            await trio.sleep(PIECE_GAP_S)
        with trio.move_on_after(TIMEOUT_S):
            while len(statuses := re.findall(rb"HTTP/1\.1 (\d+) ", received)) < count:
                data = await stream.receive_some(65_536)
                if not data:
                    break
                received += data
    return [int(status) for status in statuses]


class ProperRequestTest(unittest.TestCase):
    def check(
        self, *cases: list[bytes], count: int = 1, document: ServiceDocument = DOCUMENT
    ) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=document) as mesh:
                for pieces in cases:
                    with self.subTest([piece[-80:] for piece in pieces]):
                        statuses = await send(mesh.nodes[0].address, pieces, count)
                        self.assertEqual(statuses, [200] * count)

        trio.run(run)

    def test_blanks_behind_a_header_are_not_part_of_its_value(self) -> None:
        self.check(
            [make_request(host=b"host: shop.example  ")],
            [make_request(host=b"host:\tshop.example\t ")],
            [
                make_request(b"POST /a/b HTTP/1.1", more=b"transfer-encoding: chunked \r\n"),
                b"2\r\nxx\r\n0\r\n\r\n",
            ],
        )

    def test_a_head_as_large_as_the_limit_is_accepted_in_whatever_pieces_it_arrives(self) -> None:
        limit = 1_000
        document = dataclasses.replace(DOCUMENT, limits=RequestLimits(head_bytes=limit))
        size = limit + len(b"\r\n\r\n") - len(make_request(more=b"x-a: \r\n"))
        whole = make_request(more=b"x-a: " + b"a" * size + b"\r\n")
        cuts = (4, 3, 2, 1)
        self.check([whole], *([whole[:-cut], whole[-cut:]] for cut in cuts), document=document)

    def test_empty_lines_before_a_request_are_ignored(self) -> None:
        line = b"\r\n"
        self.check([line + REQUEST], [line, REQUEST], [b"\r", b"\n", REQUEST], [line * 2 + REQUEST])

    def test_an_empty_line_behind_a_body_is_not_part_of_the_next_request(self) -> None:
        more = b"content-length: 2\r\n"
        post = make_request(b"POST /a/b HTTP/1.1", more=more) + b"xx\r\n"
        self.check(
            [post + REQUEST],
            [post, REQUEST],
            [post[:-2], post[-2:], REQUEST],
            [post[:-1], post[-1:] + REQUEST],
            count=2,
        )

    def test_a_target_in_absolute_form_selects_the_route_by_its_host_and_path(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                (node,) = mesh.nodes
                for scheme, host in ((b"http", b"a.example"), (b"HTTP", b"shop.example")):
                    request = make_request(
                        b"GET %b://shop.example/a/b?c=d HTTP/1.1" % scheme, b"host: " + host
                    )
                    self.assertEqual(await send(node.address, [request], 1), [200])
                    seen = node.upstream.record.requests[-1]
                    self.assertEqual((seen.target, seen.headers[b"host"]), TARGET)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
