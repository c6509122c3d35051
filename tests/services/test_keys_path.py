"""Requests present a customer's key, which the upstream and other daemons never see."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

import trio

from fulmarstile_daemon.services._frame_stream import FrameStream
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_services.routing_table import RoutingTable
from fulmarstile_services.settings import RequiredBounds, RevocationBounds
from fulmarstile_services.slot_class import SlotClass
from fulmarstile_testing.builders.service_mesh import (
    READY_TIMEOUT_S,
    ClientAnswer,
    ServiceClient,
    ServiceMesh,
    ServiceNode,
    connect,
    serve_mesh,
)
from fulmarstile_testing.builders.services import make_customer, make_document, make_route
from fulmarstile_wire.services import encode_frame

KEY = "key-of-the-baker"
BAKER = make_customer("baker", KEY)
MILLER = make_customer("miller", "key-of-the-miller")
ROUTES = (make_route(), make_route(prefix="/open/", needs_key=False))
DOCUMENT = make_document(*ROUTES, customers=(BAKER, MILLER))
CLAIM = ("customer", "miller")


def with_key(key: str = KEY, *others: tuple[str, str]) -> dict[str, Any]:
    return {"headers": (("api-key", key), *others)}


async def publish(mesh: ServiceMesh, *customers: Any, version: int = 2) -> None:
    """Publishes a document with other customers, and waits until all daemons use it."""
    mesh.put_document(make_document(*ROUTES, version=version, customers=customers))
    with trio.fail_after(READY_TIMEOUT_S):
        for node in mesh.nodes:
            while node.daemon.routes.table.version != version:
                await trio.sleep(0.01)


async def wait_for_status(node: ServiceNode, status: int) -> ClientAnswer:
    """Repeats a request with a key until it is answered with a status."""
    with trio.fail_after(READY_TIMEOUT_S):
        while (answer := await node.call("/a", **with_key())).status != status:
            await trio.sleep(0.02)
    return answer


class KeysPathTest(unittest.TestCase):
    def test_the_upstream_gets_the_customer_and_never_the_key(self) -> None:
        async def run() -> None:
            for services in (("shop",), ("stock", "shop")):
                async with serve_mesh(*services, document=DOCUMENT) as mesh:
                    answer = await mesh.nodes[0].call("/a", **with_key(KEY, CLAIM))
                    self.assertEqual(answer.status, 200)
                    (served,) = mesh.nodes[-1].upstream.record.requests
                    self.assertEqual(served.headers[b"customer"], b"baker")
                    self.assertNotIn(KEY.encode(), b"".join(served.headers.values()))

        trio.run(run)

    def test_a_missing_unknown_or_repeated_key_is_refused_before_an_upstream_sees_it(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                node = mesh.nodes[0]
                for options in (
                    {},
                    with_key("other"),
                    with_key(""),
                    with_key(KEY.upper()),
                    with_key(KEY, ("api-key", "key-of-the-miller")),
                    with_key("other", CLAIM),
                ):
                    answer = await node.call("/a", **options)
                    self.assertEqual(answer.status, 401)
                    self.assertIn(b"www-authenticate", answer.headers)
                self.assertEqual(node.upstream.record.requests, [])

        trio.run(run)

    def test_an_exempt_route_needs_no_key_and_passes_on_neither_key_nor_claim(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=DOCUMENT) as mesh:
                for options in ({}, with_key("other", CLAIM), with_key(KEY)):
                    answer = await mesh.nodes[0].call("/open/a", **options)
                    self.assertEqual(answer.status, 200)
                for served in mesh.nodes[1].upstream.record.requests:
                    self.assertFalse({b"api-key", b"customer"} & set(served.headers))

        trio.run(run)

    def test_without_customers_in_the_document_requests_pass_unchanged(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop") as mesh:
                await mesh.nodes[0].call("/a", **with_key("anything", CLAIM))
                (served,) = mesh.nodes[1].upstream.record.requests
                self.assertEqual(served.headers[b"api-key"], b"anything")
                self.assertEqual(served.headers[b"customer"], b"miller")

        trio.run(run)

    def test_the_daemon_beside_the_upstream_removes_a_key_that_an_older_document_let_pass(
        self,
    ) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=DOCUMENT) as mesh:
                mesh.nodes[0].daemon.routes.table = RoutingTable(make_document(*ROUTES, version=0))
                self.assertEqual(
                    (await mesh.nodes[0].call("/a", **with_key(KEY, CLAIM))).status, 200
                )
                (served,) = mesh.nodes[1].upstream.record.requests
                self.assertFalse({b"api-key", b"customer"} & set(served.headers))

        trio.run(run)

    def test_a_contradictory_document_is_refused_and_the_old_one_stays_in_force(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                both = (make_customer("baker", "new"), make_customer("miller", "new"))
                mesh.put_document(make_document(*ROUTES, version=2, customers=both))
                with trio.fail_after(READY_TIMEOUT_S):
                    while b"document_rejected" not in b"".join(lines):
                        await trio.sleep(0.01)
                await publish(mesh, BAKER, version=3)
                self.assertEqual((await mesh.nodes[0].call("/a", **with_key("new"))).status, 401)
                self.assertEqual((await mesh.nodes[0].call("/a", **with_key())).status, 200)

        lines: list[bytes] = []
        with mock.patch.object(EventLog, "_add", lambda _, line: lines.append(line)):
            trio.run(run)
        self.assertIn(b"baker and miller have a key in common", b"".join(lines))

    def test_a_removed_key_is_refused_on_a_connection_kept_open(self) -> None:
        async def run() -> None:
            async with (
                serve_mesh("shop", document=DOCUMENT) as mesh,
                ServiceClient(await connect(mesh.nodes[0].address)) as client,
            ):
                self.assertEqual((await client.call("/a", **with_key())).status, 200)
                await publish(mesh, MILLER)
                self.assertEqual((await client.call("/a", **with_key())).status, 401)

        trio.run(run)

    def test_a_key_moved_to_another_customer_counts_for_that_one(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                await publish(mesh, make_customer("baker"), make_customer("miller", KEY))
                self.assertEqual((await mesh.nodes[0].call("/a", **with_key())).status, 200)
                (served,) = mesh.nodes[0].upstream.record.requests
                self.assertEqual(served.headers[b"customer"], b"miller")

        trio.run(run)

    def test_a_request_that_was_accepted_runs_after_a_queue_a_retry_or_a_hedge(self) -> None:
        async def run() -> None:
            patient = make_route(timeout_s=9.0, target_latency_s=9.0)
            document = make_document(patient, customers=(BAKER, MILLER))
            async with serve_mesh("shop", "shop", document=document) as mesh:
                answers = []

                async def call(target: str, number: int) -> None:
                    options = {"request_id": f"r-{number}", "wait_ms": 9_000, **with_key()}
                    answers.append(await mesh.nodes[0].call(target, **options))

                async with trio.open_nursery() as nursery:
                    # They wait for the 8 slots of both upstreams; some are shed and retried.
                    for number in range(24):
                        fault = "&fault=shed" if number % 8 == 7 else ""
                        nursery.start_soon(call, f"/a?delay_ms=500{fault}", number)
                    entry = mesh.nodes[0].daemon
                    while entry.dump().callers_in_flight + len(answers) < 24:
                        await trio.sleep(0.01)
                    await publish(mesh, MILLER)
                    published_at = trio.current_time()
                self.assertNotIn(401, {answer.status for answer in answers})
                self.assertEqual((await mesh.nodes[0].call("/a", **with_key())).status, 401)
                served = [each for node in mesh.nodes for each in node.upstream.record.requests]
                self.assertEqual({each.headers[b"customer"] for each in served}, {b"baker"})
                self.assertGreater(max(each.arrived_at for each in served), published_at)

        trio.run(run)

    def test_the_priority_of_a_customer_replaces_that_of_the_route(self) -> None:
        async def run() -> None:
            urgent = make_customer("baker", KEY, priority=0)
            document = make_document(make_route(priority=3), customers=(urgent, MILLER))
            async with serve_mesh("shop", document=document) as mesh:
                upstream = mesh.nodes[0].daemon._upstream
                with mock.patch.object(upstream, "run", wraps=upstream.run) as run_hop:
                    await mesh.nodes[0].call("/a", **with_key())
                    await mesh.nodes[0].call("/a", **with_key("key-of-the-miller"))
                priorities = [call.args[0].priority for call in run_hop.call_args_list]
                self.assertEqual(priorities, [SlotClass.SHORT, SlotClass.OTHER])

        trio.run(run)


class StaleDocumentTest(unittest.TestCase):
    def test_a_daemon_that_may_be_outdated_refuses_keys_until_the_store_is_back(self) -> None:
        async def run() -> None:
            bounds = RequiredBounds(revocation=RevocationBounds(1.0))
            async with serve_mesh("shop", document=DOCUMENT, bounds=bounds) as mesh:
                node = mesh.nodes[0]
                self.assertEqual((await node.call("/a", **with_key())).status, 200)
                mesh.set_store_down(True)
                answer = await wait_for_status(node, 503)
                self.assertIn(b"outdated", answer.body)
                self.assertGreater(float(answer.headers[b"retry-after"]), 0.0)
                # An unknown key may be a new one.
                self.assertEqual((await node.call("/a", **with_key("other"))).status, 503)
                self.assertEqual((await node.call("/open/a")).status, 200)
                mesh.set_store_down(False)
                await wait_for_status(node, 200)
                with trio.fail_after(READY_TIMEOUT_S):
                    while b"document_confirmed" not in b"".join(lines):
                        await trio.sleep(0.01)

        lines: list[bytes] = []
        with mock.patch.object(EventLog, "_add", lambda _, line: lines.append(line)):
            trio.run(run)
        for event in (b"document_stale", b"stale-configuration", b"document_confirmed"):
            self.assertIn(event, b"".join(lines))

    def test_without_the_bound_keys_are_accepted_while_the_store_is_down(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                mesh.set_store_down(True)
                mesh.nodes[0].daemon._freshness.confirm(-1e9)
                self.assertEqual((await mesh.nodes[0].call("/a", **with_key())).status, 200)

        trio.run(run)

    def test_a_document_without_customers_may_be_the_outdated_one(self) -> None:
        async def run() -> None:
            bounds = RequiredBounds(revocation=RevocationBounds(1.0))
            async with serve_mesh("shop", bounds=bounds) as mesh:
                mesh.set_store_down(True)
                await wait_for_status(mesh.nodes[0], 503)
                self.assertEqual((await mesh.nodes[0].call("/a")).status, 200)

        trio.run(run)


class NestedCallTest(unittest.TestCase):
    def test_only_a_call_made_for_a_running_request_needs_no_key(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                node = mesh.nodes[0]
                async with trio.open_nursery() as nursery:
                    options = {"request_id": "parent", **with_key()}
                    nursery.start_soon(lambda: node.call("/a?delay_ms=400", **options))
                    while not node.upstream.record.running:
                        await trio.sleep(0.01)
                    nested = await node.call("/b", request_id="parent.1", headers=(CLAIM,))
                    self.assertEqual(nested.status, 200)
                    self.assertNotIn(b"customer", node.upstream.record.requests[-1].headers)
                    for request_id in ("parent", "other.1", ".1", "parent.1.2", "1.parent"):
                        answer = await node.call("/b", request_id=request_id)
                        self.assertEqual(answer.status, 401, request_id)
                    refused = await node.call("/b", request_id="parent.2", **with_key("other"))
                    self.assertEqual(refused.status, 401)
                late = await node.call("/b", request_id="parent.3")
                self.assertEqual(late.status, 401)

        trio.run(run)


class SecrecyTest(unittest.TestCase):
    def test_no_key_is_in_frames_logs_metrics_or_the_dump(self) -> None:
        sent: list[bytes] = []
        lines: list[bytes] = []

        def record_frame(stream: FrameStream, message: Any) -> Any:
            sent.append(encode_frame(message))
            return send(stream, message)

        send = FrameStream.send

        async def run() -> None:
            async with serve_mesh("stock", "shop", document=DOCUMENT) as mesh:
                # The fake document is its key's bytes, so that a document sent as it is would show.
                raw = f"document with {KEY}".encode()
                secret = make_document(*ROUTES, version=2, customers=(BAKER,))
                mesh.documents[raw] = secret
                mesh.documents[b"redacted"] = secret
                for node in mesh.nodes:
                    node.platform.redact_document = lambda raw: b"redacted"
                # The second daemon receives the document from the first one.
                mesh.nodes[1].platform.store.is_down = True
                mesh.store.put("documents", "current", raw)
                with trio.fail_after(READY_TIMEOUT_S):
                    for node in mesh.nodes:
                        while node.daemon.routes.table.version != 2:
                            await trio.sleep(0.01)
                for node in mesh.nodes:
                    for target in (
                        "/a",
                        "/open/a",
                        "/a?fault=cut",
                        "/a?fault=shed",
                        "/a?status=500",
                    ):
                        await node.call(target, **with_key(KEY, ("customer", KEY)))
                    await node.call("/none", headers=(("api-key", KEY + "x"),))
                    state = str(node.daemon.dump()).encode()
                    lines.extend((state, node.daemon._metrics.render()))

        with (
            mock.patch.object(FrameStream, "send", record_frame),
            mock.patch.object(EventLog, "_add", lambda _, line: lines.append(line)),
        ):
            trio.run(run)
        self.assertIn(b"redacted", b"".join(sent))
        self.assertIn(b"baker", b"".join(lines))
        for data in (b"".join(sent), b"".join(lines)):
            self.assertNotIn(KEY[4:].encode(), data)


if __name__ == "__main__":
    unittest.main()
