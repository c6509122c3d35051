"""What one daemon knows about roll-outs, for tests that run no daemon."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import msgspec

from fulmarstile_daemon.services._call import ServiceCall
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_daemon.services._version_choice import VersionChoice
from fulmarstile_daemon.services.active_routes import ActiveRoutes, DocumentKnowledge
from fulmarstile_daemon.services.documents import ActiveDocument
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_daemon.services.ports import ReceivedOrder
from fulmarstile_daemon.services.rollouts import Rollouts
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_services.directory import Directory
from fulmarstile_services.rollouts.model import RolloutOrder
from fulmarstile_services.routing_table import RoutingTable
from fulmarstile_services.settings import RequiredBounds, RolloutBounds
from fulmarstile_services.slot_class import SlotClass
from fulmarstile_testing.builders.service_mesh import make_local_upstream, make_node_settings
from fulmarstile_testing.builders.services import make_document, make_member, make_route
from fulmarstile_testing.fakes.keyed_log import FakeKeyedLog
from fulmarstile_testing.fakes.service_platform import FakePlatform
from fulmarstile_wire.rollouts import RolloutPhase
from fulmarstile_wire.services import MemberPhase

if TYPE_CHECKING:
    from fulmarstile_daemon.services._known_rollout import KnownRollout
    from fulmarstile_wire.services import Member

ROLLOUT_BOUNDS = RequiredBounds(rollout=RolloutBounds(0.1, 50.0, 5.0))
"""Bounds of a deployment with roll-outs."""


class RolloutKnowledge:
    """Knowledge of a daemon that has no upstream, with a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 1_000.0
        """Time in seconds."""
        self.routes = ActiveRoutes()
        self.routes.table = RoutingTable(make_document(make_route()))
        settings = make_node_settings("entry", "other", "zone-a", "127.0.0.1:1")
        platform = FakePlatform(settings, FakeKeyedLog(), {})
        local_member = make_member("entry", phase=MemberPhase.ABSENT, incarnation=100_000)
        self.directory = Directory(local_member)
        self.log = EventLog("entry")
        self.documents = ActiveDocument(platform, self.routes, self.log)
        self.documents.was_read = True
        self.upstream = make_local_upstream()
        self.rollouts = Rollouts(
            ROLLOUT_BOUNDS.rollout,
            platform,
            self.directory,
            self.documents,
            self.routes,
            self.upstream,
            self.log,
            lambda: self.now,
        )
        self.choice = VersionChoice(self.directory, self.rollouts, random.Random(1))

    def add_upstreams(self, **versions: str) -> None:
        """Adds daemons beside serving upstreams, or changes them, by name and version."""
        members = []
        for name, version in versions.items():
            known = self.directory.find(name)
            revision = known.revision + 1 if known else 0
            members.append(make_member(name, upstream_version=version, revision=revision))
        self.directory.merge_members(members)

    def remove_upstreams(self, *names: str) -> None:
        """Lets upstreams stop."""
        known = [member for member in self.directory.members if member.name in names]
        self.directory.merge_members(
            msgspec.structs.replace(member, phase=MemberPhase.LEAVING, revision=member.revision + 1)
            for member in known
        )

    def order(self, version: str = "v2", offset: int = 1, duration_s: float = 60.0) -> KnownRollout:
        """Receives an order for `shop`."""
        received = ReceivedOrder(RolloutOrder("shop", version, duration_s, offset))
        rollout = self.rollouts.on_order(received, "store")
        assert rollout is not None
        return rollout

    def tell(self, phase: RolloutPhase = RolloutPhase.CANARY, **changes: Any) -> None:
        """Receives a state of the newest order from an evaluator."""
        rollout = self.rollouts.find("shop")
        assert rollout is not None
        state = rollout.make_state(phase, "", self.now)
        state = msgspec.structs.replace(state, **changes)
        self.rollouts.merge(rollout, state)

    def choose(self, call: ServiceCall | None = None) -> tuple[Member, ...]:
        """Chooses the members for the next attempt of a request; by default of a new one."""
        return self.choice.choose(call or make_call())

    def choose_names(self, call: ServiceCall | None = None) -> list[str]:
        """Like `choose`; returns their names."""
        return [member.name for member in self.choose(call)]


def make_call() -> ServiceCall:
    """Makes a new request to `shop`."""
    request = ReceivedRequest(b"GET", b"/a", MessageHeaders(end_to_end=[]), b"", 0.0)
    return ServiceCall(
        request,
        "request-1",
        make_route(),
        "shop",
        "",
        deadline=10.0,
        useful_until=10.0,
        priority=SlotClass.OTHER,
        has_parent=False,
        known=DocumentKnowledge(1, None, None),
        fingerprint=b"",
        scope=None,  # type: ignore[arg-type]
    )
