"""Read-only view of the mesh members, as the relay core needs it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from fulmarstile_wire.records import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarstile_wire.records import AppliedRecord, MemberRecord


class MeshView(Protocol):
    """View of the members; implemented by `Membership`."""

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
        """Version number that changes whenever a member record changes."""
        ...

    @property
    def active_peers(self) -> tuple[MemberRecord, ...]:
        """Members that the local daemon has direct links to."""
        ...

    @property
    def applied(self) -> Mapping[tuple[str, str], AppliedRecord]:
        """Applied configuration versions, keyed by `daemon_id` and customer."""
        ...

    @property
    def is_settled(self) -> bool:
        """Whether a settled member has sent its view, or the settle timeout has passed."""
        ...

    def applied_changed_at(self, daemon_id: str, customer: str) -> float:
        """Returns the local time at which the applied version of a member last changed."""
        ...


def is_running(record: MemberRecord) -> bool:
    """Returns whether a member takes part in the mesh; draining members still do."""
    return record.status < MemberStatus.DEAD


def counts_for_convergence(record: MemberRecord) -> bool:
    """Returns whether a member is expected to apply new versions."""
    return record.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)


def list_members_for_customer(view: MeshView, customer: str) -> list[MemberRecord]:
    """Returns the running members that need a customer's configuration, sorted by `daemon_id`."""
    members = view.members
    return [
        members[daemon_id]
        for daemon_id in sorted(members)
        if is_running(members[daemon_id]) and customer in members[daemon_id].customers
    ]
