"""A malformed entry of another writer ends no daemon, and the other entries hold."""

from __future__ import annotations

import json
import unittest
from typing import Any

import trio

from fulmarstile_daemon.services.membership import MEMBERS_TOPIC
from fulmarstile_http.byte_stream import open_stream
from fulmarstile_testing.builders.service_mesh import READY_TIMEOUT_S, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_member, make_route
from fulmarstile_wire.errors import WireError
from fulmarstile_wire.services import (
    CrashReport,
    SyncCall,
    SyncRequest,
    decode_crash,
    decode_member,
    encode_crash,
    encode_frame,
    encode_member,
)

DEEP = b"[" * 100_000 + b"]" * 100_000


def make_record(**changes: Any) -> bytes:
    """Makes the record of a daemon with some fields changed or added."""
    return json.dumps(json.loads(encode_member(make_member("odd"))) | changes).encode()


ODD_RECORDS = {
    "nested deeply in an unknown field": make_record()[:-1] + b',"unknown":' + DEEP + b"}",
    "nested deeply in a known field": make_record()[:-1] + b',"notice":' + DEEP + b"}",
    "incarnation too large": make_record(incarnation=10**30),
    "incarnation that can't be raised": make_record(incarnation=2**53),
    "incarnation negative": make_record(incarnation=-1),
    "revision too large": make_record(revision=10**30),
    "slots too large": make_record(slots=10**30),
    "slots negative": make_record(slots=-1),
    "born too large": make_record(upstream_born_ms=10**30),
    "time too large": make_record(cold_left_s=1e300),
    "link too large": make_record(link_kbps=10**30),
    "notice dated too late": make_record(notice=["a", 1, 10**30]),
    "port out of range": make_record(address="127.0.0.1:99999"),
    "port 0": make_record(address="127.0.0.1:0"),
    "port no number": make_record(address="127.0.0.1:http"),
    "no port": make_record(address="127.0.0.1"),
    "no host": make_record(address=":7000"),
    "digits that int() accepts": make_record(address="127.0.0.1:٣٣٣"),
}


class OddRecordTest(unittest.TestCase):
    def test_an_odd_record_of_a_daemon_is_rejected(self) -> None:
        for name, record in ODD_RECORDS.items():
            with self.subTest(name), self.assertRaises(WireError):
                decode_member(record)

    def test_an_odd_crash_report_is_rejected(self) -> None:
        report = json.loads(encode_crash(CrashReport(b"f", "u", 1)))
        records = [json.dumps(report | {"upstream_born_ms": 10**30}).encode()]
        records.append(json.dumps(report).encode()[:-1] + b',"unknown":' + DEEP + b"}")
        for record in records:
            with self.subTest(record[:60]), self.assertRaises(WireError):
                decode_crash(record)

    def test_the_largest_incarnation_of_a_record_can_be_raised_and_sent(self) -> None:
        member = decode_member(make_record(incarnation=2**52, revision=2**53, slots=10**6))
        encode_frame(SyncCall(1, SyncRequest("daemon-1", b"", members=(member,))))

    def test_a_connection_to_an_impossible_address_fails_as_others_do(self) -> None:
        for address in ("127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:x", "127.0.0.1", "x:1"):
            with self.subTest(address), self.assertRaises(OSError):
                trio.run(open_stream, address)

    def test_daemons_follow_the_other_records_when_odd_ones_are_among_them(self) -> None:
        async def run() -> None:
            document = make_document(make_route())
            async with serve_mesh("stock", "shop", document=document) as mesh:
                for number, record in enumerate(ODD_RECORDS.values()):
                    mesh.store.put(MEMBERS_TOPIC, f"odd-{number}", record)
                await mesh.start_node("daemon-9", service="shop")
                await mesh.wait_serving("shop", 2)
                late = await mesh.start_node("daemon-10", service="stock")
                with trio.fail_after(READY_TIMEOUT_S):
                    while len(late.daemon.directory.members) < 4:
                        await trio.sleep(0.01)
                names = {member.name for member in late.daemon.directory.members}
                self.assertFalse([name for name in names if name.startswith("odd")])
                for node in mesh.nodes:
                    self.assertEqual((await node.call("/a")).status, 200)

        trio.run(run)
