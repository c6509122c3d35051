"""A caller gets the complete answer of one upstream, or a clear error."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_services.document import Repeatability
from fulmarstile_testing.builders.service_mesh import ServiceClient, connect, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route

ONCE = make_document(make_route(repeatability=Repeatability.AT_MOST_ONCE))


class CallsPathTest(unittest.TestCase):
    def test_a_request_reaches_the_upstream_beside_the_caller(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                answer = await mesh.nodes[0].call("/a/b?size=2000")
                self.assertEqual((answer.status, len(answer.body)), (200, 2000))
                self.assertEqual(answer.headers[b"answer-proof"], b"seal-upstream-of-daemon-1")

        trio.run(run)

    def test_a_request_reaches_an_upstream_beside_another_daemon(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop") as mesh:
                answer = await mesh.nodes[0].call("/a", "POST", body=b"y" * 300_000)
                self.assertEqual((answer.status, answer.body), (200, b"xx"))
                (served,) = mesh.nodes[1].upstream.record.requests
                self.assertEqual(served.body_bytes, 300_000)
                self.assertEqual(served.headers[b"caller-service"], b"stock")
                self.assertEqual(served.headers[b"expected-upstream"], b"upstream-of-daemon-2")
                self.assertLessEqual(int(served.headers[b"time-left-ms"]), 1_000)

        trio.run(run)

    def test_a_caller_cannot_choose_the_service_that_it_is_reported_as(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop") as mesh:
                headers = (("caller-service", "bank"), ("fulmarstile-hop", "[]"))
                await mesh.nodes[0].call("/a", headers=headers)
                (served,) = mesh.nodes[1].upstream.record.requests
                self.assertEqual(served.headers[b"caller-service"], b"stock")

        trio.run(run)

    def test_without_a_document_a_caller_is_told_to_retry(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                mesh.nodes[0].daemon.routes.table = None
                answer = await mesh.nodes[0].call("/a")
                self.assertEqual(answer.status, 503)
                self.assertGreater(float(answer.headers[b"retry-after"]), 0.0)

        trio.run(run)

    def test_a_path_without_a_route_gets_not_found(self) -> None:
        async def run() -> None:
            document = make_document(make_route(prefix="/a/"))
            async with serve_mesh("shop", document=document) as mesh:
                self.assertEqual((await mesh.nodes[0].call("/b/")).status, 404)

        trio.run(run)

    def test_a_service_without_an_upstream_is_refused_as_not_run(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock") as mesh:
                answer = await mesh.nodes[0].call("/a")
                self.assertEqual(answer.status, 503)
                self.assertIn(b"retry-after", answer.headers)

        trio.run(run)

    def test_a_request_that_takes_too_long_is_cancelled_at_its_timeout(self) -> None:
        async def run() -> None:
            document = make_document(make_route(timeout_s=0.1))
            async with serve_mesh("stock", "shop", document=document) as mesh:
                answer = await mesh.nodes[0].call("/a?delay_ms=60000", wait_ms=60_000)
                self.assertEqual(answer.status, 504)
                with trio.fail_after(5):
                    while not mesh.nodes[1].upstream.record.requests[0].was_left:
                        await trio.sleep(0.01)

        trio.run(run)

    def test_a_request_is_cancelled_at_the_upstream_when_its_caller_disconnects(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop") as mesh:
                record = mesh.nodes[1].upstream.record
                async with ServiceClient(await connect(mesh.nodes[0].address)) as client:
                    await client.send("/a?delay_ms=60000", wait_ms=60_000)
                    with trio.fail_after(5):
                        while not record.running:
                            await trio.sleep(0.01)
                with trio.fail_after(5):
                    while record.running:
                        await trio.sleep(0.01)
                self.assertTrue(record.requests[0].was_left)

        trio.run(run)

    def test_an_upstream_runs_no_more_requests_than_it_has_slots(self) -> None:
        async def run() -> None:
            route = make_route(timeout_s=20.0, target_latency_s=20.0)
            async with serve_mesh("stock", "shop", document=make_document(route)) as mesh:
                statuses: list[int] = []

                async def call(number: int) -> None:
                    answer = await mesh.nodes[0].call(
                        "/a?delay_ms=20", request_id=f"r{number}", wait_ms=20_000
                    )
                    statuses.append(answer.status)

                async with trio.open_nursery() as nursery:
                    for number in range(16):
                        nursery.start_soon(call, number)
                self.assertEqual(statuses, [200] * 16)
                self.assertLessEqual(mesh.nodes[1].upstream.record.max_running, 4)

        trio.run(run)

    def test_bodies_that_exceed_the_memory_limit_are_refused_as_not_run(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                node = mesh.nodes[0]
                budget = node.daemon.byte_budget
                self.assertTrue(budget.try_reserve_for_caller(budget.message_limit - 50_000))
                answer = await node.call("/a", "POST", body=b"y" * 100_000)
                self.assertEqual(answer.status, 503)
                self.assertIn(b"retry-after", answer.headers)
                budget.release_for_caller(budget.message_limit - 50_000)
                answer = await node.call("/a", "POST", body=b"y" * 100_000)
                self.assertEqual(answer.status, 200)
                self.assertEqual(budget.used_bytes, 0)

        trio.run(run)

    def test_a_malformed_request_is_refused_and_its_connection_closed(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                for raw in (
                    b"GET /a HTTP/1.1\nHost: x\n\n",
                    b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    b"GET /a HTTP/1.1\r\n continued\r\n\r\n",
                ):
                    stream = await connect(mesh.nodes[0].address)
                    await stream.send_all(raw)
                    data = b""
                    with trio.fail_after(5):
                        while part := await stream.receive_some(65_536):
                            data += part
                    self.assertTrue(data.startswith(b"HTTP/1.1 400"), data)
                self.assertEqual(mesh.nodes[0].upstream.record.requests, [])

        trio.run(run)
