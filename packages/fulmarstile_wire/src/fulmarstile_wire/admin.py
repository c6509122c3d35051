"""JSON bodies of the daemons' admin interface, shared with the operators' command."""

from __future__ import annotations

import msgspec


class SectionView(msgspec.Struct, frozen=True):
    """A section in force."""

    version: int
    team: str
    publication_id: str


class CustomerView(msgspec.Struct, frozen=True):
    """A customer's configuration as a daemon has folded it."""

    customer: str
    version: int
    digest: str
    generation: int
    next_offset: int
    sequence: int
    """Verified publications folded; publishers sign it as `base_sequence`."""
    sections: dict[str, SectionView]


class RefusalView(msgspec.Struct, frozen=True):
    """Why a publication was refused."""

    code: str
    reason: str
    section: str
    line: int


class VerdictView(msgspec.Struct, frozen=True):
    """Outcome of one publication."""

    publication_id: str
    team: str
    offset: int
    appended_at_ms: int
    accepted: bool
    version: int
    sections: tuple[str, ...]
    refusal: RefusalView | None


class MissingView(msgspec.Struct, frozen=True):
    """A daemon on which a version is not in force yet."""

    daemon_id: str
    version: int
    """Version that the daemon has in force."""
    status: str
    since_s: float


class ConvergenceView(msgspec.Struct, frozen=True):
    """On how many daemons a version is in force."""

    version: int
    total: int
    in_force: int
    missing: tuple[MissingView, ...]


class UpstreamView(msgspec.Struct, frozen=True):
    """The upstream beside a daemon."""

    service: str
    status: str
    slots: int


class MemberView(msgspec.Struct, frozen=True):
    """A daemon as known to the one that answers."""

    daemon_id: str
    status: str
    incarnation: int
    peer_address: str
    calls_address: str
    availability_zone: str
    region: str
    upstreams: tuple[UpstreamView, ...]


class ErrorView(msgspec.Struct, frozen=True):
    """Body of an error answer."""

    error: str = ""


class AnnouncementBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body with which an upstream announces itself or renews its lease."""

    service: str
    address: str
    """`host:port` of the upstream, on this VM."""
    slots: int
    connections: int
    status: str = "ready"
    """`ready` or `draining`."""
    ttl_s: float = 10.0
    """Time after which the upstream counts as gone unless it renews its lease, in seconds."""
