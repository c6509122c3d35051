"""Accounts for which daemons have a configuration version in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarstile_mesh.view import counts_for_convergence, list_members_for_customer

if TYPE_CHECKING:
    from fulmarstile_mesh.view import MeshView
    from fulmarstile_wire.records import MemberRecord, MemberStatus


@dataclass(frozen=True, slots=True)
class MissingMember:
    """A daemon that does not have the version in force."""

    daemon_id: str
    version: int
    """Version in force there; 0 if none is known."""
    status: MemberStatus
    since_s: float
    """Time since the local daemon put its version in force, in seconds."""


@dataclass(frozen=True, slots=True)
class ConvergenceReport:
    """How far a version of a customer's configuration is in force."""

    customer: str
    version: int
    total: int
    """Daemons that the customer concerns and that are alive or suspected."""
    in_force: int
    """Daemons among them with this version or a later one in force."""
    missing: tuple[MissingMember, ...]

    @property
    def is_complete(self) -> bool:
        """Whether the version is in force everywhere."""
        return not self.missing


def compute_convergence(
    view: MeshView, customer: str, version: int, now: float
) -> ConvergenceReport:
    """Counts the daemons that have a version in force.

    Args:
        view: Membership view.
        customer: Customer whose configuration is meant.
        version: Version that should be in force.
        now: Current time, in seconds.

    Returns:
        The report; daemons of which only an earlier incarnation has reported are missing.
    """
    concerned = [
        record
        for record in list_members_for_customer(view, customer)
        if counts_for_convergence(record)
    ]
    since_s = max(0.0, now - view.observed_at(view.record.daemon_id, customer))
    missing = tuple(
        MissingMember(
            daemon_id=record.daemon_id,
            version=_get_version(view, record, customer),
            status=record.status,
            since_s=since_s,
        )
        for record in concerned
        if _get_version(view, record, customer) < version
    )
    return ConvergenceReport(
        customer=customer,
        version=version,
        total=len(concerned),
        in_force=len(concerned) - len(missing),
        missing=missing,
    )


def _get_version(view: MeshView, record: MemberRecord, customer: str) -> int:
    applied = view.applied.get((record.daemon_id, customer))
    if applied is None or applied.incarnation < record.incarnation:
        return 0
    return applied.version
