"""An acknowledged version is in force although the store holds an unusable record behind it."""

from __future__ import annotations

import random
import unittest
from itertools import product
from typing import TYPE_CHECKING, Final
from unittest import mock

import trio

from fulmarstile_daemon.services._document_copies import DOCUMENT_COPIES_TOPIC
from fulmarstile_daemon.services._document_relay import DocumentRelay
from fulmarstile_testing.builders.service_mesh import READY_TIMEOUT_S
from fulmarstile_testing.builders.services import make_route
from fulmarstile_testing.fakes.service_platform import DOCUMENT_TOPIC, ORDER_KEY
from fulmarstile_testing.observed_fleet import (
    CONFIG_APPLY_S,
    STABLE_WINDOW_S,
    ObservedFleet,
    play,
    run_fleet,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from trio.testing import MockClock

    from fulmarstile_wire.documents import DocumentReply, DocumentRequest

_SEEDS: Final = range(1, 7)
_FEW_SEEDS: Final = range(1, 4)
_COPY_SEEDS: Final = range(1, 13)
_MANY_DAEMONS: Final = 12
_MAX_DAEMONS: Final = 8
_ZONES: Final = 3
_CALM_S: Final = 4.0
_OUTAGE_S: Final = 4.5
_BETWEEN_VERSIONS_S: Final = 0.35
_REST_S: Final = 8.0
"""Time without a version, in which a daemon that lacks one is found, in seconds."""
_STEP_S: Final = 0.2
_BURST_REST_S: Final = 7.0
_BURST: Final = 8
_WITHIN_PAUSE_S: Final = (0.05, 0.3)
"""Bounds of the time between two writes that a reader finds in one read, in seconds."""
_DOCUMENT_BYTES: Final = (0, 40_000)
"""Sizes of a version; of the larger ones, a reader that lags behind reads one at a time."""
_SHOWN: Final = 2
"""Number of late versions that are shown of each case."""
_LARGE_DOCUMENT_BYTES: Final = 600_000
"""Size of a version of which a read returns one."""
_MAX_ANSWERS: Final = 400
"""Replies between eight daemons within 3 s, of which each asks twice a second in calm."""
_NO_DOCUMENT: Final = b"no document"
_DELETION: Final = b""
_MISSING: Final = "/none/a"
_NEW: Final = "/new/a"


class OutOfReachTest(unittest.TestCase):
    """All daemons are cut off from the store while versions are written."""

    maxDiff = None

    def test_a_version_hidden_by_an_older_one_during_an_outage_is_in_force(self) -> None:
        """Guards against daemons that take the last record after a burst for the newest."""
        self._check(_write_older)

    def test_a_version_hidden_by_bytes_that_are_no_document_during_an_outage_is_in_force(
        self,
    ) -> None:
        """Guards against daemons that skip a version for a last record that they can't use."""
        self._check(_write_no_document)

    def test_a_version_hidden_by_a_deletion_during_an_outage_is_in_force(self) -> None:
        """Guards against daemons that skip a version for a deletion behind it."""
        self._check(_delete)

    def test_a_hidden_version_is_in_force_though_earlier_records_expired_in_an_outage(self) -> None:
        """Guards against daemons that read only the newest after their offset has expired."""
        self._check(_write_older_and_expire)

    def _check(self, write: Callable[[ObservedFleet], None]) -> None:
        async def scenario(fleet: ObservedFleet, _: random.Random) -> None:
            await trio.sleep(_CALM_S)
            with fleet.store_out_of_reach():
                await trio.sleep(_OUTAGE_S / 2)
                await _publish_some(fleet)
                write(fleet)
                await trio.sleep(_OUTAGE_S / 2)
            await trio.sleep(_REST_S)

        self.assertEqual(_list_late(_FEW_SEEDS, scenario), {})


class StartTogetherTest(unittest.TestCase):
    """All daemons start at the same time, so that none knows what the topic held before."""

    maxDiff = None

    def test_a_version_hidden_by_an_older_one_is_in_force_after_all_daemons_start(self) -> None:
        """Guards against a fleet that takes the last record in the topic for the newest version."""
        self._check(_write_older)

    def test_a_version_hidden_by_bytes_that_are_no_document_is_in_force_after_all_daemons_start(
        self,
    ) -> None:
        """Guards against a fleet that knows no version as the last record is unusable."""
        self._check(_write_no_document)

    def test_a_version_hidden_by_a_deletion_is_in_force_after_all_daemons_start(self) -> None:
        """Guards against a fleet that knows no version as the last record is a deletion."""
        self._check(_delete)

    def test_a_hidden_version_is_in_force_after_all_daemons_start_on_expired_history(self) -> None:
        """Guards against a fleet that gives up as some of the earlier records have expired."""
        self._check(_write_older_and_expire)

    def test_a_hidden_version_is_in_force_after_all_daemons_start_and_its_record_expired(
        self,
    ) -> None:
        """Guards against the loss of a version of which the store has only an older record left."""

        async def scenario(fleet: ObservedFleet, _: random.Random) -> None:
            await trio.sleep(_CALM_S)
            await _publish_some(fleet)
            fleet.write_again(fleet.version - 1)
            await trio.sleep(CONFIG_APPLY_S)
            ended = await fleet.kill_all()
            fleet.expire_records(before=_offset_of_last(fleet))
            await fleet.start_together(ended)
            await trio.sleep(_REST_S)

        self.assertEqual(_list_late(_FEW_SEEDS, scenario), {})

    def test_a_hidden_version_is_copied_whoever_reads_which_of_the_two_records(self) -> None:
        """Guards against versions that no single daemon knows to be hidden."""
        missing: set[int] = set()

        async def scenario(fleet: ObservedFleet, rng: random.Random) -> None:
            await trio.sleep(_CALM_S + rng.random())
            for _ in range(4):
                fleet.publish()
                await trio.sleep(rng.uniform(*_WITHIN_PAUSE_S))
            fleet.write_again(fleet.version - 1)
            await trio.sleep(CONFIG_APPLY_S)
            if not fleet.mesh.store.list_records(DOCUMENT_COPIES_TOPIC):
                missing.add(seed)

        for seed in _COPY_SEEDS:
            _play(seed, scenario, daemons=_MANY_DAEMONS)
        self.assertEqual(missing, set())

    def test_a_missing_route_is_rejected_after_a_start_though_the_copy_is_unusable(self) -> None:
        """Guards against daemons that wait for ever for what a broken copy may hold."""
        statuses: set[int] = set()

        async def scenario(fleet: ObservedFleet, _: random.Random) -> None:
            fleet.publish(make_route(prefix="/new/"))
            ended = await fleet.kill_all()
            fleet.mesh.store.put(DOCUMENT_COPIES_TOPIC, "newest", _NO_DOCUMENT)
            fleet.expire_records(before=_offset_of_last(fleet))
            await fleet.start_together(ended)
            await trio.sleep(STABLE_WINDOW_S)
            statuses.update(await _call_all(fleet, _MISSING))

        _play(1, scenario)
        self.assertEqual(statuses, {404})

    def _check(self, write: Callable[[ObservedFleet], None]) -> None:
        async def scenario(fleet: ObservedFleet, _: random.Random) -> None:
            await trio.sleep(_CALM_S)
            ended = await fleet.kill_all()
            await _publish_some(fleet)
            write(fleet)
            await fleet.start_together(ended)
            await trio.sleep(_REST_S)

        self.assertEqual(_list_late(_FEW_SEEDS, scenario), {})


class BurstTest(unittest.TestCase):
    maxDiff = None

    def test_the_newest_version_of_a_burst_is_in_force_though_an_older_one_follows_it(self) -> None:
        """Guards against a fleet whose readers all jump to the last record after a burst."""
        self.assertEqual(_list_late(_SEEDS, _publish_burst), {})

    def test_one_daemon_has_the_newest_version_of_a_burst_though_an_older_one_follows_it(
        self,
    ) -> None:
        """Guards against a reader that jumps to the last record, which no other makes up for."""
        self.assertEqual(_list_late(_SEEDS, _publish_burst, max_daemons=1), {})


class UnreadRecordsTest(unittest.TestCase):
    """Requests without a route, while a daemon can't know whether a newer version has one."""

    def test_a_missing_route_is_not_rejected_for_good_while_earlier_records_are_unread(
        self,
    ) -> None:
        """Guards against a 404 that rests on the last record only."""
        held: set[int] = set()
        served: set[int] = set()

        async def scenario(fleet: ObservedFleet, _: random.Random) -> None:
            ended = await fleet.kill_all()
            fleet.publish(make_route(prefix="/old/"))
            fleet.publish(make_route(prefix="/old/"), make_route(prefix="/new/"))
            fleet.write_again(fleet.version - 1)
            fleet.hold_reads(before=_offset_of_last(fleet))
            await fleet.start_together(ended)
            held.update(await _observe_statuses(fleet, _NEW))
            fleet.hold_reads(before=0)
            await trio.sleep(STABLE_WINDOW_S)
            served.update(await _call_all(fleet, _NEW))

        _play(1, scenario)
        self.assertEqual((held, served), ({503}, {200}))

    def test_a_missing_route_is_rejected_if_another_daemon_has_read_the_earlier_records(
        self,
    ) -> None:
        """Guards against daemons that never reject a request as they can't read back."""
        statuses: list[int] = []

        async def scenario(fleet: ObservedFleet, _: random.Random) -> None:
            fleet.publish(make_route(prefix="/old/"))
            await trio.sleep(CONFIG_APPLY_S)
            late, *_ = fleet.list_running()
            await fleet.kill(late)
            client = fleet.stores[late.name]
            client.faults.held_before[DOCUMENT_TOPIC] = _offset_of_last(fleet)
            await fleet.start(late.name, earlier=late.node)
            await trio.sleep(STABLE_WINDOW_S)
            statuses.append(await fleet.call(fleet.list_running()[-1], _MISSING))

        _play(1, scenario)
        self.assertEqual(statuses, [404])

    def test_a_missing_route_is_not_rejected_for_good_while_the_last_record_is_no_document(
        self,
    ) -> None:
        """Guards against a 404 beside a record that may be a newer version."""
        undecoded: set[int] = set()
        served: set[int] = set()
        decoded: set[int] = set()

        async def scenario(fleet: ObservedFleet, _: random.Random) -> None:
            ended = await fleet.kill_all()
            fleet.publish(make_route(prefix="/new/"))
            fleet.write_value(_NO_DOCUMENT)
            await fleet.start_together(ended)
            await trio.sleep(STABLE_WINDOW_S)
            served.update(await _call_all(fleet, _NEW))
            undecoded.update(await _observe_statuses(fleet, _MISSING))
            fleet.publish(make_route(prefix="/new/"))
            await trio.sleep(CONFIG_APPLY_S)
            decoded.update(await _call_all(fleet, _MISSING))

        _play(1, scenario)
        self.assertEqual((served, undecoded, decoded), ({200}, {503}, {404}))

    def test_a_missing_route_is_not_rejected_for_good_once_a_record_is_read_that_is_no_document(
        self,
    ) -> None:
        """Guards against a 404 of a running fleet beside a record that may be a newer version."""
        undecoded: set[int] = set()

        async def scenario(fleet: ObservedFleet, _: random.Random) -> None:
            fleet.publish(make_route(prefix="/new/"))
            await trio.sleep(CONFIG_APPLY_S)
            fleet.write_value(_NO_DOCUMENT)
            await trio.sleep(CONFIG_APPLY_S)
            undecoded.update(await _observe_statuses(fleet, _MISSING))

        _play(1, scenario)
        self.assertEqual(undecoded, {503})


class OtherRecordsTest(unittest.TestCase):
    def test_an_older_version_behind_an_unusable_record_does_not_make_that_known(self) -> None:
        """Guards against a 404 beside a record that may be a newer version."""
        statuses: set[int] = set()

        async def scenario(fleet: ObservedFleet, _: random.Random) -> None:
            fleet.publish(make_route(prefix="/new/"))
            fleet.publish(make_route(prefix="/new/"))
            await trio.sleep(_CALM_S)
            fleet.write_value(_NO_DOCUMENT)
            await trio.sleep(CONFIG_APPLY_S)
            fleet.write_again(fleet.version - 1)
            await trio.sleep(CONFIG_APPLY_S)
            statuses.update(await _call_all(fleet, _MISSING))

        _play(1, scenario)
        self.assertEqual(statuses, {503})

    def test_a_record_of_another_key_behind_unread_ones_does_not_let_daemons_ask_in_a_loop(
        self,
    ) -> None:
        """Guards against replies that repeat what the other daemon can't take over yet."""
        answers = 0
        answer = DocumentRelay.answer

        async def count(relay: DocumentRelay, request: DocumentRequest) -> DocumentReply:
            nonlocal answers
            answers += 1
            return await answer(relay, request)

        async def scenario(fleet: ObservedFleet, _: random.Random) -> None:
            await trio.sleep(_CALM_S)
            with fleet.store_out_of_reach():
                await trio.sleep(_OUTAGE_S / 2)
                for _ in range(4):
                    fleet.publish()
                fleet.mesh.store.put(DOCUMENT_TOPIC, ORDER_KEY, b"order")
                await trio.sleep(_OUTAGE_S / 2)
            nonlocal answers
            answers = 0
            await trio.sleep(STABLE_WINDOW_S)

        with mock.patch.object(DocumentRelay, "answer", count):
            _play(1, scenario, _LARGE_DOCUMENT_BYTES, daemons=_MAX_DAEMONS)
        self.assertLess(answers, _MAX_ANSWERS)


async def _publish_burst(fleet: ObservedFleet, rng: random.Random) -> None:
    """Publishes versions within the pauses of the readers, and an older one behind the newest."""
    await trio.sleep(_CALM_S + rng.random())
    for _ in range(_BURST):
        fleet.publish()
        await trio.sleep(rng.uniform(*_WITHIN_PAUSE_S))
    fleet.write_again(fleet.version - 1)
    await trio.sleep(_BURST_REST_S)


async def _publish_some(fleet: ObservedFleet) -> None:
    """Publishes versions 2 to 5."""
    for _ in range(4):
        await trio.sleep(_BETWEEN_VERSIONS_S)
        fleet.publish()


def _write_older(fleet: ObservedFleet) -> None:
    fleet.write_again(fleet.version - 1)


def _write_no_document(fleet: ObservedFleet) -> None:
    fleet.write_value(_NO_DOCUMENT)


def _delete(fleet: ObservedFleet) -> None:
    fleet.write_value(_DELETION)


def _write_older_and_expire(fleet: ObservedFleet) -> None:
    fleet.write_again(fleet.version - 1)
    fleet.expire_records(before=_offset_of_last(fleet) - 1)


def _offset_of_last(fleet: ObservedFleet) -> int:
    return fleet.mesh.store.list_records(DOCUMENT_TOPIC)[-1].offset


async def _call_all(fleet: ObservedFleet, target: str) -> list[int]:
    """Sends a request to each daemon; returns the statuses of the answers."""
    return [await fleet.call(each, target) for each in fleet.list_running()]


async def _observe_statuses(fleet: ObservedFleet, target: str) -> set[int]:
    """Sends requests to all daemons for some time; returns the statuses of the answers."""
    statuses: set[int] = set()
    ends_at = trio.current_time() + STABLE_WINDOW_S
    while trio.current_time() < ends_at:
        statuses.update(await _call_all(fleet, target))
        await trio.sleep(_STEP_S)
    return statuses


def _list_late(
    seeds: Iterable[int],
    scenario: Callable[[ObservedFleet, random.Random], Awaitable[None]],
    max_daemons: int = _MAX_DAEMONS,
) -> dict[str, list[str]]:
    """Plays a scenario with seeds and documents of each size; returns what was late."""
    cases = {
        f"seed {seed}, {size} bytes": _play(seed, scenario, size, max_daemons)
        for seed, size in product(seeds, _DOCUMENT_BYTES)
    }
    return {name: found[:_SHOWN] for name, found in cases.items() if found}


def _play(
    seed: int,
    scenario: Callable[[ObservedFleet, random.Random], Awaitable[None]],
    document_bytes: int = 0,
    max_daemons: int = _MAX_DAEMONS,
    daemons: int = 0,
) -> list[str]:
    """Plays a scenario on a fleet; returns what was late, and whether a daemon did not start.

    The size of the fleet is drawn unless it is given.
    """
    rng = random.Random(seed)
    # Draws of the daemons must not change what the scenario does.
    scenario_rng = random.Random(seed)
    late: list[str] = []

    async def run(_: MockClock) -> None:
        size = daemons or rng.randint(min(2, max_daemons), max_daemons)
        async with run_fleet(rng, size, _ZONES, document_bytes=document_bytes) as fleet:
            await scenario(fleet, scenario_rng)
            late.extend(fleet.list_late())

    try:
        play(seed, run)
    except* trio.TooSlowError:
        late.append(f"a daemon was not ready {READY_TIMEOUT_S} s after its start")
    return late


if __name__ == "__main__":
    unittest.main()
