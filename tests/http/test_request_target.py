"""A target in absolute form is replaced by its path, and the header by its host."""

from __future__ import annotations

import unittest

from fulmarstile_http.messages import RequestHead
from fulmarstile_http.request_checks import MalformedRequestError
from fulmarstile_http.request_target import use_origin_form


def make_head(target: bytes) -> RequestHead:
    return RequestHead(b"GET", target, [(b"Host", b"other"), (b"X-A", b"1")])


class RequestTargetTest(unittest.TestCase):
    def test_an_absolute_target_is_replaced_by_its_path_and_query(self) -> None:
        for target, host, path in (
            (b"http://a.example/a/b?c=d", b"a.example", b"/a/b?c=d"),
            (b"HTTPS://A.example:8080//a/%2F", b"A.example:8080", b"//a/%2F"),
            (b"http://a.example", b"a.example", b"/"),
            (b"http://a.example?c=http://b/", b"a.example", b"/?c=http://b/"),
            (b"http://[::1]:80/a", b"[::1]:80", b"/a"),
        ):
            with self.subTest(target):
                head = use_origin_form(make_head(target))
                self.assertEqual(head.target, path)
                self.assertEqual(head.headers, [(b"Host", host), (b"X-A", b"1")])

    def test_the_host_of_the_target_is_added_to_a_request_without_one(self) -> None:
        head = RequestHead(b"GET", b"http://a.example/b", [(b"X-A", b"1")], b"1.0")
        used = use_origin_form(head)
        self.assertEqual(used.headers, [(b"Host", b"a.example"), (b"X-A", b"1")])
        self.assertEqual(used.http_version, b"1.0")

    def test_other_targets_are_unchanged(self) -> None:
        for target in (b"/", b"//a/b", b"/http://a/b", b"*", b"ftp://a/b"):
            head = make_head(target)
            self.assertIs(use_origin_form(head), head)

    def test_an_absolute_target_without_a_plain_host_is_malformed(self) -> None:
        for target in (b"http://", b"http:///a", b"http://user@a.example/"):
            with self.subTest(target), self.assertRaises(MalformedRequestError):
                use_origin_form(make_head(target))


if __name__ == "__main__":
    unittest.main()
