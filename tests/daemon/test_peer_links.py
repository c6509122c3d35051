"""Links between daemons drop messages rather than block, and authenticate frames."""

from __future__ import annotations

import random
import unittest

import trio

from fulmarstile_daemon.peers import open_peer_links
from fulmarstile_daemon.peers.frame_auth import add_auth_tag, verify_and_strip_tag
from fulmarstile_daemon.peers.links import SEND_BUFFER_MESSAGES, PeerListenError
from fulmarstile_testing.free_ports import find_free_ports
from fulmarstile_wire.codec import MAX_FRAME_BYTES
from fulmarstile_wire.errors import WireError
from fulmarstile_wire.messages import Probe, SnapshotOffer

KEY = bytes(32)
OTHER_KEY = bytes([1]) * 32
RECEIVE_LIMIT_S = 30


def build_addresses(count: int) -> list[str]:
    return [f"127.0.0.1:{port}" for port in find_free_ports(count)]


class PeerLinksTest(unittest.TestCase):
    def test_messages_arrive_before_and_after_a_disconnect(self) -> None:
        async def run() -> None:
            first, second = build_addresses(2)
            with open_peer_links(first, KEY) as sender, open_peer_links(second, KEY) as receiver:
                with trio.fail_after(RECEIVE_LIMIT_S):
                    sender.send(second, Probe("a", first, 1))
                    self.assertEqual((await receiver.receive()).sequence, 1)
                    sender.disconnect(second)
                    self.assertEqual(sender.addresses, ())
                    sender.send(second, Probe("a", first, 2))
                    self.assertEqual((await receiver.receive()).sequence, 2)

        trio.run(run)

    def test_a_frame_with_another_mesh_key_is_refused_and_counted(self) -> None:
        async def run() -> None:
            first, second, third = build_addresses(3)
            with (
                open_peer_links(first, KEY) as sender,
                open_peer_links(second, KEY) as receiver,
                open_peer_links(third, OTHER_KEY) as stranger,
            ):
                with trio.fail_after(RECEIVE_LIMIT_S):
                    stranger.send(second, Probe("x", third, 1))
                    while receiver.counters.refused_frames == 0:
                        sender.send(second, Probe("a", first, 2))
                        self.assertEqual((await receiver.receive()).sender, "a")

        trio.run(run)

    def test_messages_to_an_unreachable_peer_are_dropped_once_the_link_is_full(self) -> None:
        async def run() -> None:
            first, unreachable = build_addresses(2)
            with open_peer_links(first, KEY) as sender:
                for number in range(2 * SEND_BUFFER_MESSAGES):
                    sender.send(unreachable, Probe("a", first, number))
                self.assertEqual(sender.counters.dropped_messages, SEND_BUFFER_MESSAGES)

        trio.run(run)

    def test_an_oversize_message_is_dropped_and_counted(self) -> None:
        async def run() -> None:
            first, second = build_addresses(2)
            with open_peer_links(first, KEY) as sender:
                payload = random.Random(1).randbytes(MAX_FRAME_BYTES)
                sender.send(second, SnapshotOffer("a", first, "laundry", payload))
                self.assertEqual(sender.counters.dropped_messages, 1)

        trio.run(run)

    def test_an_address_in_use_is_a_clear_error(self) -> None:
        (address,) = build_addresses(1)
        with (
            open_peer_links(address, KEY),
            self.assertRaisesRegex(PeerListenError, "cannot listen at"),
            open_peer_links(address, KEY),
        ):
            self.fail("the address was opened twice")

    def test_a_modified_frame_is_rejected(self) -> None:
        tagged_frame = add_auth_tag(b"frame", KEY)
        self.assertEqual(verify_and_strip_tag(tagged_frame, KEY), b"frame")
        with self.assertRaises(WireError):
            verify_and_strip_tag(tagged_frame[:-1] + b"x", KEY)
