"""Builders of a daemon's decision core."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from fulmarstile_daemon.assembly import CoreSettings, TrustedKeys, assemble_core
from fulmarstile_wire.records import MemberRecord, MemberStatus

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarstile_daemon.core import DaemonCore

MESH_KEY: Final = bytes(32)
"""Mesh key of the cores built here."""


def build_member(daemon_id: str = "planning-1", number: int = 1) -> MemberRecord:
    """Returns the record of a daemon."""
    return MemberRecord(
        daemon_id=daemon_id,
        incarnation=number,
        status=MemberStatus.ALIVE,
        peer_address=f"10.0.0.{number}:7400",
        calls_address=f"10.0.0.{number}:7401",
        availability_zone="be-bru",
        region="belgium",
        customers=("laundry",),
    )


def build_core(owners: Mapping[str, bytes], record: MemberRecord | None = None) -> DaemonCore:
    """Builds a core.

    Args:
        owners: Owner's public key of each customer, raw bytes.
        record: Record of the daemon.

    Returns:
        The core, without any other member.
    """
    record = record or build_member()
    keys = TrustedKeys(owners, MESH_KEY)
    return assemble_core(CoreSettings(), record, keys, random.Random(1))
