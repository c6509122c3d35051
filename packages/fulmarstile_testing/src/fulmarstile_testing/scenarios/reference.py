"""Reference folds: what the log's records amount to, whatever reaches the daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

from fulmarstile_config import CustomerFold, stream_name
from fulmarstile_testing.scenarios.trace import PublicationDecided
from fulmarstile_wire.records import StreamRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from fulmarstile_config import PublicationVerdict
    from fulmarstile_config.document import Document
    from fulmarstile_platform.log import LogRecord
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
        self._decided: set[tuple[str, str]] = set()
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
        fold.on_record(StreamRecord(record.offset, record.payload, record.appended_at_ms))
        for verdict in fold.history:
            if (customer, verdict.publication_id) not in self._decided:
                self._decided.add((customer, verdict.publication_id))
                self._record_verdict(customer, verdict)

    def on_forget(self, daemon_folds: Mapping[str, Iterable[CustomerFold]]) -> None:
        """Goes on from the newest state in the daemons' memory once the log has lost its records.

        Args:
            daemon_folds: Folds of the running daemons by customer.
        """
        for customer in self._folds:
            newest = max(daemon_folds.get(customer, ()), key=_rank, default=None)
            fold = self._new_fold(customer)
            if newest is not None and newest.sequence:
                fold.restore_snapshot(newest.encode_snapshot())
                fold.begin_generation()
            self._folds[customer] = fold

    def _new_fold(self, customer: str) -> CustomerFold:
        return CustomerFold(customer, self._owner_keys[customer], self._mesh_key)

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


def _rank(fold: CustomerFold) -> tuple[int, int]:
    return (fold.version, fold.sequence)
