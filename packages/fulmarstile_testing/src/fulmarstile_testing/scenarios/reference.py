"""Reference folds: the state that the log's records yield, whatever reaches the daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

from fulmarstile_config import CustomerFold, stream_name
from fulmarstile_testing.scenarios.trace import MemoryLost, PublicationDecided
from fulmarstile_wire.records import StreamRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from fulmarstile_config import PublicationVerdict
    from fulmarstile_config.document import Document
    from fulmarstile_platform.log import LogRecord
    from fulmarstile_testing.fakes.log import FakeLog
    from fulmarstile_testing.scenarios.trace import TraceEvent


def digest_document(document: Document) -> str:
    """Returns a digest of a document's whole content."""
    return xxhash.xxh64_hexdigest(msgspec.msgpack.encode(document))


class ReferenceFolds:
    """Folds each customer's stream as it is appended, and records the verdicts.

    Args:
        owner_keys: Owner's public key of each customer.
        mesh_key: Key of the deployment.
        record: Records an event in the trace.
    """

    def __init__(
        self,
        owner_keys: Mapping[str, bytes],
        mesh_key: bytes,
        record: Callable[[TraceEvent], None],
    ) -> None:
        self._owner_keys = owner_keys
        self._mesh_key = mesh_key
        self._record = record
        self._folds = {customer: self._new_fold(customer) for customer in sorted(owner_keys)}
        self._unseeded: set[str] = set()
        self._recorded_verdicts: set[tuple[str, str, bool]] = set()
        self._streams = {stream_name(customer): customer for customer in owner_keys}

    def fold(self, customer: str) -> CustomerFold:
        """Returns the fold of a customer."""
        return self._folds[customer]

    def on_append(self, stream: str, record: LogRecord) -> None:
        """Folds a record that was appended to the log.

        Args:
            stream: Name of the stream.
            record: The record.
        """
        customer = self._streams.get(stream)
        if customer is None:
            return
        fold = self._folds[customer]
        generation = fold.head.generation
        fold.on_record(StreamRecord(record.offset, record.payload, record.appended_at_ms))
        if fold.head.generation > generation:
            self._unseeded.discard(customer)
        self._record_verdicts(customer)

    def on_log_forgot(self, daemon_folds: Mapping[str, Iterable[CustomerFold]]) -> None:
        """Continues from the newest state in the daemons' memory once the log has lost its records.

        Args:
            daemon_folds: Folds of the running daemons by customer.
        """
        for customer in self._folds:
            newest = max(daemon_folds.get(customer, ()), key=_version_and_sequence, default=None)
            if newest is None or not newest.sequence:
                self._reset_fold(customer)
                continue
            fold = self._folds[customer] = self._new_fold(customer)
            fold.restore_snapshot(newest.encode_snapshot())
            fold.begin_generation()
            self._unseeded.add(customer)

    def on_last_daemon_ended(self, log: FakeLog) -> None:
        """Resets the folds whose configuration the log lost and no daemon seeded again.

        Args:
            log: The log.
        """
        for customer in sorted(self._unseeded):
            stream = stream_name(customer)
            self._reset_fold(customer)
            for record in log.read_now(stream, 0).records:
                self.on_append(stream, record)

    def _new_fold(self, customer: str) -> CustomerFold:
        return CustomerFold(customer, self._owner_keys[customer], self._mesh_key)

    def _reset_fold(self, customer: str) -> None:
        self._unseeded.discard(customer)
        self._folds[customer] = self._new_fold(customer)
        self._record(MemoryLost(customer))

    def _record_verdicts(self, customer: str) -> None:
        for verdict in self._folds[customer].history:
            decision = (customer, verdict.publication_id, verdict.accepted)
            if decision not in self._recorded_verdicts:
                self._recorded_verdicts.add(decision)
                self._record_verdict(customer, verdict)

    def _record_verdict(self, customer: str, verdict: PublicationVerdict) -> None:
        fold = self._folds[customer]
        reason = verdict.refusal.code.value if verdict.refusal is not None else ""
        self._record(
            PublicationDecided(
                customer=customer,
                publication_id=verdict.publication_id,
                accepted=verdict.accepted,
                version=verdict.version,
                content=digest_document(fold.document),
                reason=reason,
            )
        )


def _version_and_sequence(fold: CustomerFold) -> tuple[int, int]:
    return (fold.version, fold.sequence)
