"""Runs the whole path on loopback and prints each step's outcome.

Run it with `make demo`. It starts a log stand-in, four daemons in three availability zones
and an upstream beside each, publishes documents, sends calls, and stops everything.
"""

from __future__ import annotations

import signal
import subprocess
import sys
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_config import encode_key, generate_key_pair
from fulmarstile_platform.http import HttpError
from fulmarstile_testing.fleet import DaemonSpec, LocalFleet, open_fleet, upstream_name
from fulmarstile_testing.probe import FleetProbe, build_key, open_probe, wait_until
from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from fulmarstile_platform.http import HttpResponse

CUSTOMER: Final = "laundry"
"""Customer of the demo."""

SPECS: Final = (
    DaemonSpec("planning-1", "be-bru", "planning"),
    DaemonSpec("planning-2", "be-ant", "planning"),
    DaemonSpec("reservations-1", "be-lie", "reservations"),
    DaemonSpec("laundry-ops-1", "be-bru", "laundry-ops"),
)
"""Daemons of the demo."""

REST_S: Final = 5.0
"""Time over which the use of a resting daemon is measured, in seconds."""

MEMORY_LIMIT_BYTES: Final = 256 << 20
"""Memory that a daemon may take, in bytes."""

PROCESSOR_LIMIT: Final = 0.035
"""Share of one core that a resting daemon may take."""

SERVICES: Final = """\
services:
  - name: planning
  - name: reservations
  - name: laundry-ops
"""

POOLS: Final = """\
pools:
  - name: planning
    service: planning
  - name: reservations
    service: reservations
  - name: laundry-ops
    service: laundry-ops
"""

LIMITS: Final = """\
limits:
  - name: residents
    calls_per_s: 2000
    burst: 500
"""

RETRIES: Final = """\
retries:
  - name: reads
    attempts: 3
    budget_percent: 10
"""

ROUTES: Final = """\
routes:
  - name: slots
    path: /slots
    pool: {pool}
    limit: residents
    retry: reads
    idempotent: true
  - name: maintenance
    path: /maintenance
    pool: laundry-ops
  - name: reserve
    path: /reservations
    pool: reservations
    priority: critical
    at_most_once: true
"""

BAD_ROUTES: Final = """\
routes:
  - name: slots
    path: /slots
    pool: dryers
"""


REQUEST_ID: Final = "X-Request-Id"
"""Header by which the upstream stand-in counts requests."""


class DemoError(FulmarstileError):
    """A step of the demo did not end as it should."""


@dataclass(slots=True)
class CallTally:
    """Answers to the calls sent so far."""

    answered_by: Counter[str] = field(default_factory=Counter)
    """Calls answered, by service."""
    failures: list[str] = field(default_factory=list)


