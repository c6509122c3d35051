"""Large bodies cross a slow link one at a time; small requests don't wait for them."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_daemon.services._body_admission import BodyAdmission, OfferKey
from fulmarstile_testing.builders.service_mesh import serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route

LINK_BYTES_PER_S = 1_000_000
BODY = 200_000
SLOW_KBPS = 8_000
DOCUMENT = make_document(make_route(timeout_s=10.0, target_latency_s=5.0))
QUICK = make_document(make_route(timeout_s=10.0, target_latency_s=1.2))


class BodyGateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.admission = BodyAdmission(LINK_BYTES_PER_S)
        self.granted: list[int] = []

    def offer(self, call_id: int, size: int = BODY, connection: str = "a") -> None:
        self.admission.offer(
            OfferKey(connection, call_id), size, lambda: self.granted.append(call_id)
        )

    def test_bodies_are_granted_in_order(self) -> None:
        for call_id in (1, 2, 3):
            self.offer(call_id)
        self.assertEqual(self.granted, [1])
        self.assertAlmostEqual(self.admission.wait_s, 3 * BODY / LINK_BYTES_PER_S)
        self.admission.release(OfferKey("a", 1))
        self.assertEqual(self.granted, [1, 2])

    def test_a_body_larger_than_the_limit_is_granted_alone(self) -> None:
        self.offer(1, 10 * LINK_BYTES_PER_S)
        self.offer(2, 1)
        self.assertEqual(self.granted, [1])

    def test_small_bodies_are_granted_together(self) -> None:
        self.offer(1, 50_000)
        self.offer(2, 50_000)
        self.assertEqual(self.granted, [1, 2])

    def test_a_withdrawn_offer_is_not_granted(self) -> None:
        self.offer(1)
        self.offer(2)
        self.offer(3)
        self.admission.release(OfferKey("a", 2))
        self.admission.release(OfferKey("a", 1))
        self.assertEqual(self.granted, [1, 3])

    def test_a_connection_that_ends_releases_its_grants_and_offers(self) -> None:
        self.offer(1, connection="a")
        self.offer(2, connection="a")
        self.offer(3, connection="b")
        self.admission.release_all("a")
        self.assertEqual(self.granted[-1], 3)
        self.admission.release(OfferKey("b", 3))
        self.assertEqual(self.admission.wait_s, 0.0)


class OfferedBodiesTest(unittest.TestCase):
    def test_concurrent_uploads_over_a_slow_link_all_succeed(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=DOCUMENT, link_kbps=SLOW_KBPS) as mesh:
                statuses: list[int] = []

                async def upload(number: int) -> None:
                    answer = await mesh.nodes[0].call(
                        "/a", "POST", request_id=f"r{number}", wait_ms=10_000, body=b"x" * BODY
                    )
                    statuses.append(answer.status)

                async with trio.open_nursery() as nursery:
                    for number in range(5):
                        nursery.start_soon(upload, number)
                self.assertEqual(statuses, [200] * 5)
                received = [
                    request.body_bytes for request in mesh.nodes[1].upstream.record.requests
                ]
                self.assertEqual(received, [BODY] * 5)

        trio.run(run)

    def test_a_body_that_would_be_granted_too_late_is_refused_at_once(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=DOCUMENT, link_kbps=SLOW_KBPS) as mesh:
                entry, serving = mesh.nodes
                # Takes six seconds on the link; the target latency is five.
                serving.daemon.body_admission.offer(OfferKey("other", 1), 6_000_000, lambda: None)
                with trio.fail_after(0.5):
                    answer = await entry.call("/a", "POST", wait_ms=10_000, body=b"x" * BODY)
                self.assertEqual(answer.status, 503)
                self.assertIn(b"retry-after", answer.headers)
                self.assertEqual(serving.upstream.record.requests, [])

        trio.run(run)

    def test_a_body_that_is_not_granted_in_time_is_refused_and_not_sent(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=QUICK, link_kbps=SLOW_KBPS) as mesh:
                entry, serving = mesh.nodes
                # By its size it takes half a second on the link, but it is never sent.
                serving.daemon.body_admission.offer(OfferKey("other", 1), 500_000, lambda: None)
                answer = await entry.call("/a", "POST", wait_ms=10_000, body=b"x" * BODY)
                self.assertEqual(answer.status, 503)
                self.assertEqual(serving.upstream.record.requests, [])

        trio.run(run)

    def test_a_link_too_busy_for_a_body_accepts_small_requests(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=DOCUMENT, link_kbps=SLOW_KBPS) as mesh:
                entry, serving = mesh.nodes
                serving.daemon.body_admission.offer(OfferKey("other", 1), 6_000_000, lambda: None)
                refused = await entry.call("/a", "POST", wait_ms=10_000, body=b"x" * BODY)
                small = await entry.call("/a", "POST", request_id="small", wait_ms=10_000)
                self.assertEqual((refused.status, small.status), (503, 200))

        trio.run(run)

    def test_the_offer_of_a_caller_that_disconnected_does_not_hold_up_the_next(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", document=DOCUMENT, link_kbps=SLOW_KBPS) as mesh:
                entry, serving = mesh.nodes
                admission = serving.daemon.body_admission
                admission.offer(OfferKey("other", 1), BODY, lambda: None)
                with trio.move_on_after(0.3):
                    await entry.call("/a", "POST", wait_ms=10_000, body=b"x" * BODY)
                self.assertEqual(serving.upstream.record.requests, [])
                with trio.fail_after(2):
                    while admission.wait_s > BODY / SLOW_KBPS * 8 / 1000:
                        await trio.sleep(0.01)
                admission.release(OfferKey("other", 1))
                answer = await entry.call("/a", "POST", wait_ms=10_000, body=b"x" * BODY)
                self.assertEqual(answer.status, 200)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
