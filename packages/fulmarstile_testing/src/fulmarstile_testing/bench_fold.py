"""Measures the fold: time per record, size of snapshots, memory per customer.

Run as `python -m fulmarstile_testing.bench_fold`.
"""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from typing import TYPE_CHECKING, Final

from absl import app, flags

from fulmarstile_config import (
    CustomerFold,
    FoldLimits,
    Publication,
    RefusalCode,
    RoutingTable,
    compile_document,
    encode_record,
)
from fulmarstile_testing.builders.config import (
    CUSTOMER,
    StreamBuilder,
    make_fold,
    make_teams,
)
from fulmarstile_wire.records import StreamRecord

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICES: Final = 78
"""Services of the large document."""

ROUTES_PER_SECTION: Final = 10
"""Routes of each section of the large document."""

FLOOD_RECORDS_PER_S: Final = 250
"""Records that one customer appends per second in the flood."""

FLOOD_S: Final = 60
"""Time of the flood by the log's clock, in seconds."""

_UNLIMITED: Final = 1 << 30

_RECORDS = flags.DEFINE_integer("records", 2000, "Records measured of each kind.", lower_bound=10)


def main(_: list[str]) -> None:
    """Prints the measurements as a table."""
    print(f"{'record':<44}{'median us':>12}{'p99 us':>12}")
    for name, stream in (("small", make_small()), ("large", make_large())):
        _measure_records(name, stream)
    _measure_over_quota()
    _measure_floods()
    for name, stream in (("small", make_small()), ("large", make_large())):
        _measure_snapshots(name, stream)
    _measure_matches()


def make_limits() -> FoldLimits:
    """Returns limits that no measurement meets."""
    return FoldLimits(
        verifications_per_min=_UNLIMITED,
        publications_per_min=_UNLIMITED,
        body_bytes_per_min=_UNLIMITED,
        customer_body_bytes_per_min=_UNLIMITED,
    )


def make_small() -> StreamBuilder:
    """Returns a stream whose document has 6 sections and 2 routes."""
    return StreamBuilder(make_limits()).publish_document()


def make_large() -> StreamBuilder:
    """Returns a stream whose document has 78 services and a route section for each."""
    stream = StreamBuilder(make_limits())
    names = [f"service-{number}" for number in range(SERVICES)]
    owned = {"web": ("routes.*", "limits"), "platform": ("services", "pools", "retries")}
    services = "services:\n" + "".join(f"- name: {name}\n" for name in names)
    pools = "pools:\n" + "".join(f"- name: {name}\n  service: {name}\n" for name in names)
    limits = "limits:\n- name: all\n  calls_per_s: 500\n  burst: 50\n"
    retries = "retries:\n- name: twice\n  attempts: 2\n"
    stream.publish("owner", {"teams": make_teams(owned)})
    stream.publish("platform", {"services": services, "pools": pools, "retries": retries})
    stream.publish("web", {"limits": limits})
    for name in names:
        stream.publish("web", {f"routes.{name}": make_routes(name)})
    return stream


def make_routes(service: str) -> str:
    """Returns a section with the routes of one service."""
    return "routes:\n" + "".join(
        f"- name: {service}-{number}\n  path: /{service}/{number}\n  pool: {service}\n"
        "  limit: all\n  retry: twice\n  methods: [GET, POST]\n"
        for number in range(ROUTES_PER_SECTION)
    )


def _measure_records(name: str, stream: StreamBuilder) -> None:
    missing = "routes:\n- name: lost\n  path: /lost\n  pool: lost\n"

    def accepted(number: int) -> Publication:
        body = f"limits:\n- name: more\n  calls_per_s: {number + 1}\n  burst: 50\n"
        return stream.make_publication("owner", {"limits.more": body})

    def large(number: int) -> Publication:
        services = "".join(f"- name: large-{index}\n" for index in range(1024))
        body = f"services:\n{services}#{number}{'#' * 40_000}\n"
        return stream.make_publication("owner", {"services.large": body})

    def refused(_: int) -> Publication:
        return stream.make_publication("owner", {"routes.lost": missing})

    def forged(_: int) -> Publication:
        return stream.make_publication("owner", {"routes.lost": missing}, key="web")

    def stale(_: int) -> Publication:
        return stream.make_publication("owner", {"routes.lost": missing}, base_sequence=1 << 40)

    def unknown(_: int) -> Publication:
        return stream.make_publication("nobody", {"routes.lost": missing}, key="web")

    for kind, make, code in (
        ("accepted", accepted, None),
        ("refused", refused, RefusalCode.DANGLING_REFERENCE),
        ("forged signature", forged, RefusalCode.BAD_SIGNATURE),
        ("replayed", stale, RefusalCode.REPLAYED),
        ("unknown team", unknown, RefusalCode.UNKNOWN_TEAM),
    ):
        durations = _time_appends(stream, _encode_each(make), _RECORDS.value)
        _report(f"{name}: {kind}", stream, durations, code)
    durations = _time_appends(stream, lambda _: b"\x01garbage", _RECORDS.value)
    _report(f"{name}: malformed", stream, durations, RefusalCode.MALFORMED)
    known = encode_record(accepted(0))
    stream.append(known)
    durations = _time_appends(stream, lambda _: known, _RECORDS.value)
    _report(f"{name}: duplicate", stream, durations, None)
    durations = _time_appends(stream, _encode_each(large), 10)
    _report(f"{name}: accepted, 1024 items and 56 KB", stream, durations, None)


