"""A request is decided by the version that is in force once it has arrived, on any connection."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_testing.builders.service_mesh import (
    ServiceClient,
    ServiceMesh,
    connect,
    serve_mesh,
)
from fulmarstile_testing.builders.services import make_document, make_route

APPLY_S = 2.0
"""Time from the acknowledgement of a version until it must be in force, in seconds."""
STOPPED_IN_TOUCH_S = 3.0
"""Time after SIGTERM from which the bound holds, in seconds."""
SLOW = "/a?delay_ms=6000"
WAIT_MS = 8_000
OLD = make_document(make_route(timeout_s=10.0), version=1)
ADDED = make_route("added.example", timeout_s=10.0)
NEW = make_document(make_route(timeout_s=10.0), ADDED, version=2)
GONE = make_document(ADDED, version=3)


def make_request(host: str, method: str = "GET", length: int = 0) -> bytes:
    return (
        f"{method} /a HTTP/1.1\r\nhost: {host}\r\nrequest-id: {host}-{method}\r\n"
        f"time-left-ms: {WAIT_MS}\r\ncontent-length: {length}\r\n\r\n"
    ).encode()


async def receive_statuses(stream: trio.SocketStream, count: int) -> list[int]:
    received = b""
    while received.count(b"HTTP/1.1 ") < count:
        data = await stream.receive_some()
        if not data:
            break
        received += data
    return [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]]


async def wait_version(mesh: ServiceMesh, version: int) -> None:
    with trio.fail_after(APPLY_S):
        for node in mesh.nodes:
            while node.daemon.routes.table.version != version:
                await trio.sleep(0.01)


class VersionOfARequestTest(unittest.TestCase):
    def test_a_body_that_ends_after_a_change_is_decided_by_the_new_version(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=OLD) as mesh:
                stream = await connect(mesh.nodes[0].address)
                await stream.send_all(make_request("added.example", "POST", 2) + b"x")
                await trio.sleep(0.1)
                mesh.put_document(NEW)
                await wait_version(mesh, 2)
                await stream.send_all(b"x")
                with trio.fail_after(APPLY_S):
                    self.assertEqual(await receive_statuses(stream, 1), [200])

        trio.run(run)

    def test_a_request_behind_a_slow_one_is_decided_by_the_version_that_came_meanwhile(
        self,
    ) -> None:
        async def run() -> None:
            for method in ("GET", "POST"):
                async with serve_mesh("shop", document=OLD) as mesh:
                    stream = await connect(mesh.nodes[0].address)
                    slow = make_request("shop.example").replace(b"/a", b"/a?delay_ms=1000")
                    await stream.send_all(slow)
                    await trio.sleep(0.1)
                    mesh.put_document(NEW)
                    await wait_version(mesh, 2)
                    await stream.send_all(make_request("added.example", method))
                    with trio.fail_after(APPLY_S):
                        self.assertEqual(await receive_statuses(stream, 2), [200, 200])

        trio.run(run)

    def test_a_connection_that_was_idle_during_changes_keeps_no_old_version(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", "shop", document=OLD) as mesh:
                stream = await connect(mesh.nodes[1].address)
                for document, status in ((NEW, 200), (GONE, 404)):
                    await stream.send_all(make_request("shop.example"))
                    self.assertEqual(await receive_statuses(stream, 1), [200])
                    mesh.put_document(document)
                    await wait_version(mesh, document.version)
                    await stream.send_all(make_request("added.example"))
                    self.assertEqual(await receive_statuses(stream, 1), [200])
                    await stream.send_all(make_request("shop.example"))
                    self.assertEqual(await receive_statuses(stream, 1), [status])

        trio.run(run)

    def test_a_daemon_that_stops_follows_versions_until_its_end(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", "shop", document=OLD) as mesh:
                stopping = mesh.nodes[0]
                async with ServiceClient(await connect(stopping.address)) as slow:
                    await slow.send(SLOW, wait_ms=WAIT_MS)
                    await trio.sleep(0.1)
                    stopping.stop()
                    await trio.sleep(STOPPED_IN_TOUCH_S)
                    mesh.put_document(NEW)
                    with trio.fail_after(APPLY_S):
                        while stopping.daemon.routes.table.version != 2:
                            await trio.sleep(0.01)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
