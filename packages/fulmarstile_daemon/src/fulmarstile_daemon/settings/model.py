"""Validated settings of the daemon."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """Identity, shutdown and log output of the daemon."""

    name: str
    region: str
    availability_zone: str
    drain_limit_s: float
    log_format: str
    log_level: str


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Links to the other daemons."""

    address: str
    advertise: str
    seeds: tuple[str, ...]
    dissemination: str
    probe_interval_s: float


@dataclass(frozen=True, slots=True)
class CallListenerSettings:
    """Listener for calls."""

    address: str
    advertise: str
    default_customer: str
    queue_limit: int
    max_connections: int
    head_timeout_s: float
    progress_timeout_s: float


@dataclass(frozen=True, slots=True)
class AdminSettings:
    """Listener for operators and for the upstream's announcements."""

    address: str


@dataclass(frozen=True, slots=True)
class LogSettings:
    """The platform's log."""

    address: str
    timeout_s: float
    retention_s: float


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """Settings that all daemons of the mesh share."""

    key: bytes
    """Key that authenticates daemons and snapshots."""


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon."""

    daemon: DaemonSettings
    peers: PeerSettings
    calls: CallListenerSettings
    admin: AdminSettings
    log: LogSettings
    mesh: MeshSettings
    customers: Mapping[str, bytes]
    """Owner's public key of each customer whose configuration the daemon needs."""