def _measure_over_quota() -> None:
    stream = StreamBuilder(FoldLimits(publications_per_min=3)).publish_document()
    payloads = [
        encode_record(stream.make_publication("owner", {f"limits.l{number}": "limits: []\n"}))
        for number in range(_RECORDS.value + 4)
    ]
    for payload in payloads[-4:]:
        stream.append(payload, after_ms=0)
    durations = _time_appends(stream, payloads.__getitem__, _RECORDS.value, after_ms=0)
    _report("small: over quota", stream, durations, RefusalCode.QUOTA)


def _measure_floods() -> None:
    missing = "routes:\n- name: lost\n  path: /lost\n  pool: lost\n"
    large = "services:\n" + "".join(f"- name: flood-{index}\n" for index in range(1024))
    for name, team, key, section, body in (
        ("forged, small", "owner", "web", "routes.lost", missing),
        ("forged, 60 KB", "owner", "web", "services.flood", large + "#" * 40_000),
        ("signed and refused, small", "owner", "owner", "routes.lost", missing),
        ("signed and accepted, 60 KB", "owner", "owner", "services.flood", large + "#" * 40_000),
        ("unknown team, 60 KB", "nobody", "nobody", "services.flood", large + "#" * 40_000),
    ):
        seconds = _time_flood(team, key, {section: body})
        share = seconds / FLOOD_S
        print(f"flood of {FLOOD_RECORDS_PER_S}/s, {name}: {share:.2%} of a core")


def _time_flood(team: str, key: str, sections: dict[str, str]) -> float:
    stream = StreamBuilder().publish_document()
    interval_ms = 1000 // FLOOD_RECORDS_PER_S
    used = 0.0
    for _ in range(FLOOD_S * FLOOD_RECORDS_PER_S):
        payload = encode_record(stream.make_publication(team, sections, key=key))
        last = stream.records[-1]
        record = StreamRecord(last.offset + 1, payload, last.appended_at_ms + interval_ms)
        started = time.process_time()
        stream.fold.on_record(record)
        used += time.process_time() - started
        stream.records[-1] = record
    return used


def _encode_each(make: Callable[[int], Publication]) -> Callable[[int], bytes]:
    return lambda number: encode_record(make(number))


def _time_appends(
    stream: StreamBuilder, make: Callable[[int], bytes], count: int, after_ms: int = 1000
) -> list[float]:
    durations = []
    for number in range(count):
        payload = make(number)
        last = stream.records[-1]
        record = StreamRecord(last.offset + 1, payload, last.appended_at_ms + after_ms)
        started = time.perf_counter()
        stream.fold.on_record(record)
        durations.append(time.perf_counter() - started)
        stream.records.append(record)
    return durations


def _report(
    name: str, stream: StreamBuilder, durations: list[float], code: RefusalCode | None
) -> None:
    last = max(stream.fold.history, key=lambda verdict: verdict.offset)
    found = last.refusal.code if last.refusal else None
    if found is not code:
        raise AssertionError(f"{name}: last verdict is {last}")
    micros = sorted(duration * 1e6 for duration in durations)
    p99 = micros[min(len(micros) - 1, len(micros) * 99 // 100)]
    print(f"{name:<44}{statistics.median(micros):>12.1f}{p99:>12.1f}")


def _measure_snapshots(name: str, stream: StreamBuilder) -> None:
    payload = stream.fold.encode_snapshot()
    print(f"{name}: snapshot of {len(stream.fold.sections)} sections: {len(payload)} bytes")
    _fill_verdicts(stream)
    full = stream.fold.encode_snapshot()
    verdicts = len(stream.fold.history)
    print(f"{name}: snapshot with {verdicts} verdicts: {len(full)} bytes")
    started = time.perf_counter()
    stream.fold.encode_snapshot()
    encoded = time.perf_counter()
    fold = make_fold(make_limits())
    assert fold.restore_snapshot(full)
    restored = time.perf_counter()
    print(f"{name}: encode snapshot {(encoded - started) * 1e3:.2f} ms")
    print(f"{name}: restore snapshot {(restored - encoded) * 1e3:.2f} ms")
    print(f"{name}: memory of a restored fold {_measure_memory(full) / 1024:.0f} KiB")


def _fill_verdicts(stream: StreamBuilder) -> None:
    for number in range(300):
        body = f"limits:\n- name: more\n  calls_per_s: {number + 1}\n  burst: 50\n"
        stream.publish("owner", {"limits.more": body}, publication_id=f"{number:032x}")


def _measure_memory(payload: bytes) -> int:
    folds: list[CustomerFold] = []
    gc.collect()
    tracemalloc.start()
    for _ in range(4):
        fold = make_fold(make_limits())
        fold.restore_snapshot(payload)
        folds.append(fold)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used // len(folds)


def _measure_matches() -> None:
    fold = make_large().fold
    started = time.perf_counter()
    compiled = compile_document(CUSTOMER, fold.document, fold.version)
    print(f"large: compile {(time.perf_counter() - started) * 1e3:.2f} ms")
    table = RoutingTable().replace_customer(compiled)
    path = "/service-40/7/photos/2026/12?size=small"
    count = _RECORDS.value * 10
    started = time.perf_counter()
    for _ in range(count):
        table.match(CUSTOMER, "GET", path)
    elapsed = time.perf_counter() - started
    print(f"large: match a path of 5 segments {elapsed / count * 1e6:.2f} us")


def run() -> None:
    """Runs the bench."""
    app.run(main)


if __name__ == "__main__":
    run()
