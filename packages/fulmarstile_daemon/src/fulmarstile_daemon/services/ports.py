"""What the daemon needs of the platform that it runs on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from fulmarstile_platform.http_server import HttpAnswer, HttpRequest
    from fulmarstile_platform.keyed_log import KeyedLog
    from fulmarstile_services.document import ServiceDocument
    from fulmarstile_services.settings import NodeSettings
    from fulmarstile_services.upstream_registry import UpstreamAnnouncement


@dataclass(frozen=True, slots=True)
class CallHeaderNames:
    """Names of the headers that callers, the daemon and upstreams exchange, in lower case."""

    request_id: bytes
    """Identifies one attempt of a caller; repeated by the upstream's answer."""
    time_left_ms: bytes
    """How long the caller waits, in milliseconds."""
    caller_service: bytes
    """Service on the VM where the request began."""
    expected_upstream: bytes
    """Id of the upstream that may run the request."""
    answer_proof: bytes
    """Proof that an answer is an upstream's."""
    not_run: bytes
    """Set on the answer of an upstream that has not run the request."""
    call_separator: bytes = b""
    """What follows, in the id of a call that an upstream makes, the id of the request that it runs;
    empty if ids don't tell."""


class UpstreamEvents(Protocol):
    """Takes what the upstream on this VM says of itself."""

    async def announce(self, announcement: UpstreamAnnouncement) -> None:
        """Takes in an announcement; returns once it may be acknowledged."""
        ...

    async def leave(self, upstream_id: str, born_ms: int | None) -> None:
        """Takes in that an upstream leaves; returns once that may be acknowledged."""
        ...


class Platform(Protocol):
    """Translates between the daemon and one platform."""

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
        """Returns something that changes when the settings file does."""
        ...

    def open_store(self, address: str) -> AbstractAsyncContextManager[KeyedLog]:
        """Opens a client of the platform's store."""
        ...

    def decode_document(self, raw: bytes) -> ServiceDocument:
        """Decodes the operator's document.

        Raises:
            DocumentError: If it is malformed.
        """
        ...

    async def answer_announcement(self, request: HttpRequest, events: UpstreamEvents) -> HttpAnswer:
        """Answers a request of the upstream on this VM about itself."""
        ...

    async def answer_readiness(self, request: HttpRequest, is_ready: bool) -> HttpAnswer:
        """Answers the platform's question whether the daemon is ready."""
        ...
