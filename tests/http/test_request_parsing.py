"""Requests that another HTTP parser might interpret differently are refused."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fulmarstile_http.headers import read_headers
from fulmarstile_http.messages import RequestHead, encode_chunk, encode_request
from fulmarstile_http.request_checks import MalformedRequestError, check_head, check_line_ends
from fulmarstile_http.request_parser import RequestParser

HOST = (b"Host", b"a.example")
FRAMING_LIMIT = 4_096
"""Largest input beside a body, in bytes."""


def parse_head(head: bytes) -> RequestHead:
    check_line_ends(head[:-2])
    parsed = RequestParser().parse_complete_head(head)
    check_head(parsed)
    return parsed


class RequestParsingTest(unittest.TestCase):
    def test_a_request_head_is_parsed(self) -> None:
        head = parse_head(b"GET /a/b?c=d HTTP/1.1\r\nHost: a.example\r\nX-Id: 7\r\n\r\n")
        self.assertEqual((head.method, head.target), (b"GET", b"/a/b?c=d"))
        self.assertEqual(read_headers(head.headers).get(b"x-id"), "7")

    def test_blanks_around_a_header_value_are_not_part_of_it(self) -> None:
        head = parse_head(b"GET / HTTP/1.1\r\nHost: a.example \t\r\nX-Id:\t 7 8 \r\n\r\n")
        headers = read_headers(head.headers)
        self.assertEqual((headers.get(b"host"), headers.get(b"x-id")), ("a.example", "7 8"))

    def test_a_chunked_body_is_decoded_without_framing_and_trailers(self) -> None:
        parser = RequestParser()
        head = RequestHead(b"POST", b"/", [HOST, (b"Transfer-Encoding", b"chunked")])
        parser.parse_complete_head(encode_request(head))
        parser.feed_body(encode_chunk(b"abc") + encode_chunk(b"de") + b"0\r\nx-id: 9\r\n\r\n")
        self.assertTrue(parser.is_complete)
        self.assertEqual(b"".join(parser.pop_body_parts()), b"abcde")

    def test_a_pipelined_request_after_a_chunked_body_is_detected_and_not_added_to_it(self) -> None:
        parser = RequestParser()
        head = RequestHead(b"POST", b"/", [HOST, (b"Transfer-Encoding", b"chunked")])
        parser.parse_complete_head(encode_request(head))
        parser.feed_body(encode_chunk(b"abc") + encode_chunk(b"") + b"POST / HTTP/1.1\r\n")
        self.assertTrue(parser.has_pipelined_bytes)
        self.assertEqual(b"".join(parser.pop_body_parts()), b"abc")

    def test_trailers_and_chunk_extensions_without_end_are_refused(self) -> None:
        head = RequestHead(b"POST", b"/", [HOST, (b"Transfer-Encoding", b"chunked")])
        for name, first, more in (
            ("one trailer", b"0\r\nx-a: ", b"a" * 1_000),
            ("many trailers", b"0\r\n", b"x-a: 1\r\n" * 100),
            ("chunk extension", b"5;", b"a" * 1_000),
        ):
            parser = RequestParser(FRAMING_LIMIT)
            parser.parse_complete_head(encode_request(head))
            parser.feed_body(encode_chunk(b"abc") + first)
            with self.subTest(name), self.assertRaises(MalformedRequestError):
                for _ in range(FRAMING_LIMIT // len(more) + 1):
                    parser.feed_body(more)

    def test_chunks_of_one_byte_and_trailers_within_the_limit_are_accepted(self) -> None:
        parser = RequestParser(FRAMING_LIMIT)
        head = RequestHead(b"POST", b"/", [HOST, (b"Transfer-Encoding", b"chunked")])
        parser.parse_complete_head(encode_request(head))
        for _ in range(FRAMING_LIMIT):
            parser.feed_body(encode_chunk(b"a"))
        parser.feed_body(b"0\r\n" + b"x-a: 1\r\n" * (FRAMING_LIMIT // 10) + b"\r\n")
        self.assertTrue(parser.is_complete)
        self.assertEqual(b"".join(parser.pop_body_parts()), b"a" * FRAMING_LIMIT)

    def test_a_request_for_a_protocol_upgrade_is_treated_as_an_ordinary_one(self) -> None:
        parser = RequestParser()
        headers = [HOST, (b"Connection", b"upgrade"), (b"Upgrade", b"h2c")]
        parser.parse_complete_head(encode_request(RequestHead(b"GET", b"/", headers)))
        self.assertTrue(parser.is_complete)

    def test_requests_that_two_parsers_might_interpret_differently_are_refused(self) -> None:
        for name, head in (
            ("two lengths", b"Content-Length: 3\r\nContent-Length: 4\r\n"),
            ("length and chunks", b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
            ("unknown encoding", b"Transfer-Encoding: gzip, chunked\r\n"),
            ("space before the colon", b"Content-Length : 3\r\n"),
            ("continued line", b"X-Id: a\r\n b\r\n"),
            ("bare line feed", b"X-Id: a\nX-Other: b\r\n"),
            ("negative length", b"Content-Length: -1\r\n"),
            ("control character", b"X-Id: a\x00b\r\n"),
            ("two hosts", b"Host: b.example\r\n"),
        ):
            with self.subTest(name), self.assertRaises(MalformedRequestError):
                parse_head(b"POST / HTTP/1.1\r\nHost: a.example\r\n" + head + b"\r\n")

    def test_an_unknown_method_is_told_from_a_malformed_request(self) -> None:
        for method, status in (
            (b"FROB", 501),
            (b"get", 501),
            (b"X-1~!", 501),
            (b"G\x00T", 400),
            (b"\x16\x03\x01", 400),
            (b"G(T", 400),
        ):
            with self.subTest(method), self.assertRaises(MalformedRequestError) as caught:
                parse_head(method + b" / HTTP/1.1\r\nHost: a.example\r\n\r\n")
            self.assertEqual(caught.exception.status, status, method)

    def test_a_request_without_a_host_is_refused(self) -> None:
        with self.assertRaises(MalformedRequestError):
            parse_head(b"GET / HTTP/1.1\r\n\r\n")

    def test_targets_with_characters_other_than_visible_ascii_are_refused(self) -> None:
        for target in (b"/a b", b"/a\x7f", b"/\xc3\xa4", b"/a\tb"):
            with self.subTest(target), self.assertRaises(MalformedRequestError):
                parse_head(b"GET " + target + b" HTTP/1.1\r\nHost: a.example\r\n\r\n")

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_nothing_else(self, data: bytes) -> None:
        try:
            parse_head(data + b"\r\n\r\n")
        except MalformedRequestError:
            return
