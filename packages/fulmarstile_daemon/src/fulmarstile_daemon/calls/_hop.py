"""Headers of calls sent to other daemons and to upstreams."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING, Final

from fulmarstile_config.document import Priority
from fulmarstile_daemon.calls import _headers

if TYPE_CHECKING:
    from fulmarstile_daemon.calls._call import Call

_TOKEN_LENGTH: Final = 32
"""Length of a token, in hexadecimal digits."""


class HopHeaders:
    """Builds and checks the headers that only daemons may set.

    Args:
        daemon_id: Identifier of this daemon.
        mesh_key: Secret shared by all daemons.
    """

    def __init__(self, daemon_id: str, mesh_key: bytes) -> None:
        self._mesh_key = mesh_key
        self._hop_value = b"%s %s" % (daemon_id.encode(), self._token(daemon_id.encode()))

    def is_valid(self, value: bytes) -> bool:
        """Returns whether a `Fulmarstile-Hop` header comes from a daemon.

        Args:
            value: Value of the header.

        Returns:
            True if it contains the token of the daemon that it names.
        """
        daemon_id, _, token = value.rpartition(b" ")
        return hmac.compare_digest(self._token(daemon_id), token)

    def build_daemon_headers(self, call: Call, now: float) -> list[_headers.Header]:
        """Builds the headers for a call that is forwarded to the upstream's daemon.

        Args:
            call: The call.
            now: Current time in seconds.

        Returns:
            All headers of the forwarded request.
        """
        headers = call.headers.end_to_end.copy()
        headers.append((_headers.HOP, self._hop_value))
        headers.append((_headers.CUSTOMER, call.customer.encode()))
        headers.append((_headers.SERVICE, call.service.encode()))
        headers.append((_headers.PRIORITY, b"%d" % call.priority))
        headers.append((_headers.WEIGHT, b"%g" % call.weight))
        headers += _propagated_headers(call, now)
        return headers

    def _token(self, daemon_id: bytes) -> bytes:
        digest = hmac.new(self._mesh_key, daemon_id, hashlib.sha256).hexdigest()
        return digest[:_TOKEN_LENGTH].encode()


def build_upstream_headers(call: Call, now: float) -> list[_headers.Header]:
    """Builds the headers for a call that is sent to the local upstream.

    Args:
        call: The call.
        now: Current time in seconds.

    Returns:
        All headers of the request.
    """
    headers = call.headers.end_to_end.copy()
    headers.append((_headers.CUSTOMER, call.customer.encode()))
    headers += _propagated_headers(call, now)
    return headers


def _propagated_headers(call: Call, now: float) -> list[_headers.Header]:
    """Builds the headers that an upstream copies to the calls that it makes itself."""
    remaining_ms = max(1, int((call.deadline - now) * 1000))
    return [
        (_headers.DEADLINE, b"%d" % remaining_ms),
        (_headers.ATTEMPT, call.attempt.attempt_value.encode()),
        (_headers.RETRY_BUDGET, call.attempt.budget_value.encode()),
    ]


def read_priority(value: bytes | None) -> Priority:
    """Reads the priority sent by a daemon.

    Args:
        value: Value of the header, if any.

    Returns:
        The priority; `normal` if it is missing or unknown.
    """
    try:
        return Priority(int(value or Priority.NORMAL))
    except ValueError:
        return Priority.NORMAL


def read_weight(value: bytes | None) -> float:
    """Reads the customer's weight sent by a daemon.

    Args:
        value: Value of the header, if any.

    Returns:
        The weight; 1 if it is missing, malformed or out of range.
    """
    try:
        weight = float(value or 1.0)
    except ValueError:
        return 1.0
    return weight if 0.0 < weight < 1e6 else 1.0
