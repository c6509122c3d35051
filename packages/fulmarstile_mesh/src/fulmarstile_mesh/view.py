"""What the relay needs to know about the members of the mesh."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from fulmarstile_wire.records import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarstile_wire.records import AppliedRecord, MemberRecord


class MeshView(Protocol):
    """View of the members; `Membership` satisfies it."""

    @property
    def record(self) -> MemberRecord:
        """Record of the local daemon."""
        ...

    @property
    def members(self) -> Mapping[str, MemberRecord]:
        """Known members by `daemon_id`, the local daemon included."""
        ...

    @property
    def members_version(self) -> int:
        """Number that changes whenever a member's record does."""
        ...

    @property
    def active_peers(self) -> tuple[MemberRecord, ...]:
        """Members that the local daemon keeps links with."""
        ...

    @property
    def applied(self) -> Mapping[tuple[str, str], AppliedRecord]:
        """Applied versions by `daemon_id` and customer."""
        ...

    @property
    def is_settled(self) -> bool:
        """Whether the view has been learnt from a member, or no member can be found."""
        ...

    def observed_at(self, daemon_id: str, customer: str) -> float:
        """Returns when the applied version of a member last changed in this view."""
        ...


def is_running(record: MemberRecord) -> bool:
    """Returns whether a member takes part in the mesh, draining members included."""
    return record.status < MemberStatus.DEAD


def counts_for_convergence(record: MemberRecord) -> bool:
    """Returns whether a member has to put new versions in force."""
    return record.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)


def list_members_for_customer(view: MeshView, customer: str) -> list[MemberRecord]:
    """Returns the running members that need a customer's configuration, by `daemon_id`."""
    members = view.members
    return [
        members[daemon_id]
        for daemon_id in sorted(members)
        if is_running(members[daemon_id]) and customer in members[daemon_id].customers
    ]
