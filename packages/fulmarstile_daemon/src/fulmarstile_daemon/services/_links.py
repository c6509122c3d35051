"""Connections to other daemons."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._call import AttemptResult, make_failure
from fulmarstile_daemon.services._exchange import Answer, Exchange
from fulmarstile_http.client_connection import ExchangeError
from fulmarstile_http.connection_pool import ConnectionPool
from fulmarstile_wire.errors import WireError
from fulmarstile_wire.services import (
    HOP_HEADER,
    OUTCOME_HEADER,
    SYNC_HEADER,
    SYNC_TARGET,
    decode_hop_outcome,
    decode_sync_reply,
    encode_header,
    encode_sync,
)
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_daemon.services._server_connection import ReceivedRequest
    from fulmarstile_wire.services import HopRequest, Member, SyncReply, SyncRequest

_MAX_CONNECTIONS: Final = 256
"""Most connections to one daemon."""


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Limits of the connections to one address."""

    head_limit: int = 64 * 1024
    connect_timeout_s: float = 0.4
    fresh_connection_s: float = 10.0


class DaemonUnreachableError(Exception):
    """A daemon took no connection, or did not answer."""


class DaemonLinks:
    """Sends requests and synchronizations to other daemons.

    Args:
        settings: Limits of the connections.
    """

    def __init__(self, settings: LinkSettings | None = None) -> None:
        self._settings = settings or LinkSettings()
        self._pools: dict[str, ConnectionPool] = {}

    def keep(self, addresses: Iterable[str]) -> None:
        """Closes the connections to daemons that are no longer known.

        Args:
            addresses: `host:port` of the daemons that are.
        """
        for address in sorted(self._pools.keys() - set(addresses)):
            self._pools.pop(address).retire()

    def close_idle(self) -> None:
        """Closes all connections without an exchange, because they may have gone silent."""
        for pool in self._pools.values():
            pool.close_idle()

    async def forward(
        self, member: Member, hop: HopRequest, request: ReceivedRequest
    ) -> AttemptResult:
        """Forwards a request to the daemon beside its upstream.

        Args:
            member: The daemon.
            hop: What it must know.
            request: The request.

        Returns:
            How the attempt ended.

        Raises:
            DaemonUnreachableError: If the daemon takes no connection.
        """
        pool = self._find_pool(member.address)
        try:
            connection = await pool.acquire()
        except ExchangeError as error:
            raise DaemonUnreachableError(str(error)) from error
        headers = [*request.headers.passed_on, (HOP_HEADER, encode_header(hop))]
        exchange = Exchange(
            connection, request.head.method, request.head.target, headers, request.body
        )
        is_whole = False
        try:
            answer = await exchange.run()
            is_whole = not exchange.is_cut
            return _read_result(answer)
        except (ExchangeError, WireError):
            pool.distrust(connection)
            if not exchange.may_have_arrived:
                failure = make_failure(Verdict.NOT_RUN, RefusalReason.CONNECT_FAILED)
            else:
                failure = make_failure(
                    Verdict.MAY_HAVE_RUN, RefusalReason.CONNECTION_LOST, reached_upstream=True
                )
            return AttemptResult(failure)
        finally:
            if is_whole:
                pool.release(connection)
            else:
                pool.discard(connection)

    async def synchronize(
        self, member: Member, message: SyncRequest, timeout_s: float
    ) -> SyncReply:
        """Exchanges state with a daemon.

        Args:
            member: The daemon.
            message: What to offer.
            timeout_s: Longest time for the exchange, in seconds.

        Returns:
            What the daemon replied.

        Raises:
            DaemonUnreachableError: If it did not reply in time.
        """
        pool = self._find_pool(member.address)
        body = encode_sync(message)
        headers = [(b"host", member.address.encode()), (SYNC_HEADER, b"1")]
        is_whole = False
        with trio.move_on_after(timeout_s):
            try:
                connection = await pool.acquire()
            except ExchangeError as error:
                raise DaemonUnreachableError(str(error)) from error
            try:
                exchange = Exchange(connection, b"POST", SYNC_TARGET, headers, body)
                answer = await exchange.run()
                reply = decode_sync_reply(answer.body)
                is_whole = not exchange.is_cut
                return reply
            except (ExchangeError, WireError) as error:
                raise DaemonUnreachableError(str(error)) from error
            finally:
                if is_whole:
                    pool.release(connection)
                else:
                    pool.discard(connection)
        raise DaemonUnreachableError("no reply in time")

    def _find_pool(self, address: str) -> ConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(address, _MAX_CONNECTIONS, self._settings)
        return pool


def _read_result(answer: Answer) -> AttemptResult:
    outcome = decode_hop_outcome(answer.headers.own.get(OUTCOME_HEADER, b""))
    if outcome.reason:
        return AttemptResult(outcome)
    return AttemptResult(outcome, answer)
