"""Interfaces through which the call proxy uses the rest of the daemon."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from fulmarstile_calls.request import CallRefusal, UpstreamEndpoint
    from fulmarstile_config.routing_table import CompiledRoute


class Routes(Protocol):
    """Routing table as the call proxy uses it."""

    def match(self, customer: str, method: str, path: str) -> CompiledRoute | None:
        """Finds the route of a request.

        Args:
            customer: Customer that the request belongs to.
            method: HTTP method.
            path: Path of the request target, without the query.

        Returns:
            The route with the longest matching prefix, or None.
        """
        ...


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Request for the right to run a call on an at-most-once route."""

    customer: str
    route: str
    key: str
    """Idempotency key sent by the caller."""
    body_hash: bytes
    """Hash of method, target and body; the reuse of a key with another hash is refused."""
    deadline: float
    """Time by `trio.current_time` after which the result is no longer needed, in seconds."""


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Answer of an upstream, stored for repetitions of the same request."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | None
    """Body; None if the answer was streamed completely but not stored."""


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """Only this daemon may run the call."""

    claim_id: str


@dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """The call has run before; the stored answer is returned."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The call must not run now."""

    refusal: CallRefusal


ClaimResult = ClaimGranted | ClaimAnswered | ClaimRefused


class Claims(Protocol):
    """Claims on calls that may run at most once."""

    async def claim(self, request: ClaimRequest) -> ClaimResult:
        """Claims the right to run a call.

        Args:
            request: The call to claim.

        Returns:
            The granted claim, the stored answer or a refusal.
        """
        ...

    def on_not_run(self, granted: ClaimGranted) -> None:
        """Releases a claim whose call did certainly not run.

        Args:
            granted: The claim.
        """
        ...

    def on_answered(self, granted: ClaimGranted, answer: StoredAnswer | None) -> None:
        """Stores the answer of a claimed call.

        Args:
            granted: The claim.
            answer: Answer; None if the call may have run but got no complete answer.
        """
        ...


class CallContext(Protocol):
    """State of the daemon that the call proxy reads, and events that it reports."""

    @property
    def routing_table(self) -> Routes:
        """Current routing table; replaced as a whole when it changes."""
        ...

    @property
    def endpoints(self) -> tuple[UpstreamEndpoint, ...]:
        """Upstreams known when the proxy starts."""
        ...

    @property
    def default_customer(self) -> str:
        """Customer of requests without a customer header; empty to refuse them."""
        ...

    @property
    def daemon_id(self) -> str:
        """Identifier of this daemon."""
        ...

    @property
    def claims(self) -> Claims | None:
        """Claims on at-most-once calls; None to refuse these calls."""
        ...

    def is_starting(self, customer: str) -> bool:
        """Returns whether a customer's configuration has not arrived yet.

        Args:
            customer: Name of a customer.

        Returns:
            True if the daemon serves the customer but has no configuration version in force yet.
        """
        ...

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Returns whether a request is refused because it crashed upstreams.

        Args:
            fingerprint: Fingerprint of the request.

        Returns:
            True if the request must not run.
        """
        ...

    def on_upstream_crash(self, fingerprints: tuple[bytes, ...]) -> None:
        """Reports that the local upstream crashed.

        Args:
            fingerprints: Requests that are suspected of the crash.
        """
        ...
