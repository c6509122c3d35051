"""A call proxy in a process of its own, configured by flags, for the bench of calls."""

from __future__ import annotations

import gc
import random
from dataclasses import dataclass, field

import trio
from absl import app, flags

from fulmarstile_calls.admission import FairAdmission, FifoAdmission, UnboundedAdmission
from fulmarstile_calls.balancing import RandomBalancer, RoundRobinBalancer
from fulmarstile_calls.request import UpstreamEndpoint
from fulmarstile_calls.retries import FixedRetries
from fulmarstile_config.document import Document, Limit, Pool, RetryRule, Route, Service
from fulmarstile_config.routing_table import RoutingTable, compile_document
from fulmarstile_daemon.calls import CallProxy, CallSettings
from fulmarstile_daemon.calls._local_upstream import LocalUpstream

_SERVICE = "planning"
_MESH_KEY = b"mesh key of the bench"
_ADMISSIONS = {
    "fair": FairAdmission,
    "fifo": FifoAdmission,
    "unbounded": UnboundedAdmission,
}


@dataclass(eq=False)
class BenchContext:
    """State of a daemon that never changes."""

    daemon_id: str
    endpoints: tuple[UpstreamEndpoint, ...]
    routing_table: RoutingTable
    default_customer: str = "laundry"
    claims: None = None
    crashes: list[tuple[bytes, ...]] = field(default_factory=list)

    def is_starting(self, customer: str) -> bool:
        """See `CallContext.is_starting`."""
        return False

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """See `CallContext.is_quarantined`."""
        return False

    def on_upstream_crash(self, fingerprints: tuple[bytes, ...]) -> None:
        """See `CallContext.on_upstream_crash`."""
        self.crashes.append(fingerprints)


def make_routing_table(timeout_ms: int, customers: tuple[str, ...]) -> RoutingTable:
    """Makes a table with the same routes for each customer.

    Args:
        timeout_ms: Timeout of the routes.
        customers: Customers.

    Returns:
        The table.
    """
    document = Document(
        services=(Service(_SERVICE),),
        pools=(Pool("planning", _SERVICE),),
        limits=(Limit("all", calls_per_s=1e6, burst=1_000_000),),
        retries=(RetryRule("read", attempts=3, budget_percent=10.0),),
        routes=(
            Route(
                "slots",
                "/slots",
                "planning",
                limit="all",
                retry="read",
                idempotent=True,
                timeout_ms=timeout_ms,
            ),
        ),
    )
    return RoutingTable(
        {customer: compile_document(customer, document, 1) for customer in customers}
    )


def _make_endpoints(name: str) -> tuple[UpstreamEndpoint, ...]:
    values = flags.FLAGS
    endpoints = [
        UpstreamEndpoint(address, address, _SERVICE, "be-bru", "be", values.slots, False)
        for address in values.peers
    ]
    if values.upstream:
        endpoints.append(
            UpstreamEndpoint(name, "127.0.0.1:0", _SERVICE, "be-bru", "be", values.slots, True)
        )
    return tuple(endpoints)


def _make_proxy() -> CallProxy:
    values = flags.FLAGS
    settings = CallSettings(_MESH_KEY, availability_zone="be-bru", queue_limit=values.queue_limit)
    customers = ("laundry", "quiet", "noisy")
    context = BenchContext(
        values.name, _make_endpoints(values.name), make_routing_table(values.timeout_ms, customers)
    )
    balancers = {
        "two-choices": None,
        "random": RandomBalancer(random.Random(1)),
        "round-robin": RoundRobinBalancer(),
    }
    return CallProxy(
        settings,
        context,
        balancer=balancers[values.balancer],
        retries=FixedRetries(3) if values.retries == "fixed" else None,
        local=LocalUpstream(settings, _ADMISSIONS[values.admission]),
    )


async def _run_process() -> None:
    values = flags.FLAGS
    proxy = _make_proxy()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(proxy.serve)
        if values.upstream:
            proxy.set_upstream(values.upstream, values.slots, values.connections)
        gc.collect()
        gc.freeze()
        print(f"ready {address}", flush=True)


def _main(_: list[str]) -> None:
    if not flags.FLAGS.profile:
        trio.run(_run_process)
        return
    import cProfile
    import signal

    profile = cProfile.Profile()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        profile.runcall(trio.run, _run_process)
    except BaseException:
        profile.dump_stats(flags.FLAGS.profile)


if __name__ == "__main__":
    flags.DEFINE_string("name", "daemon-1", "identifier of the daemon")
    flags.DEFINE_string("upstream", "", "host:port of the local upstream; empty for none")
    flags.DEFINE_list("peers", [], "host:port of the proxies of other daemons")
    flags.DEFINE_integer("slots", 10, "slots of each upstream")
    flags.DEFINE_integer("connections", 110, "connections of the local upstream")
    flags.DEFINE_integer("queue_limit", 128, "calls that may wait for a slot")
    flags.DEFINE_integer("timeout_ms", 10_000, "timeout of the routes")
    flags.DEFINE_enum("admission", "fair", sorted(_ADMISSIONS), "admission control")
    flags.DEFINE_enum(
        "balancer", "two-choices", ["two-choices", "random", "round-robin"], "balancer"
    )
    flags.DEFINE_enum("retries", "budget", ["budget", "fixed"], "retry policy")
    flags.DEFINE_string("profile", "", "file to write a profile to on SIGTERM")
    app.run(_main)
