"""Client of the daemons' admin interface."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final, TypeVar
from urllib.parse import quote

import msgspec

from fulmarstile_cli.errors import UnreachableError
from fulmarstile_platform import HttpClient, HttpError, open_http_client
from fulmarstile_wire.admin import (
    ConvergenceView,
    CustomerView,
    ErrorView,
    MemberView,
    VerdictView,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from fulmarstile_platform import HttpResponse

REQUEST_TIMEOUT_S: Final = 3.0
"""Longest time for one request to one daemon, in seconds."""

_T = TypeVar("_T")


class AdminClient:
    """Sends each request to the daemons in order until one of them answers.

    Args:
        clients: `host:port` of each daemon and an open client for it.
    """

    def __init__(self, clients: Sequence[tuple[str, HttpClient]]) -> None:
        self._clients = list(clients)

    async def fetch_customers(self) -> list[str]:
        """Returns the names of the customers that the daemon serves."""
        return await self._fetch("/v1/customers", list[str])

    async def fetch_customer(self, customer: str) -> CustomerView:
        """Returns a customer's configuration as the daemon has folded it."""
        return await self._fetch(_customer_path(customer), CustomerView)

    async def fetch_sections(self, customer: str) -> dict[str, str]:
        """Returns the body of each section in force, by section."""
        return await self._fetch(f"{_customer_path(customer)}/sections", dict[str, str])

    async def fetch_history(self, customer: str) -> list[VerdictView]:
        """Returns the recent verdicts, oldest first."""
        return await self._fetch(f"{_customer_path(customer)}/history", list[VerdictView])

    async def fetch_convergence(self, customer: str, version: int) -> ConvergenceView:
        """Returns on how many daemons a version is in force, and which lack it."""
        path = f"{_customer_path(customer)}/convergence?version={version}"
        return await self._fetch(path, ConvergenceView)

    async def fetch_members(self) -> list[MemberView]:
        """Returns the daemons known to the daemon that answers."""
        return await self._fetch("/v1/members", list[MemberView])

    async def fetch_state(self) -> Any:
        """Returns the daemon's whole state as plain data."""
        return await self._fetch("/state", Any)

    async def find_verdict(self, customer: str, publication_id: str) -> VerdictView | None:
        """Returns the verdict on a publication, or None if the daemon has none yet."""
        path = f"{_customer_path(customer)}/publications/{quote(publication_id, safe='')}"
        address, response = await self._request(path)
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        return _decode(address, response, VerdictView)

    async def _fetch(self, path: str, answer_type: type[_T]) -> _T:
        address, response = await self._request(path)
        return _decode(address, response, answer_type)

    async def _request(self, path: str) -> tuple[str, HttpResponse]:
        reasons = []
        for address, client in self._clients:
            try:
                response = await client.request("GET", path, timeout_s=REQUEST_TIMEOUT_S)
            except HttpError as error:
                reasons.append(str(error))
                continue
            return address, response
        raise UnreachableError(f"no daemon answers: {'; '.join(reasons)}")


@asynccontextmanager
async def open_admin_client(addresses: Sequence[str]) -> AsyncIterator[AdminClient]:
    """Opens a client and closes its connections at the end.

    Args:
        addresses: `host:port` of the daemons, in the order in which they are asked.

    Yields:
        The client.
    """
    async with AsyncExitStack() as stack:
        clients = [
            (address, await stack.enter_async_context(open_http_client(address)))
            for address in addresses
        ]
        yield AdminClient(clients)


def _customer_path(customer: str) -> str:
    return f"/v1/customers/{quote(customer, safe='')}"


def _decode(address: str, response: HttpResponse, answer_type: type[_T]) -> _T:
    if response.status != HTTPStatus.OK:
        raise UnreachableError(f"{address} answered {response.status}: {_parse_error(response)}")
    try:
        return msgspec.json.decode(response.body, type=answer_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UnreachableError(f"{address} sent a malformed answer: {error}") from error


def _parse_error(response: HttpResponse) -> str:
    try:
        return msgspec.json.decode(response.body, type=ErrorView).error
    except (msgspec.DecodeError, UnicodeDecodeError):
        return response.body[:200].decode("utf-8", "replace")
