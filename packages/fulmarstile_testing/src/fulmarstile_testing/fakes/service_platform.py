"""Fake platform for daemons in tests, with an in-memory store and no files."""

from __future__ import annotations

from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from fulmarstile_daemon.services.ports import CallHeaderNames, ReceivedOrder
from fulmarstile_platform.http_server import HttpAnswer
from fulmarstile_platform.keyed_log import KeyedRecord
from fulmarstile_services.document import DocumentError
from fulmarstile_services.rollouts.model import RolloutOrder
from fulmarstile_testing.fakes.keyed_log import FakeKeyedLog

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fulmarstile_daemon.services.ports import UpstreamEvents
    from fulmarstile_platform.http_server import HttpRequest
    from fulmarstile_services.document import ServiceDocument
    from fulmarstile_services.settings import NodeSettings
    from fulmarstile_wire.rollouts import RolloutPhase

HEADER_NAMES: Final = CallHeaderNames(
    call_separator=b".",
    request_id=b"request-id",
    time_left_ms=b"time-left-ms",
    caller_service=b"caller-service",
    expected_upstream=b"expected-upstream",
    response_signature=b"answer-proof",
    not_run=b"not-run",
    rate_limit=b"rate-limit",
    leaving=b"leaving",
    load=b"load",
    api_key=b"api-key",
    customer=b"customer",
)
DOCUMENT_TOPIC: Final = "documents"
DOCUMENT_KEY: Final = "current"
_REDACTED: Final = b"redacted "
"""Prefix of a document without keys."""
ORDER_KEY: Final = "order/"
STATUS_TOPIC: Final = "statuses"


class FakePlatform:
    """Implements `Platform` for one daemon.

    Args:
        settings: Settings of the daemon.
        store: Store shared by the daemons of a test.
        documents: Documents by the bytes that represent them in the store.
    """

    header_names = HEADER_NAMES
    document_topic = DOCUMENT_TOPIC
    document_key = DOCUMENT_KEY
    rollout_status_topic = STATUS_TOPIC

    def __init__(
        self,
        settings: NodeSettings,
        store: FakeKeyedLog,
        documents: dict[bytes, ServiceDocument],
    ) -> None:
        self.settings = settings
        self.store = FakeKeyedLog(store)
        """This daemon's view of the store."""
        self._documents = documents

    def read_settings(self) -> NodeSettings:
        """See `Platform.read_settings`."""
        return self.settings

    def settings_stamp(self) -> object:
        """See `Platform.settings_stamp`."""
        return self.settings

    @asynccontextmanager
    async def open_store(self, address: str) -> AsyncIterator[FakeKeyedLog]:
        """See `Platform.open_store`."""
        yield self.store

    def decode_document(self, raw: bytes) -> ServiceDocument:
        """See `Platform.decode_document`."""
        document = self._documents.get(raw.removeprefix(_REDACTED))
        if document is None:
            raise DocumentError("unknown document")
        return document

    def redact_document(self, raw: bytes) -> bytes:
        """See `Platform.redact_document`."""
        if self.decode_document(raw).customers is None or raw.startswith(_REDACTED):
            return raw
        return _REDACTED + raw

    def decode_order(self, record: KeyedRecord) -> ReceivedOrder | None:
        """See `Platform.decode_order`; the value is `VERSION DURATION_S`."""
        if not record.key.startswith(ORDER_KEY):
            return None
        service = record.key[len(ORDER_KEY) :]
        version, _, duration = record.value.decode().partition(" ")
        try:
            return ReceivedOrder(RolloutOrder(service, version, float(duration), record.offset))
        except ValueError as error:
            return ReceivedOrder(RolloutOrder(service, version, 0.0, record.offset), str(error))

    def encode_rollout_status(
        self, service: str, target_version: str, phase: RolloutPhase
    ) -> KeyedRecord:
        """See `Platform.encode_rollout_status`; the value is `PHASE VERSION`."""
        return KeyedRecord(service, f"{phase.value} {target_version}".encode())

    async def handle_announcement(self, request: HttpRequest, events: UpstreamEvents) -> HttpAnswer:
        """See `Platform.handle_announcement`; not found, as tests call the events directly."""
        return HttpAnswer(HTTPStatus.NOT_FOUND)

    async def handle_readiness(self, request: HttpRequest, is_ready: bool) -> HttpAnswer:
        """See `Platform.handle_readiness`."""
        return HttpAnswer(HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE)
