"""Responses are parsed completely and separately, however their bytes are split on arrival."""

from __future__ import annotations

import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fulmarstile_http.messages import ResponseHead, encode_chunk, encode_response
from fulmarstile_http.response_parser import MalformedResponseError, ResponseEnd, ResponseParser

PLAIN = encode_response(200, [(b"content-length", b"5"), (b"x-id", b"a")]) + b"hello"
CHUNKED = (
    encode_response(200, [(b"transfer-encoding", b"chunked")])
    + encode_chunk(b"hel")
    + encode_chunk(b"lo")
    + encode_chunk(b"")
)
UNFRAMED = encode_response(200, [(b"x-id", b"a")]) + b"hello"


def read_all(parser: ResponseParser) -> list[tuple[int, bytes]]:
    """Returns the complete responses that have arrived, as status and body."""
    responses: list[tuple[int, bytes]] = []
    status, body = 0, b""
    while (event := parser.next_event()) is not None:
        if isinstance(event, ResponseHead):
            status, body = event.status, b""
        elif isinstance(event, ResponseEnd):
            responses.append((status, body))
        else:
            body += event
    return responses


class ResponseParsingTest(unittest.TestCase):
    @given(st.sampled_from((PLAIN, CHUNKED)), st.integers(1, 60))
    def test_pieces_of_any_size_make_the_same_response(self, data: bytes, size: int) -> None:
        parser = ResponseParser(64 * 1024)
        for start in range(0, len(data), size):
            parser.feed(data[start : start + size])
        self.assertEqual(read_all(parser), [(200, b"hello")])
        self.assertTrue(parser.is_between_responses)
        self.assertTrue(parser.keeps_alive)

    def test_a_second_response_is_parsed_separately(self) -> None:
        parser = ResponseParser(64 * 1024)
        parser.feed(PLAIN + CHUNKED)
        self.assertEqual(read_all(parser), [(200, b"hello"), (200, b"hello")])

    def test_the_start_of_a_second_response_is_detected(self) -> None:
        parser = ResponseParser(64 * 1024)
        parser.feed(PLAIN + b"HTTP/1.1 2")
        self.assertEqual(read_all(parser), [(200, b"hello")])
        self.assertFalse(parser.is_between_responses)

    def test_garbage_after_a_response_does_not_affect_it(self) -> None:
        parser = ResponseParser(64 * 1024)
        parser.feed(PLAIN + b"\x00garbage")
        event_count = sum(1 for _ in range(3) if parser.next_event() is not None)
        self.assertEqual(event_count, 3)
        self.assertFalse(parser.is_between_responses)
        with self.assertRaises(MalformedResponseError):
            parser.next_event()

    def test_blanks_around_a_header_value_are_not_part_of_it(self) -> None:
        parser = ResponseParser(64 * 1024)
        parser.feed(b"HTTP/1.1 200 OK\r\nx-id:\t 7 8 \t\r\ncontent-length: 0 \r\n\r\n")
        head = parser.next_event()
        self.assertIsInstance(head, ResponseHead)
        self.assertEqual(head.headers[0], (b"x-id", b"7 8"))

    def test_a_response_with_connection_close_ends_keep_alive(self) -> None:
        parser = ResponseParser(64 * 1024)
        parser.feed(encode_response(200, [(b"content-length", b"0"), (b"connection", b"close")]))
        self.assertEqual(read_all(parser), [(200, b"")])
        self.assertFalse(parser.keeps_alive)

    def test_interim_responses_come_before_the_final_one(self) -> None:
        parser = ResponseParser(64 * 1024)
        parser.feed(b"HTTP/1.1 100 Continue\r\n\r\n" + PLAIN)
        first = parser.next_event()
        self.assertIsInstance(first, ResponseHead)
        self.assertEqual(read_all(parser), [(200, b"hello")])
        self.assertTrue(parser.is_between_responses)

    def test_a_response_without_a_length_ends_with_its_connection(self) -> None:
        parser = ResponseParser(64 * 1024)
        parser.feed(UNFRAMED)
        self.assertEqual(read_all(parser), [])
        parser.feed(b"")
        self.assertFalse(parser.keeps_alive)
        self.assertIsInstance(parser.next_event(), ResponseEnd)

    @given(st.sampled_from((PLAIN, CHUNKED)), st.data())
    def test_a_response_that_is_cut_off_is_never_whole(self, whole: bytes, data: st.DataObject):
        cut = data.draw(st.integers(0, len(whole) - 1))
        parser = ResponseParser(64 * 1024)
        if cut:
            parser.feed(whole[:cut])
        parser.feed(b"")
        with self.assertRaises(MalformedResponseError):
            read_all(parser)

    def test_a_response_that_is_cut_off_in_its_head_is_never_whole(self) -> None:
        heads = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nSeal: s\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nSeal: s\r\nConnection: close\r\n\r\n",
            b"HTTP/1.1 204 No Content\r\nSeal: s\r\n\r\n",
            b"HTTP/1.0 200 OK\nSeal: s\n\n",
        )
        earlier = (b"", b"HTTP/1.1 100 Continue\r\n\r\n", PLAIN)
        for head, before in itertools.product(heads, earlier):
            for cut in range(1, len(head)):
                with self.subTest(head=head, before=before, cut=cut):
                    parser = ResponseParser(64 * 1024)
                    parser.feed(before)
                    parser.feed(head[:cut])
                    parser.feed(b"")
                    events = []
                    with self.assertRaises(MalformedResponseError):
                        while (event := parser.next_event()) is not None:
                            events.append(event)
                    ends = sum(isinstance(event, ResponseEnd) for event in events)
                    self.assertEqual(ends, int(before == PLAIN))

    @given(st.binary(min_size=1, max_size=200))
    def test_arbitrary_bytes_raise_nothing_else(self, data: bytes) -> None:
        parser = ResponseParser(64 * 1024)
        parser.feed(data)
        parser.feed(b"")
        try:
            read_all(parser)
        except MalformedResponseError:
            return

    def test_a_response_to_head_has_no_body_although_it_has_a_content_length(self) -> None:
        parser = ResponseParser(64 * 1024)
        parser.has_body = False
        parser.feed(encode_response(200, [(b"content-length", b"5")]))
        self.assertEqual(read_all(parser), [(200, b"")])
        self.assertFalse(parser.keeps_alive)

    def test_an_endless_head_is_refused(self) -> None:
        parser = ResponseParser(1024)
        parser.feed(b"HTTP/1.1 200 OK\r\nx-id: " + b"a" * 2048)
        with self.assertRaises(MalformedResponseError):
            parser.next_event()

    def test_a_content_length_with_chunked_encoding_is_refused(self) -> None:
        parser = ResponseParser(64 * 1024)
        head = [(b"content-length", b"5"), (b"transfer-encoding", b"chunked")]
        parser.feed(encode_response(200, head))
        with self.assertRaises(MalformedResponseError):
            read_all(parser)

    def test_input_without_progress_is_limited_like_a_head(self) -> None:
        chunked = encode_response(200, [(b"transfer-encoding", b"chunked")])
        endless = {
            "trailers": (chunked + b"0\r\n", b"x-id: a\r\n"),
            "one trailer": (chunked + b"0\r\nx-id: ", b"a" * 50),
            "a chunk extension": (chunked + b"5;", b"a" * 50),
            "extensions of chunks": (chunked, b"1;%b\r\nx\r\n" % (b"a" * 50)),
            "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        }
        for name, (first, more) in endless.items():
            with self.subTest(name):
                parser = ResponseParser(1024)
                parser.feed(first + more)
                fed = 0
                with self.assertRaises(MalformedResponseError):
                    while fed < 10_000:
                        read_all(parser)
                        parser.feed(more)
                        fed += len(more)

    def test_a_long_body_in_small_chunks_is_received_completely(self) -> None:
        parser = ResponseParser(1024)
        parser.feed(encode_response(200, [(b"transfer-encoding", b"chunked")]))
        for _ in range(5_000):
            parser.feed(encode_chunk(b"x"))
        parser.feed(encode_chunk(b""))
        self.assertEqual(read_all(parser), [(200, b"x" * 5_000)])

    @given(st.sampled_from((PLAIN, CHUNKED, UNFRAMED)), st.data())
    def test_mutated_responses_raise_nothing_else_and_hold_no_more_than_they_had(
        self, whole: bytes, data: st.DataObject
    ) -> None:
        mutated = bytearray(whole + PLAIN)
        for _ in range(data.draw(st.integers(1, 4))):
            mutated[data.draw(st.integers(0, len(mutated) - 1))] = data.draw(st.integers(0, 255))
        parser = ResponseParser(64 * 1024)
        position = 0
        size = 0
        try:
            while position < len(mutated):
                cut = position + data.draw(st.integers(1, len(mutated)))
                parser.feed(bytes(mutated[position:cut]))
                position = cut
                size += sum(len(body) for _, body in read_all(parser))
            parser.feed(b"")
            read_all(parser)
        except MalformedResponseError:
            pass
        self.assertLessEqual(size, len(mutated))
