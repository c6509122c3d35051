"""Converts the daemon's state to the JSON bodies of the admin interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_wire.admin import (
    ConvergenceView,
    CustomerView,
    MemberView,
    MissingView,
    RefusalView,
    SectionView,
    UpstreamView,
    VerdictView,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarstile_config import CustomerFold, PublicationVerdict
    from fulmarstile_mesh import ConvergenceReport
    from fulmarstile_wire.records import MemberRecord, UpstreamRecord


def describe_customer(fold: CustomerFold) -> CustomerView:
    """Returns the view of a customer's fold."""
    head = fold.head
    sections = {
        name: SectionView(state.version, state.team, state.publication_id)
        for name, state in sorted(fold.sections.items())
    }
    return CustomerView(
        customer=fold.customer,
        version=fold.version,
        digest=head.digest.hex(),
        generation=head.generation,
        next_offset=head.next_offset,
        sequence=fold.sequence,
        sections=sections,
    )


def describe_verdict(verdict: PublicationVerdict) -> VerdictView:
    """Returns the view of a publication's verdict."""
    refusal = verdict.refusal
    return VerdictView(
        publication_id=verdict.publication_id,
        team=verdict.team,
        offset=verdict.offset,
        appended_at_ms=verdict.appended_at_ms,
        accepted=verdict.accepted,
        version=verdict.version,
        sections=verdict.sections,
        refusal=refusal
        and RefusalView(refusal.code.value, refusal.reason, refusal.section, refusal.line),
    )


def describe_convergence(report: ConvergenceReport) -> ConvergenceView:
    """Returns the view of a convergence report."""
    missing = tuple(
        MissingView(item.daemon_id, item.version, item.status.name.lower(), item.since_s)
        for item in report.missing
    )
    return ConvergenceView(report.version, report.total, report.in_force, missing)


def describe_member(member: MemberRecord, upstreams: Mapping[str, UpstreamRecord]) -> MemberView:
    """Returns the view of a member and its local upstream."""
    upstream = upstreams.get(member.daemon_id)
    views = ()
    if upstream is not None:
        views = (UpstreamView(upstream.service, upstream.status.name.lower(), upstream.slots),)
    return MemberView(
        daemon_id=member.daemon_id,
        status=member.status.name.lower(),
        incarnation=member.incarnation,
        peer_address=member.peer_address,
        calls_address=member.calls_address,
        availability_zone=member.availability_zone,
        region=member.region,
        upstreams=views,
    )
