"""Metrics and state are served while the daemon runs."""

from __future__ import annotations

import json
import unittest

import trio

from fulmarstile_platform.http import open_http_client
from fulmarstile_testing.builders.service_mesh import serve_mesh


class InspectionTest(unittest.TestCase):
    def test_the_metrics_count_answers_and_latencies(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                node = mesh.nodes[0]
                await node.call("/a")
                await node.call("/a?status=500")
                async with open_http_client(node.platform.settings.listeners.metrics) as client:
                    page = (await client.request("GET", "/metrics")).body.decode()
                answers = 'fulmarstile_service_answers_total{reason="none",status="200"} 1'
                self.assertIn(answers, page)
                self.assertRegex(page, r"fulmarstile_service_call_seconds_count(\{\})? 2")
                self.assertIn("fulmarstile_service_document_version", page)

        trio.run(run)

    def test_the_state_lists_readiness_version_and_members(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", "stock") as mesh:
                node = mesh.nodes[0]
                async with open_http_client(node.platform.settings.listeners.metrics) as client:
                    state = json.loads((await client.request("GET", "/state")).body)
                    other = await client.request("GET", "/else")
                self.assertEqual((state["is_ready"], state["document_version"]), (True, 1))
                names = sorted(entry["member"]["name"] for entry in state["members"])
                self.assertEqual(names, ["daemon-1", "daemon-2"])
                self.assertEqual(other.status, 404)

        trio.run(run)
