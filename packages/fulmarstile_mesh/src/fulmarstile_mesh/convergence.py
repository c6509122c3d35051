"""Reports which daemons have applied a configuration version."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarstile_mesh.view import counts_for_convergence, list_members_for_customer

if TYPE_CHECKING:
    from fulmarstile_mesh.view import MeshView
    from fulmarstile_wire.records import MemberRecord, MemberStatus


@dataclass(frozen=True, slots=True)
class MissingMember:
    """A daemon that has not applied the version."""

    daemon_id: str
    version: int
    """Version that the daemon has applied; 0 if none is known."""
    status: MemberStatus
    since_s: float
    """Time since the local daemon applied its version, in seconds."""


@dataclass(frozen=True, slots=True)
class ConvergenceReport:
    """How many daemons have applied a version of a customer's configuration."""

    customer: str
    version: int
    total: int
    """Number of alive or suspected daemons that need the customer's configuration."""
    in_force: int
    """Number of these daemons that have applied this version or a later one."""
    missing: tuple[MissingMember, ...]

    @property
    def is_complete(self) -> bool:
        """Whether all of these daemons have applied the version."""
        return not self.missing


def compute_convergence(
    view: MeshView, customer: str, version: int, now: float
) -> ConvergenceReport:
    """Reports which daemons have applied a version.

    Args:
        view: Membership view.
        customer: Customer that the configuration belongs to.
        version: Version that the daemons should have applied.
        now: Current time, in seconds.

    Returns:
        The report; a daemon counts as missing if only an earlier incarnation of it has reported.
    """
    members = [
        record
        for record in list_members_for_customer(view, customer)
        if counts_for_convergence(record)
    ]
    since_s = max(0.0, now - view.applied_changed_at(view.record.daemon_id, customer))
    missing = tuple(
        MissingMember(
            daemon_id=record.daemon_id,
            version=_get_applied_version(view, record, customer),
            status=record.status,
            since_s=since_s,
        )
        for record in members
        if _get_applied_version(view, record, customer) < version
    )
    return ConvergenceReport(
        customer=customer,
        version=version,
        total=len(members),
        in_force=len(members) - len(missing),
        missing=missing,
    )


def _get_applied_version(view: MeshView, record: MemberRecord, customer: str) -> int:
    applied = view.applied.get((record.daemon_id, customer))
    if applied is None or applied.incarnation < record.incarnation:
        return 0
    return applied.version