class Demo:
    """Runs the steps of the demo.

    Args:
        fleet: The processes.
        probe: Sends requests to them.
        owner_key: File with the owner's private key.
    """

    def __init__(self, fleet: LocalFleet, probe: FleetProbe, owner_key: Path) -> None:
        self._fleet = fleet
        self._probe = probe
        self._owner_key = owner_key

    async def run(self) -> None:
        """Runs all steps.

        Raises:
            DemoError: If a step did not end as it should.
            ConditionError: If a condition did not come to hold in time.
        """
        await self._start()
        await self._publish_first()
        await self._call_all_daemons()
        await self._change_routing_under_load()
        await self._reserve_twice()
        await self._publish_bad()
        await self._measure_rest()
        await self._stop()

    async def _start(self) -> None:
        _print_step("start the log, four daemons and four upstreams")
        self._fleet.start_all()
        await wait_until(self._is_complete, "every daemon knows every upstream")
        print(f"  {len(self._fleet.specs)} daemons know one another and every upstream")

    async def _is_complete(self) -> bool:
        for address in self._fleet.admin_addresses.values():
            members = await self._probe.get_json(address, "/v1/members") or []
            ready = [
                item
                for member in members
                for item in member["upstreams"]
                if item["status"] == "ready"
            ]
            if len(ready) < len(self._fleet.specs):
                return False
        return True

    async def _publish_first(self) -> None:
        _print_step("publish a whole document and wait until it is in force")
        documents = {
            "services": SERVICES,
            "pools": POOLS,
            "limits": LIMITS,
            "retries": RETRIES,
            "routes": ROUTES.format(pool="planning"),
        }
        await self._publish(documents, expected_code=0)

    async def _call_all_daemons(self) -> None:
        _print_step("send a call through every daemon")
        tally = CallTally()
        for address in self._fleet.calls_addresses.values():
            await self._call(address, tally)
        _check_no_failure(tally)
        print(f"  answered by {dict(tally.answered_by)}")

    async def _change_routing_under_load(self) -> None:
        _print_step("move the route to another pool while calls flow")
        tally = CallTally()
        async with trio.open_nursery() as nursery:
            for address in self._fleet.calls_addresses.values():
                nursery.start_soon(self._call_until_cancelled, address, tally)
            await self._publish({"routes": ROUTES.format(pool="reservations")}, expected_code=0)
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        _check_no_failure(tally)
        if set(tally.answered_by) != {"planning", "reservations"}:
            raise DemoError(f"calls were answered by {dict(tally.answered_by)}")
        print(f"  {tally.answered_by.total()} calls, none failed: {dict(tally.answered_by)}")

    async def _reserve_twice(self) -> None:
        _print_step("send one reservation through two daemons")
        headers = {"Idempotency-Key": build_key(), REQUEST_ID: "reservation-1"}
        first, second = list(self._fleet.calls_addresses.values())[:2]
        answer = await self._reserve(first, headers)
        repeated = await self._reserve(second, headers)
        while repeated.status == HTTPStatus.CONFLICT:
            await trio.sleep(float(repeated.headers["retry-after"]))
            repeated = await self._reserve(second, headers)
        if answer.status != HTTPStatus.OK or repeated.body != answer.body:
            raise DemoError("the reservation did not get the same answer twice")
        counts = await self._probe.get_json(
            self._fleet.upstream_addresses["reservations-1"], "/__stand_in/counts"
        )
        runs = counts["executed"]["reservation-1"]
        if runs != 1:
            raise DemoError(f"the reservation ran {runs} times")
        print("  the reservation ran once and both got its answer")

    async def _reserve(self, address: str, headers: dict[str, str]) -> HttpResponse:
        answer = await self._probe.request(address, "POST", "/reservations", b"{}", headers)
        reason = answer.headers.get("fulmarstile-reason", "")
        print(f"  {answer.status} {reason}".rstrip())
        return answer

    async def _publish_bad(self) -> None:
        _print_step("publish a route to a pool that does not exist")
        await self._publish({"routes": BAD_ROUTES}, expected_code=3)
        tally = CallTally()
        await self._call(next(iter(self._fleet.calls_addresses.values())), tally)
        _check_no_failure(tally)
        print(f"  nothing changed: calls are answered by {dict(tally.answered_by)}")

    async def _measure_rest(self) -> None:
        _print_step(f"let the daemons rest for {REST_S:g} s")
        before = {name: self._fleet.read_usage(name) for name in self._fleet.specs}
        await trio.sleep(REST_S)
        for name in self._fleet.specs:
            usage = self._fleet.read_usage(name)
            share = (usage.processor_s - before[name].processor_s) / REST_S
            memory = usage.memory_bytes
            print(f"  {name}: {memory / (1 << 20):.1f} MiB, {share:.2%} of a core")
            if memory > MEMORY_LIMIT_BYTES or share > PROCESSOR_LIMIT:
                raise DemoError(f"{name} exceeds its limit of memory or processor time")

    async def _stop(self) -> None:
        _print_step("stop the daemons in an orderly way")
        for name in self._fleet.specs:
            self._fleet.send_signal(name, signal.SIGTERM)
        for name in self._fleet.specs:
            code = await trio.to_thread.run_sync(self._fleet.stop, name)
            if code != 0:
                raise DemoError(f"{name} ended with {code}: {self._fleet.output(name)}")
            await trio.to_thread.run_sync(self._fleet.stop, upstream_name(name))
        print("  every daemon ended with 0")

    async def _publish(self, documents: dict[str, str], expected_code: int) -> None:
        files = [self._write_section(name, body) for name, body in documents.items()]
        admin = next(iter(self._fleet.admin_addresses.values()))
        command = [
            "publish",
            f"--customer={CUSTOMER}",
            "--team=owner",
            f"--key={self._owner_key}",
            f"--log={self._fleet.log_address}",
            f"--admin={admin}",
            "--wait",
            *files,
        ]
        result = await trio.to_thread.run_sync(run_command, command)
        for line in result.stdout.splitlines() + result.stderr.splitlines():
            print(f"  {line}")
        if result.returncode != expected_code:
            raise DemoError(f"publish ended with {result.returncode}, not {expected_code}")

    def _write_section(self, name: str, body: str) -> str:
        path = self._fleet.directory / f"{name}.yaml"
        path.write_text(body)
        return f"{name}={path}"

    async def _call_until_cancelled(self, address: str, tally: CallTally) -> None:
        while True:
            await self._call(address, tally)
            await trio.sleep(0.01)

    async def _call(self, address: str, tally: CallTally) -> None:
        try:
            response = await self._probe.request(address, "GET", "/slots/today")
        except HttpError as error:
            tally.failures.append(str(error))
            return
        if response.status != HTTPStatus.OK:
            tally.failures.append(f"{response.status} {response.body.decode(errors='replace')}")
            return
        tally.answered_by[msgspec.json.decode(response.body)["service"]] += 1


def run_command(arguments: Sequence[str]) -> subprocess.CompletedProcess[str]:
    """Runs `fulmarstile` with arguments and returns what became of it."""
    command = [sys.executable, "-m", "fulmarstile_cli.main", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def main() -> int:
    """Runs the demo.

    Returns:
        0 if every step ended as it should, else 1.
    """
    pair = generate_key_pair()
    with open_fleet(SPECS, {CUSTOMER: pair.public_key}, default_customer=CUSTOMER) as fleet:
        owner_key = fleet.directory / "owner.key"
        owner_key.write_text(encode_key(pair.private_key) + "\n")
        try:
            trio.run(_run, fleet, owner_key)
        except FulmarstileError as error:
            print(f"FAILED: {error}")
            return 1
    print("demo: every step ended as it should")
    return 0


async def _run(fleet: LocalFleet, owner_key: Path) -> None:
    async with open_probe() as probe:
        await Demo(fleet, probe, owner_key).run()


def _check_no_failure(tally: CallTally) -> None:
    if tally.failures:
        raise DemoError(f"{len(tally.failures)} calls failed, the first with {tally.failures[0]}")


def _print_step(what: str) -> None:
    print(f"* {what}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
