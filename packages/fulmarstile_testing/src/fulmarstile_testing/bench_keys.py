"""Cost of callers' keys, and of keeping the knowledge of the document recent.

Run as `python -m fulmarstile_testing.bench_keys`. The times depend on the machine; the other
figures come from virtual time.
"""

from __future__ import annotations

import time
import tracemalloc

import trio
from absl import app, flags

from fulmarstile_daemon.services._authentication import Authenticator
from fulmarstile_daemon.services._boot_clock import read_boot_clock
from fulmarstile_daemon.services._replies import CallReplies
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_daemon.services.active_routes import ActiveRoutes
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_daemon.services.metrics import ServiceMetrics
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_services.freshness import Freshness
from fulmarstile_services.routing_table import RoutingTable
from fulmarstile_services.settings import RevocationBounds
from fulmarstile_testing.builders.services import make_customer, make_document, make_route
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_testing.virtual_documents import STEP_S, VirtualDocumentFleet, run_document_fleet

_CUSTOMERS = flags.DEFINE_list("customers", ["10", "84", "10000"], "Numbers of customers.")
_KEYS = flags.DEFINE_integer("keys", 4, "Keys of each customer.")
_REQUESTS = flags.DEFINE_integer("requests", 5_000, "Requests of each run.")
_RUNS = flags.DEFINE_integer("runs", 15, "Runs, of which the fastest counts.")
_DAEMONS = flags.DEFINE_list("daemons", ["1", "6", "14"], "Daemons in virtual time.")
_SECONDS = flags.DEFINE_float("seconds", 120.0, "Virtual time.")
_REVOKE_S = flags.DEFINE_float("revoke_s", 5.0, "Bound of revocations, in seconds.")


def make_key(customer: int, number: int) -> str:
    """Makes one of the keys of a customer."""
    return f"key-{customer}-{number:032x}"


def make_table(customers: int) -> RoutingTable:
    """Makes the table of a document with customers, half of them with a priority."""
    rows = (
        make_customer(
            f"customer-{row}",
            *(make_key(row, number) for number in range(_KEYS.value)),
            priority=0 if row % 2 else None,
        )
        for row in range(customers)
    )
    return RoutingTable(make_document(make_route(), customers=tuple(rows)))


def make_request(key: str) -> ReceivedRequest:
    """Makes a request with ten headers."""
    headers = [(b"host", b"shop.example"), *((b"x-%d" % number, b"value") for number in range(8))]
    headers.append((HEADER_NAMES.api_key, key.encode()))
    return ReceivedRequest(b"GET", b"/a", MessageHeaders(headers), b"", 0.0)


def measure_stage_us(table: RoutingTable, customers: int) -> float:
    """Returns the processor time of the stage for one request, in microseconds."""
    metrics = ServiceMetrics()
    replies = CallReplies(HEADER_NAMES, ActiveRoutes(), metrics, EventLog("bench"))
    freshness = Freshness(RevocationBounds(3_600.0))
    freshness.confirm(read_boot_clock())
    stage = Authenticator(HEADER_NAMES, freshness, replies, metrics, lambda: False)
    (route,) = table.document.routes
    requests = [
        make_request(make_key(number % customers, number % _KEYS.value))
        for number in range(_REQUESTS.value)
    ]
    times_s = []
    for _ in range(_RUNS.value):
        started_at = time.process_time()
        for request in requests:
            stage.authenticate(request, route, table, is_nested=False)
        times_s.append(time.process_time() - started_at)
    return min(times_s) / len(requests) * 1e6


def print_keys(customers: int) -> None:
    """Prints the cost of the keys of a number of customers."""
    tracemalloc.start()
    table = make_table(customers)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    stage_us = measure_stage_us(table, customers)
    print(f"{customers:>9} customers {held_bytes / 1e6:6.2f} MB {stage_us:6.2f} us a request")


def print_freshness(daemons: int) -> None:
    """Prints the age of the knowledge and the reads of the store while nothing happens."""

    async def scenario(fleet: VirtualDocumentFleet) -> None:
        nodes = fleet.nodes.values()
        reads = sum(node.store.reads for node in nodes)
        oldest_s = 0.0
        ends_at = trio.current_time() + _SECONDS.value
        while trio.current_time() < ends_at:
            ages_s = (node.freshness.age_s(node.read_clock()) for node in nodes)
            oldest_s = max(oldest_s, *ages_s, 0.0)
            await trio.sleep(STEP_S)
        reads = sum(node.store.reads for node in nodes) - reads
        rate = reads / len(nodes) / _SECONDS.value
        print(f"{daemons:>9} daemons   oldest {oldest_s:.2f} s  {rate:.2f} reads/s each")

    run_document_fleet(daemons, _REVOKE_S.value, scenario)


def main(argv: list[str]) -> None:
    """Prints a line for each number of customers and of daemons."""
    del argv
    for customers in _CUSTOMERS.value:
        print_keys(int(customers))
    for daemons in _DAEMONS.value:
        print_freshness(int(daemons))


if __name__ == "__main__":
    app.run(main)
