"""The admin API shows the state of the core and rejects invalid requests."""

from __future__ import annotations

import unittest
from http import HTTPStatus
from typing import Any

import msgspec
import trio

from fulmarstile_calls.upstream_lease import UpstreamAnnouncement, UpstreamLease
from fulmarstile_config import (
    Publication,
    SectionChange,
    encode_record,
    generate_key_pair,
    sign_publication,
)
from fulmarstile_daemon.admin import AdminApi
from fulmarstile_platform.http_server import HttpProblemError, HttpRequest
from fulmarstile_platform.log import LogPage, LogRecord
from fulmarstile_testing.builders.daemon_core import build_core
from fulmarstile_wire.admin import ConvergenceView, CustomerView, MemberView, VerdictView

OWNER = generate_key_pair()

SERVICES = "services:\n  - name: planning\n"


class FakeContext:
    def __init__(self) -> None:
        self.core = build_core({"laundry": OWNER.public_key})
        self.now = 5.0
        self.lease = UpstreamLease()

    def announce_upstream(self, announcement: UpstreamAnnouncement) -> None:
        self.lease.on_announcement(announcement, self.now)

    def withdraw_upstream(self) -> None:
        self.lease.on_withdrawal(self.now)

    def dump_state(self) -> Any:
        return {"state": "whole"}

    def render_metrics(self) -> bytes:
        return b"metrics 1\n"


def build_record(publication_id: str, body: str) -> bytes:
    change = SectionChange("services", 0, body)
    unsigned = Publication(publication_id, "laundry", "owner", (change,))
    return encode_record(sign_publication(unsigned, OWNER.private_key))


class AdminTest(unittest.TestCase):
    def setUp(self) -> None:
        self.context = FakeContext()
        self.api = AdminApi(self.context)
        payloads = (build_record("first", SERVICES), build_record("bad", "services: 1\n"))
        records = tuple(LogRecord(n, payload, 1000) for n, payload in enumerate(payloads))
        page = LogPage(records, 0, len(records))
        for now in (0.0, 3.5, 4.0):
            self.context.core.on_tick(now)
        self.context.core.on_log_page("config.laundry", page, 4.0)
        self.context.core.on_tick(4.5)

    def request(self, path: str, method: str = "GET", body: bytes = b"", **query: str) -> bytes:
        answer = trio.run(self.api.handle, HttpRequest(method, path, query, body))
        assert answer is not None
        return answer.body

    def assert_problem(
        self, status: HTTPStatus, path: str, method: str = "GET", **request_args: Any
    ) -> str:
        with self.assertRaises(HttpProblemError) as caught:
            self.request(path, method, **request_args)
        self.assertEqual(caught.exception.status, status)
        return str(caught.exception)

    def test_a_customer_is_shown_with_version_sequence_and_sections(self) -> None:
        body = self.request("/v1/customers/laundry")
        view = msgspec.json.decode(body, type=CustomerView)
        self.assertEqual((view.version, view.sequence, view.next_offset), (1, 2, 2))
        self.assertEqual(view.sections["services"].publication_id, "first")

    def test_each_verdict_is_shown_with_its_refusal(self) -> None:
        body = self.request("/v1/customers/laundry/publications/bad")
        verdict = msgspec.json.decode(body, type=VerdictView)
        assert verdict.refusal is not None
        self.assertEqual((verdict.accepted, verdict.refusal.section), (False, "services"))
        self.assert_problem(HTTPStatus.NOT_FOUND, "/v1/customers/laundry/publications/none")
        history = self.request("/v1/customers/laundry/history")
        self.assertEqual(len(msgspec.json.decode(history, type=list[VerdictView])), 2)

    def test_convergence_counts_this_daemon(self) -> None:
        body = self.request("/v1/customers/laundry/convergence", version="1")
        view = msgspec.json.decode(body, type=ConvergenceView)
        self.assertEqual((view.total, view.in_force, view.missing), (1, 1, ()))
        self.assert_problem(
            HTTPStatus.BAD_REQUEST, "/v1/customers/laundry/convergence", version="x"
        )

    def test_members_sections_state_and_metrics_are_served(self) -> None:
        members = msgspec.json.decode(self.request("/v1/members"), type=list[MemberView])
        self.assertEqual([member.daemon_id for member in members], ["planning-1"])
        sections = msgspec.json.decode(self.request("/v1/customers/laundry/sections"))
        self.assertEqual(sections, {"services": SERVICES})
        self.assertEqual(self.request("/state"), b'{"state":"whole"}')
        self.assertEqual(self.request("/metrics"), b"metrics 1\n")
        self.assertEqual(self.request("/healthz"), b'{"status":"ok"}')

    def test_an_upstream_announces_itself_and_withdraws(self) -> None:
        announcement = (
            b'{"service":"planning","address":"127.0.0.1:1","slots":1,"connections":2,"ttl_s":3}'
        )
        self.request("/v1/upstream", "PUT", announcement)
        self.assertEqual(self.context.lease.status.name, "READY")
        self.request("/v1/upstream", "DELETE")
        self.assertEqual(self.context.lease.status.name, "GONE")

    def test_invalid_requests_are_rejected_with_the_reason(self) -> None:
        invalid_bodies = {
            b"not json": "JSON is malformed",
            b'{"service":"a"}': "missing required field",
            b'{"service":"a","address":"b","slots":0,"connections":1}': "slots",
            b'{"service":"a","address":"b","slots":1,"connections":1,"status":"x"}': "status 'x'",
        }
        for body, reason in invalid_bodies.items():
            with self.subTest(reason):
                message = self.assert_problem(
                    HTTPStatus.BAD_REQUEST, "/v1/upstream", "PUT", body=body
                )
                self.assertIn(reason, message)
        self.assert_problem(HTTPStatus.NOT_FOUND, "/v1/customers/other")
        self.assert_problem(HTTPStatus.NOT_FOUND, "/nothing")
        self.assert_problem(HTTPStatus.METHOD_NOT_ALLOWED, "/state", "POST")
