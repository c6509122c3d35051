"""Decision cores for membership, the peer overlay and configuration dissemination; no I/O."""

from fulmarstile_mesh.convergence import ConvergenceReport, MissingMember, compute_convergence
from fulmarstile_mesh.effects import (
    AppendLog,
    Apply,
    Disconnect,
    Effect,
    MembersChanged,
    ReadLog,
    Send,
)
from fulmarstile_mesh.membership import Membership
from fulmarstile_mesh.membership_state import MembershipCounters, MembershipState
from fulmarstile_mesh.relay import Relay
from fulmarstile_mesh.relay_state import RelayCounters, RelayState, StreamState
from fulmarstile_mesh.rendezvous import RENDEZVOUS_STREAM, decode_rendezvous, encode_rendezvous
from fulmarstile_mesh.replica import StreamReplica
from fulmarstile_mesh.settings import DisseminationMode, MembershipSettings, RelaySettings
from fulmarstile_mesh.view import MeshView

__all__ = [
    "AppendLog",
    "Apply",
    "ConvergenceReport",
    "Disconnect",
    "DisseminationMode",
    "Effect",
    "Membership",
    "MembershipCounters",
    "MembershipSettings",
    "MembershipState",
    "MembersChanged",
    "MeshView",
    "MissingMember",
    "ReadLog",
    "Relay",
    "RelayCounters",
    "RelaySettings",
    "RelayState",
    "RENDEZVOUS_STREAM",
    "Send",
    "StreamReplica",
    "StreamState",
    "compute_convergence",
    "decode_rendezvous",
    "encode_rendezvous",
]
