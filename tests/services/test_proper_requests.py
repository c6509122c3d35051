"""Requests in every form that HTTP/1.1 allows reach their route, in whatever pieces they arrive.

Guards against statuses 3xx and 4xx of the daemon itself for requests that the document allows.
"""

from __future__ import annotations

import re
import unittest
from typing import TYPE_CHECKING

import trio

from fulmarstile_testing.builders.service_mesh import connect, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route

if TYPE_CHECKING:
    from fulmarstile_services.document import ServiceDocument

REST = b"request-id: r-1\r\ntime-left-ms: 2000\r\n"
REQUEST = b"GET /a/b HTTP/1.1\r\nhost: shop.example\r\n" + REST + b"\r\n"
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


if __name__ == "__main__":
    unittest.main()
