"""Sends one publication and follows it until it is in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_cli.errors import (
    LogRefusalError,
    UnreachableError,
    UsageError,
)
from fulmarstile_config import (
    KeyFormatError,
    Publication,
    SectionChange,
    encode_record,
    sign_publication,
    stream_name,
)
from fulmarstile_platform import LogRefusedError, LogUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from fulmarstile_cli.admin_client import AdminClient
    from fulmarstile_platform import Log
    from fulmarstile_wire.admin import ConvergenceView, CustomerView, VerdictView

POLL_INTERVAL_S: Final = 0.1
"""Time between the first two queries to a daemon, in seconds."""

MAX_POLL_INTERVAL_S: Final = 1.0
"""Longest time between two queries to a daemon, in seconds."""

POLL_GROWTH: Final = 1.3
"""Factor by which the time between queries grows with each query."""

APPEND_RETRY_S: Final = 0.5
"""Time before a failed append is retried, in seconds."""


@dataclass(frozen=True, slots=True)
class PublicationRequest:
    """Publication requested by an operator."""

    publication_id: str
    customer: str
    team: str
    private_key: bytes
    sections: Mapping[str, str]
    """Body of each section, empty to remove it."""
    base_versions: Mapping[str, int]
    """Base versions given by the operator; other sections use those that the daemon reports."""


class Publisher:
    """Publishes to one log and polls the daemons for the outcome.

    Args:
        admin: Client of the daemons.
        log: The log.
        report: Called with each line of progress for the operator.
    """

    def __init__(self, admin: AdminClient, log: Log, report: Callable[[str], None]) -> None:
        self._admin = admin
        self._log = log
        self._report = report
        self._append_error = ""

    @property
    def append_error(self) -> str:
        """Error of the last append; empty if it succeeded."""
        return self._append_error

    async def publish(self, request: PublicationRequest) -> VerdictView:
        """Appends the publication, with retries, and returns its verdict.

        A publication that already has a verdict is not appended again, unless it was refused before
        its content was examined.

        Raises:
            CommandError: If the log or the daemons cannot be reached, or the log refuses the
                record.
        """
        current = await self._admin.fetch_customer(request.customer)
        earlier_verdict = await self._find_verdict(request)
        if earlier_verdict is not None and not _may_append_again(earlier_verdict):
            self._report(f"publication {request.publication_id} was already decided")
            return earlier_verdict
        payload = encode_record(_make_publication(request, current))
        await self._append(stream_name(request.customer), payload)
        return await self._wait_for_verdict(request, earlier_verdict)

    async def wait_until_in_force(self, customer: str, version: int) -> ConvergenceView:
        """Waits until a version is in force on every daemon that it concerns."""
        interval_s = POLL_INTERVAL_S
        last_reported_count = -1
        while True:
            report = await self._try_fetch_convergence(customer, version)
            if report is not None and report.total and report.in_force >= report.total:
                return report
            if report is not None and report.in_force != last_reported_count:
                last_reported_count = report.in_force
                self._report(f"in force on {report.in_force} of {report.total} daemons so far")
            await trio.sleep(interval_s)
            interval_s = min(MAX_POLL_INTERVAL_S, interval_s * POLL_GROWTH)

    async def _append(self, stream: str, payload: bytes) -> None:
        while True:
            try:
                offset = await self._log.append(stream, payload)
            except LogRefusedError as error:
                raise LogRefusalError(f"the log refused the record: {error}") from error
            except LogUnavailableError as error:
                self._append_error = str(error)
                self._report(f"append failed ({error.verdict.value}), retrying: {error}")
                await trio.sleep(APPEND_RETRY_S)
                continue
            self._append_error = ""
            self._report(f"appended at offset {offset}")
            return

    async def _wait_for_verdict(
        self, request: PublicationRequest, earlier_verdict: VerdictView | None
    ) -> VerdictView:
        interval_s = POLL_INTERVAL_S
        while True:
            try:
                verdict = await self._find_verdict(request)
            except UnreachableError:
                verdict = None
            if verdict is not None and verdict != earlier_verdict:
                return verdict
            await trio.sleep(interval_s)
            interval_s = min(MAX_POLL_INTERVAL_S, interval_s * POLL_GROWTH)

    async def _find_verdict(self, request: PublicationRequest) -> VerdictView | None:
        verdict = await self._admin.find_verdict(request.customer, request.publication_id)
        if verdict is None or verdict.team != request.team:
            return None
        return verdict

    async def _try_fetch_convergence(self, customer: str, version: int) -> ConvergenceView | None:
        try:
            return await self._admin.fetch_convergence(customer, version)
        except UnreachableError:
            return None


def _may_append_again(verdict: VerdictView) -> bool:
    """Returns whether the publication was refused before its content was examined."""
    retryable_codes = {"quota", "bad-signature", "unknown-team", "log-reset"}
    return verdict.refusal is not None and verdict.refusal.code in retryable_codes


def _make_publication(request: PublicationRequest, current: CustomerView) -> Publication:
    changes = tuple(
        SectionChange(section, _base_version(request, current, section), body)
        for section, body in sorted(request.sections.items())
    )
    publication = Publication(
        publication_id=request.publication_id,
        customer=request.customer,
        team=request.team,
        changes=changes,
        base_sequence=current.sequence,
    )
    try:
        return sign_publication(publication, request.private_key)
    except KeyFormatError as error:
        raise UsageError(str(error)) from None


def _base_version(request: PublicationRequest, current: CustomerView, section: str) -> int:
    if section in request.base_versions:
        return request.base_versions[section]
    state = current.sections.get(section)
    return state.version if state is not None else 0
