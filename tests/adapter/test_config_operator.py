"""The operator of the soak of CONFIG writes the versions and odd records that it is asked for."""

from __future__ import annotations

import itertools
import tempfile
import unittest
from pathlib import Path

import msgspec
import trio
import trio.testing

from fulmarstile_adapter_testing.config_operator import (
    ConfigOperator,
    Records,
    WriteForm,
    Writes,
)
from fulmarstile_adapter_testing.config_versions import VersionWriter
from fulmarstile_adapter_testing.lost_record import LostRecord
from fulmarstile_adapter_testing.store import StoreStandIn

SECONDS = 60.0


class RecordingStore(StoreStandIn):
    """Store that keeps the time and the bytes of each write."""

    def __init__(self) -> None:
        super().__init__()
        self.writes: list[tuple[float, bytes]] = []

    def put(self, topic: str, key: str, value: bytes) -> None:
        self.writes.append((trio.current_time(), value))
        super().put(topic, key, value)


class ConfigOperatorTest(unittest.TestCase):
    def write(self, records: Records) -> None:
        """Lets the operator write for a time."""
        self.store, self.writer = RecordingStore(), VersionWriter(1)

        async def run() -> None:
            with tempfile.TemporaryDirectory() as folder:
                record = LostRecord(Path(folder))
                form = WriteForm(Writes.PAUSES, records)
                operator = ConfigOperator(self.store, self.writer, record, form, 1)
                operator.write_first()
                with trio.move_on_after(SECONDS):
                    await operator.run()
                record.close()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def list_numbers(self) -> list[int]:
        """Lists the versions in the topic in the order of their records."""
        return [int(msgspec.json.decode(raw)["Version"], 16) for _, raw in self.store.writes]

    def test_bursts_of_versions_are_followed_by_pauses_of_4_to_8_s(self) -> None:
        self.write(Records.IN_ORDER)
        times = [at for at, _ in self.store.writes]
        gaps = [round(after - before, 3) for before, after in itertools.pairwise(times)]
        self.assertEqual(gaps.count(0.35) + sum(4.35 <= gap <= 8.35 for gap in gaps), len(gaps))
        self.assertGreaterEqual(sum(gap > 4.0 for gap in gaps), 5)
        self.assertIn(0.35, gaps)

    def test_the_version_before_is_written_behind_each_version(self) -> None:
        for records, latest_s in ((Records.OLDER, 0.3), (Records.OLDER_LATE, 6.0)):
            self.write(records)
            times: dict[bytes, list[float]] = {}
            for at, raw in self.store.writes:
                times.setdefault(raw, []).append(at)
            for before, after in itertools.pairwise(times.values()):
                if after[0] < SECONDS - latest_s:
                    self.assertEqual(len(before), 2)
                    self.assertTrue(0.05 <= before[1] - after[0] <= latest_s + 1e-9)

    def test_of_two_versions_at_once_the_newer_one_is_first_and_both_are_acknowledged(self) -> None:
        self.write(Records.RACE)
        numbers = self.list_numbers()[1:]
        self.assertGreater(len(numbers), 10)
        for newer, older in zip(numbers[::2], numbers[1::2], strict=True):
            self.assertGreater(newer, older)
        self.assertEqual(sorted(numbers), [each.number for each in self.writer.versions[1:]])

    def test_a_write_without_an_answer_is_acknowledged_once_it_was_repeated(self) -> None:
        self.write(Records.RETRY)
        numbers = self.list_numbers()
        self.assertEqual({numbers.count(number) for number in numbers[1:-3]}, {2, 3})
        self.assertNotEqual(numbers, sorted(numbers))
        for version in self.writer.versions[1:-1]:
            times = [at for at, raw in self.store.writes if b"%08x" % version.number in raw[:40]]
            self.assertAlmostEqual(version.written_at, times[0])
            self.assertAlmostEqual(version.acknowledged_at, times[1])

    def test_bytes_that_are_no_configuration_or_a_deletion_stand_behind_each_version(self) -> None:
        self.write(Records.DELETED)
        self.assertEqual(self.store.find_newest("keyed.op", "config"), b"")
        self.write(Records.UNUSABLE)
        with self.assertRaises(msgspec.DecodeError):
            msgspec.json.decode(self.store.find_newest("keyed.op", "config"))


if __name__ == "__main__":
    unittest.main()
