"""Interface between the daemon and the platform that it runs on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from fulmarstile_platform.http_server import HttpAnswer, HttpRequest
    from fulmarstile_platform.keyed_log import KeyedLog, KeyedRecord
    from fulmarstile_services.document import ServiceDocument
    from fulmarstile_services.rollouts.model import RolloutOrder
    from fulmarstile_services.settings import NodeSettings
    from fulmarstile_services.upstream_registry import UpstreamAnnouncement
    from fulmarstile_wire.rollouts import RolloutPhase


@dataclass(frozen=True, slots=True)
class ReceivedOrder:
    """An order for a roll-out as the operator wrote it."""

    order: RolloutOrder
    """The order; fields that cannot be decoded have their default."""
    problem: str = ""
    """Why it cannot be carried out; empty if it was decoded."""


@dataclass(frozen=True, slots=True)
class CallHeaderNames:
    """Names of the headers that callers, the daemon and upstreams exchange, in lower case."""

    request_id: bytes
    """Identifies one attempt of a caller; the upstream repeats it in its response."""
    time_left_ms: bytes
    """Time for which the caller still waits, in milliseconds."""
    caller_service: bytes
    """Service that made the request."""
    expected_upstream: bytes
    """Id of the upstream that may run the request."""
    response_signature: bytes
    """Proof that a response is the upstream's; without it, a successful one counts as truncated."""
    not_run: bytes
    """Set on the response of an upstream that has not run the request."""
    rate_limit: bytes
    """Requests per second that the upstream accepts from all daemons together, as a decimal.

    It holds for as long as the upstream's responses carry it.
    """
    leaving: bytes
    """Set on every response of an upstream that leaves."""
    load: bytes
    """Load of the upstream: requests running and waiting, and slots, separated by commas.

    A fourth figure is the present duration of requests in percent of the usual one.
    """
    api_key: bytes
    """Key by which a caller shows whose customer it is; it is never forwarded."""
    customer: bytes
    """Name of the customer that sent the request, set for the upstream."""
    call_separator: bytes = b""
    """Follows the id of a running request in the ids of calls that its upstream makes for it.

    Empty if ids do not identify the parent request.
    """


class DepartureNotStoredError(FulmarstileError):
    """A departure is in force here, but would be forgotten if this daemon ended now."""


class UpstreamEvents(Protocol):
    """Receives the announcements of the upstream on this VM."""

    async def announce(self, announcement: UpstreamAnnouncement) -> None:
        """Processes an announcement; returns once it may be acknowledged.

        Raises:
            DepartureNotStoredError: If it says that the upstream leaves, and must not be
                acknowledged yet.
        """
        ...

    async def leave(self, upstream_id: str, born_ms: int | None) -> None:
        """Processes the departure of an upstream; returns once it may be acknowledged.

        Raises:
            DepartureNotStoredError: If it must not be acknowledged yet.
        """
        ...


class Platform(Protocol):
    """Adapts the daemon to one platform."""

    @property
    def header_names(self) -> CallHeaderNames:
        """Names of headers."""
        ...

    @property
    def document_topic(self) -> str:
        """Topic that holds the operator's document."""
        ...

    @property
    def document_key(self) -> str:
        """Key of the operator's document in its topic."""
        ...

    def read_settings(self) -> NodeSettings:
        """Reads the settings file.

        Raises:
            NodeSettingsError: If it cannot be read or is not valid.
        """
        ...

    def settings_stamp(self) -> object:
        """Returns a value that changes whenever the settings file does."""
        ...

    def open_store(self, address: str) -> AbstractAsyncContextManager[KeyedLog]:
        """Opens a client of the platform's store."""
        ...

    def decode_document(self, raw: bytes) -> ServiceDocument:
        """Decodes the operator's document, redacted or not.

        Raises:
            DocumentError: If it is malformed.
        """
        ...

    def redact_document(self, raw: bytes) -> bytes:
        """Replaces the keys in the operator's document by their digests.

        Args:
            raw: A document that `decode_document` accepts.

        Returns:
            A document of the same meaning that may leave the daemon; a redacted one unchanged.

        Raises:
            DocumentError: If it is malformed.
        """
        ...

    @property
    def rollout_status_topic(self) -> str:
        """Topic that holds the status of each service's roll-out, for the operator."""
        ...

    def decode_order(self, record: KeyedRecord) -> ReceivedOrder | None:
        """Decodes a record of the operator's topic as an order for a roll-out.

        Args:
            record: The record.

        Returns:
            The order, with the reason if it is malformed; None if the record is no order.
        """
        ...

    def encode_rollout_status(
        self, service: str, target_version: str, phase: RolloutPhase
    ) -> KeyedRecord:
        """Encodes the status of a service's roll-out.

        Args:
            service: Name of the service.
            target_version: Version that the order names.
            phase: Phase of the roll-out.

        Returns:
            The record, whose offset has no meaning.
        """
        ...

    async def handle_announcement(self, request: HttpRequest, events: UpstreamEvents) -> HttpAnswer:
        """Handles an announcement request from the upstream on this VM."""
        ...

    async def handle_readiness(self, request: HttpRequest, is_ready: bool) -> HttpAnswer:
        """Handles a readiness probe of the platform."""
        ...
