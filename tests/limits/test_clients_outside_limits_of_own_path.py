"""Clients that don't stay inside the limits don't fill the machine of `fulmarstiled`."""

from __future__ import annotations

import unittest
from http import HTTPStatus
from typing import TYPE_CHECKING

import trio

from fulmarstile_adapter_testing.abusive_clients import (
    Abuse,
    AbusiveCrowd,
    encode_chunks,
    encode_head,
)
from fulmarstile_adapter_testing.guarded_daemon import GuardedProcess
from fulmarstile_testing.fleet import DaemonSpec
from fulmarstile_testing.live_mesh import LiveMesh, open_live_mesh
from fulmarstile_testing.probe import wait_until

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarstile_adapter_testing.guarded_daemon import Outcome

CROWD = 64
MANY = 2 * CROWD
MEMORY_BYTES = 150_000_000
"""Memory of a machine; `fulmarstiled` has no setting for it."""
MAX_DESCRIPTORS = 1_024
HANG_S = 110.0
"""Time after which a daemon that doesn't answer is taken to hang, in seconds."""
SPEC = DaemonSpec("planning-1", "be-bru", "planning")
SECTIONS = {
    "services": "services:\n  - name: planning\n",
    "pools": "pools:\n  - name: planning\n    service: planning\n",
    "routes": "routes:\n  - name: slots\n    path: /slots\n    pool: planning\n",
}
PATH = "/slots/today"
PIECE = b"a" * 64 * 1024
ADMIN_BODY_BYTES = 4 << 20
"""Largest body that the admin address accepts."""
CHUNKED = encode_head(PATH, "transfer-encoding: chunked")
LAST_CHUNK = b"1\r\nx\r\n0\r\n"
BODY_BYTES = 64 * 1024 - 2
"""Just under the size of a body that is held in memory whole."""
SHORT_LINE = b"a:\r\n"
SHORT_LINES = 7_900
"""Header lines in a head just under the largest size of a head."""
CALL_ABUSES = (
    Abuse(CHUNKED + LAST_CHUNK + b"x-more: ", PIECE, 64),
    Abuse(CHUNKED + LAST_CHUNK, (b"x-more: " + b"a" * 1_000 + b"\r\n") * 64, 64),
    Abuse(CHUNKED + b"5;", PIECE, 64),
    Abuse(CHUNKED + encode_chunks(BODY_BYTES, 2)),
    Abuse(CHUNKED + encode_chunks(BODY_BYTES, 16 * 1024)),
    Abuse(encode_head(PATH, f"content-length: {16 << 20}"), PIECE, 255),
    Abuse(encode_head(PATH, method="GET")[:-2] + b"x-more: " + b"a" * 31_000),
    Abuse(encode_head(PATH, method="GET"), encode_head(PATH, method="GET"), 100, is_reading=False),
)


class OwnPathTest(unittest.TestCase):
    def check(self, is_admin: bool, abuses: Sequence[Abuse]) -> None:
        async def run() -> Outcome:
            with trio.fail_after(HANG_S):
                async with open_live_mesh([SPEC]) as mesh, trio.open_nursery() as nursery:
                    await mesh.publish(SECTIONS)
                    await mesh.wait_for_version(1)
                    await wait_until(lambda: is_served(mesh), "a call served")
                    fleet = mesh.fleet
                    crowd = AbusiveCrowd(nursery)
                    process_id = fleet.processes[SPEC.name].pid
                    process = GuardedProcess(process_id, crowd, lambda: call(mesh))
                    addresses = fleet.admin_addresses if is_admin else fleet.calls_addresses
                    host, _, port = addresses[SPEC.name].rpartition(":")
                    await crowd.open((host, int(port)), abuses)
                    await process.settle()
                    outcome = await process.judge()
                    crowd.close()
                    nursery.cancel_scope.cancel()
            return outcome

        outcome = trio.run(run)
        print(f"{self.id()}: {outcome}")
        self.assertTrue(outcome.is_running, outcome)
        self.assertEqual(outcome.status, HTTPStatus.OK, outcome)
        self.assertLessEqual(outcome.descriptors, MAX_DESCRIPTORS, outcome)
        self.assertLessEqual(outcome.peak_bytes, MEMORY_BYTES, outcome)

    def test_all_forms_at_the_address_for_calls_stay_within_the_memory(self) -> None:
        self.check(False, CALL_ABUSES * (CROWD // len(CALL_ABUSES)))

    def test_bodies_that_stop_short_at_the_admin_address_stay_within_the_memory(self) -> None:
        head = encode_head("/v1/upstream", f"content-length: {ADMIN_BODY_BYTES}", method="PUT")
        self.check(True, [Abuse(head + b"x" * (ADMIN_BODY_BYTES - 1))] * CROWD)

    def test_heads_of_thousands_of_lines_before_missing_bodies_stay_within_the_memory(self) -> None:
        head = encode_head(PATH, "content-length: 1000")[:-2] + SHORT_LINE * SHORT_LINES + b"\r\n"
        self.check(False, [Abuse(head)] * MANY)


async def call(mesh: LiveMesh) -> int:
    return (await mesh.call(SPEC.name, PATH)).status


async def is_served(mesh: LiveMesh) -> bool:
    return await call(mesh) == HTTPStatus.OK


if __name__ == "__main__":
    unittest.main()
