"""Assembles the decision cores of one daemon."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fulmarstile_calls.claims import ClaimRequester, ClaimSettings, ShardBatchers
from fulmarstile_config import CustomerFold, is_snapshot
from fulmarstile_daemon.core import DaemonCore
from fulmarstile_mesh import Membership, MembershipSettings, Relay, RelaySettings

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarstile_wire.records import MemberRecord


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """Settings of the decision cores."""

    membership: MembershipSettings = field(default_factory=MembershipSettings)
    relay: RelaySettings = field(default_factory=RelaySettings)
    claims: ClaimSettings = field(default_factory=ClaimSettings)


@dataclass(frozen=True, slots=True)
class TrustedKeys:
    """Keys that authenticate configuration."""

    owners: Mapping[str, bytes]
    """Owner's public key of each customer, raw bytes."""
    mesh_key: bytes
    """Key that authenticates snapshots."""


def assemble_core(
    settings: CoreSettings, record: MemberRecord, keys: TrustedKeys, generator: random.Random
) -> DaemonCore:
    """Builds the cores of a daemon.

    Args:
        settings: Settings of the cores.
        record: Record of the daemon.
        keys: Keys of the customers and the mesh.
        generator: Random number generator that seeds those of the cores.

    Returns:
        The core that combines them.
    """
    membership = Membership(settings.membership, record, random.Random(generator.random()))
    folds = {
        customer: CustomerFold(customer, owner_key, keys.mesh_key)
        for customer, owner_key in sorted(keys.owners.items())
    }
    relay = Relay(
        settings.relay,
        record.daemon_id,
        record.peer_address,
        record.availability_zone,
        record.region,
        folds,
        membership,
        random.Random(generator.random()),
        is_snapshot,
    )
    requester = ClaimRequester(
        settings.claims, record.daemon_id, record.peer_address, record.incarnation
    )
    batchers = ShardBatchers(settings.claims, record.daemon_id, record.peer_address)
    return DaemonCore(membership, relay, folds, requester, batchers)
