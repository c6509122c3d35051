"""Probes find out who can be reached, and carry nothing that many would send at a time."""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass, field

import trio

from fulmarstile_daemon.services.documents import ActiveDocument, ActiveRoutes
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_daemon.services.gossip import Gossip
from fulmarstile_daemon.services.membership import Membership
from fulmarstile_services.balancing import BalancingSettings, LeastWaitBalancer
from fulmarstile_services.directory import Directory
from fulmarstile_testing.builders.service_mesh import make_node_settings
from fulmarstile_testing.builders.services import make_member
from fulmarstile_testing.fakes.keyed_log import FakeKeyedLog
from fulmarstile_testing.fakes.service_platform import FakePlatform
from fulmarstile_wire.services import Member, SyncReply, SyncRequest

OTHER = make_member("other")
OTHER_DIGEST = b"another"


@dataclass
class RecordingLinks:
    """Replies for a daemon that knows something else, and keeps what it was sent."""

    sent: list[SyncRequest] = field(default_factory=list)

    async def synchronize(
        self, member: Member, message: SyncRequest, timeout_s: float
    ) -> SyncReply:
        self.sent.append(message)
        return SyncReply(member.name, OTHER_DIGEST)


def make_gossip(links: RecordingLinks) -> Gossip:
    """Makes the exchanges of a daemon that knows one other."""
    log = EventLog("daemon-1")
    directory = Directory(make_member())
    directory.merge_members([OTHER])
    platform = FakePlatform(make_node_settings("daemon-1", "shop", "a", ""), FakeKeyedLog(), {})
    generator = random.Random(1)
    return Gossip(
        directory,
        Membership(directory, log, lambda: None),
        ActiveDocument(platform, ActiveRoutes(), log),
        LeastWaitBalancer(BalancingSettings(), "a", generator),
        links,
        generator,
        log,
    )


class ProbeTest(unittest.TestCase):
    def test_a_probe_is_answered_without_state(self) -> None:
        async def run() -> None:
            gossip = make_gossip(RecordingLinks())
            probe = SyncRequest("other", OTHER_DIGEST, is_probe=True)
            reply = gossip.on_sync(probe)
            self.assertEqual((reply.members, reply.bucket_digests), ((), b""))
            exchange = SyncRequest("other", OTHER_DIGEST)
            reply = gossip.on_sync(exchange)
            self.assertNotEqual(reply.bucket_digests, b"")
            wanted = gossip.on_sync(SyncRequest("other", OTHER_DIGEST, wanted=frozenset(range(65))))
            self.assertEqual(len(wanted.members), 2)

        trio.run(run)

    def test_nothing_is_sent_after_a_probe_that_shows_a_difference(self) -> None:
        async def run() -> None:
            links = RecordingLinks()
            gossip = make_gossip(links)
            self.assertTrue(await gossip.exchange(OTHER, is_probe=True))
            self.assertEqual([each.is_probe for each in links.sent], [True])
            self.assertTrue(await gossip.exchange(OTHER))
            self.assertEqual([len(each.members) for each in links.sent], [0, 0, 2])

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
