"""Faulty upstreams cause neither wrong answers nor second runs of at-most-once requests."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_services.document import Repeatability
from fulmarstile_testing.builders.service_mesh import serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route
from fulmarstile_testing.service_upstream import (
    FAULT_CRASH,
    FAULT_CUT,
    FAULT_CUT_HEAD,
    FAULT_EARLY,
    FAULT_EXTRA,
    FAULT_EXTRA_LATE,
    FAULT_RESET,
    FAULT_SHED,
    FAULT_SHED_AGAIN,
    FAULT_SHED_AGAIN_UNNAMED,
    FAULT_UNFRAMED,
    FAULT_UNNAMED,
    FAULT_UNPROVEN,
)

ONCE = make_document(make_route(repeatability=Repeatability.AT_MOST_ONCE))
IDEMPOTENT = make_document(make_route())


class FaultyUpstreamTest(unittest.TestCase):
    def check(self, fault: str, *, document=ONCE, status: int, runs: int, method="POST") -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", "shop", document=document) as mesh:
                answer = await mesh.nodes[0].call(f"/a?fault={fault}", method, body=b"b")
                self.assertTrue(answer.complete)
                self.assertEqual(answer.status, status)
                records = [node.upstream.record for node in mesh.nodes]
                self.assertEqual(sum(seen.count_runs("request-1") for seen in records), runs)
                following = await mesh.nodes[0].call("/a?size=7", request_id="request-2")
                self.assertEqual((following.status, following.body), (200, b"x" * 7))

        trio.run(run)

    def test_a_truncated_answer_is_not_passed_on_and_the_request_runs_once(self) -> None:
        self.check(FAULT_CUT, status=502, runs=1)

    def test_an_at_most_once_request_whose_answer_is_lost_is_not_retried(self) -> None:
        self.check(FAULT_RESET, status=502, runs=1)

    def test_an_idempotent_request_whose_answer_is_lost_is_retried(self) -> None:
        self.check(FAULT_RESET, document=IDEMPOTENT, status=502, runs=2, method="GET")

    def test_an_answer_without_proof_is_not_passed_on(self) -> None:
        self.check(FAULT_UNPROVEN, status=502, runs=1)

    def test_a_rejection_without_proof_is_not_passed_on_as_the_daemons_own(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=ONCE) as mesh:
                entry, beside = mesh.nodes
                for fault in (FAULT_UNPROVEN, FAULT_UNNAMED):
                    for status in (301, 400, 401, 403, 404, 405, 413, 431):
                        request_id = f"{fault}-{status}"
                        with self.subTest(request_id):
                            target = f"/a?fault={fault}&status={status}"
                            answer = await entry.call(target, "POST", request_id=request_id)
                            self.assertEqual(answer.status, 502)
                        self.assertEqual(beside.upstream.record.count_runs(request_id), 1)
                self.assertEqual((await entry.call("/a", request_id="last")).status, 200)

        trio.run(run)

    def test_a_rejection_with_proof_is_passed_on_unchanged(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=ONCE) as mesh:
                for status in (400, 404):
                    answer = await mesh.nodes[0].call(f"/a?status={status}&size=9", "POST")
                    self.assertEqual((answer.status, len(answer.body)), (status, 9))
                    self.assertIn(b"answer-proof", answer.headers)

        trio.run(run)

    def test_an_answer_without_a_length_is_passed_on_completely(self) -> None:
        self.check(FAULT_UNFRAMED, status=200, runs=1)

    def test_a_second_answer_is_not_taken_for_the_answer_to_the_next_request(self) -> None:
        self.check(FAULT_EXTRA, status=200, runs=1)

    def test_a_late_second_answer_is_not_taken_for_the_answer_to_the_next_request(self) -> None:
        self.check(FAULT_EXTRA_LATE, status=200, runs=1)

    def test_a_request_that_all_upstreams_reject_is_refused_as_not_run(self) -> None:
        self.check(FAULT_SHED, status=503, runs=0)

    def test_a_rejection_before_the_body_is_read_closes_the_connection(self) -> None:
        self.check(FAULT_EARLY, status=503, runs=0)

    def check_rejected_again(self, fault: str, request_id: str) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=ONCE) as mesh:
                entry, beside = mesh.nodes
                rejected = await entry.call(f"/a?fault={fault}", "POST")
                self.assertEqual(rejected.status, 503)
                following = await entry.call("/a?size=7", "POST", request_id=request_id)
                self.assertEqual((following.status, following.body), (200, b"x" * 7))
                self.assertEqual(beside.upstream.record.count_runs(request_id), 1)

        trio.run(run)

    def test_a_rejection_written_twice_is_not_taken_for_that_of_the_next_request(self) -> None:
        self.check_rejected_again(FAULT_SHED_AGAIN, "request-2")

    def test_a_rejection_written_twice_without_an_id_is_not_taken_for_the_next_one(self) -> None:
        self.check_rejected_again(FAULT_SHED_AGAIN_UNNAMED, "request-2")

    def test_a_rejection_written_twice_is_not_taken_for_that_of_a_second_attempt(self) -> None:
        self.check_rejected_again(FAULT_SHED_AGAIN, "request-1")

    def test_an_answer_that_ends_in_its_head_is_not_passed_on(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=ONCE) as mesh:
                for at in (1, 8, 12, 15, 16, 17, 30, 45, 60, 75, 85, 90):
                    answer = await mesh.nodes[0].call(
                        f"/a?fault={FAULT_CUT_HEAD}&at={at}", "POST", request_id=f"r{at}"
                    )
                    self.assertEqual((at, answer.status, answer.complete), (at, 502, True))

        trio.run(run)

    def test_a_status_that_promises_not_run_is_not_passed_on_if_the_request_ran(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=ONCE) as mesh:
                for status in (408, 421, 429, 503):
                    answer = await mesh.nodes[0].call(f"/a?status={status}", "POST")
                    self.assertIn(answer.status, (502, 503))
                    if answer.status == 503:
                        self.assertEqual(status, 421)

        trio.run(run)

    def test_an_error_answer_of_an_upstream_is_passed_on_unchanged(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=ONCE) as mesh:
                answer = await mesh.nodes[0].call("/a?status=500&size=9", "POST")
                self.assertEqual((answer.status, len(answer.body)), (500, 9))
                self.assertIn(b"answer-proof", answer.headers)

        trio.run(run)

    def test_an_error_answer_is_passed_on_when_no_other_upstream_has_capacity(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", "shop", document=IDEMPOTENT) as mesh:
                async with trio.open_nursery() as nursery:
                    for number in range(7):
                        target = f"/a?delay_ms=700&n={number}"
                        nursery.start_soon(mesh.nodes[0].call, target)
                    await trio.sleep(0.2)
                    answer = await mesh.nodes[0].call(
                        "/a?status=500&size=9&delay_ms=10", request_id="failing"
                    )
                    nursery.cancel_scope.cancel()
                self.assertEqual((answer.status, len(answer.body)), (500, 9))

        trio.run(run)

    def test_a_request_that_crashes_upstreams_is_refused_by_all_daemons(self) -> None:
        async def run() -> None:
            services = ("stock",) * 2 + ("shop",) * 4
            async with serve_mesh(*services, document=IDEMPOTENT) as mesh:
                await trio.sleep(1.5)  # until updates from the start no longer delay later ones
                target = f"/poison?fault={FAULT_CRASH}"
                for number in range(4):
                    await mesh.nodes[number % 2].call(target, request_id=f"r{number}")
                    await trio.sleep(0.3)
                ran = sum(
                    node.upstream.record.count_runs(f"r{number}")
                    for node in mesh.nodes
                    for number in range(4)
                )
                self.assertEqual(ran, 2)
                answer = await mesh.nodes[0].call("/harmless", request_id="r9")
                self.assertEqual(answer.status, 200)

        trio.run(run)
