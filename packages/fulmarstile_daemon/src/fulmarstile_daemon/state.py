"""Dump of the daemon's complete state, for operators."""

from __future__ import annotations

import resource
from dataclasses import asdict, is_dataclass
from typing import TYPE_CHECKING, Any

from fulmarstile_daemon.admin.views import describe_customer, describe_member

if TYPE_CHECKING:
    from fulmarstile_daemon.core import DaemonCore
    from fulmarstile_daemon.daemon import Daemon


def describe_state(daemon: Daemon) -> dict[str, Any]:
    """Describes the state of a daemon.

    Args:
        daemon: The daemon.

    Returns:
        The state as data that can be encoded as JSON.
    """
    core = daemon.core
    membership = core.membership
    members = sorted(membership.members.items())
    return {
        "daemon": _to_plain_data(membership.record),
        "leaving": daemon.is_leaving,
        "upstream": _to_plain_data(daemon.lease.announcement),
        "upstream_status": daemon.lease.status.name.lower(),
        "applied": dict(sorted(core.routing_table.versions.items())),
        "customers": [describe_customer(fold) for _, fold in sorted(core.folds.items())],
        "members": [describe_member(item, membership.upstreams) for _, item in members],
        "endpoints": [asdict(endpoint) for endpoint in core.endpoints],
        "links": daemon.links.addresses,
        "claims": _describe_claims(core),
        "calls": daemon.proxy.dump(),
        "membership": membership.dump(),
        "counters": {
            "core": _to_plain_data(core.counters),
            "membership": _to_plain_data(membership.counters),
            "relay": _to_plain_data(core.relay.counters),
            "links": _to_plain_data(daemon.links.counters),
            "log": _to_plain_data(daemon.log_worker.counters),
            "calls": _to_plain_data(daemon.proxy.counters),
            "folds": {
                customer: _to_plain_data(fold.counters)
                for customer, fold in sorted(core.folds.items())
            },
        },
        "process": _describe_process(),
    }


def _to_plain_data(value: Any) -> Any:
    if is_dataclass(value) and not isinstance(value, type):
        return asdict(value)
    return value


def _describe_claims(core: DaemonCore) -> dict[str, Any]:
    return {
        "pending": core.requester.pending_count,
        "held": core.requester.held_count,
        "unconfirmed_outcomes": core.requester.unconfirmed_count,
        "shards": core.batchers.shards,
        "keys": core.batchers.key_count,
        "appends": core.batchers.append_count,
    }


def _describe_process() -> dict[str, float]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "processor_s": usage.ru_utime + usage.ru_stime,
        "peak_memory_kib": usage.ru_maxrss,
    }
