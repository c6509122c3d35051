"""Makes calls from request heads."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_calls.deadline import compute_deadline, parse_remaining_ms
from fulmarstile_calls.request import RefusalReason
from fulmarstile_calls.retries import Attempt
from fulmarstile_daemon.calls import _headers
from fulmarstile_daemon.calls._call import Call, CallFailedError, make_refusal
from fulmarstile_daemon.calls._hop import HopHeaders, read_priority, read_weight
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    import h11

    from fulmarstile_calls.retries import RetryBudgets
    from fulmarstile_daemon.calls._caller import CallerConnection, ReceivedRequest
    from fulmarstile_daemon.calls._headers import MessageHeaders
    from fulmarstile_daemon.calls.context import CallContext

_NOT_READY_RETRY_AFTER_S: Final = 1.0
"""Delay after which to retry at a starting daemon, in seconds."""
_FORWARDED_TIMEOUT_MS: Final = 60_000
"""Timeout of a forwarded call that carries no deadline, in milliseconds."""
_MAX_CUSTOMER_LENGTH: Final = 128


class CallReader:
    """Determines customer, route and deadline of requests.

    Args:
        context: State of the daemon.
        hop: Checks whether a request comes from a daemon.
        budgets: Retry budgets, which limit the retries of a call.
    """

    def __init__(self, context: CallContext, hop: HopHeaders, budgets: RetryBudgets) -> None:
        self._context = context
        self._hop = hop
        self._budgets = budgets

    def read(self, request: ReceivedRequest, caller: CallerConnection, now: float) -> Call:
        """Makes the call for a request.

        Args:
            request: The request.
            caller: Connection that it came from.
            now: Current time in seconds.

        Returns:
            The call, without its body.

        Raises:
            CallFailedError: If the request has no valid customer, matching route or valid path.
        """
        headers = request.headers
        if self._is_forwarded(headers.daemon_headers.get(_headers.HOP), caller):
            return _read_from_daemon(request.head, headers, now)
        return self._read_from_caller(request.head, headers, now)

    def _is_forwarded(self, hop: bytes | None, caller: CallerConnection) -> bool:
        if hop is None:
            return False
        if hop == caller.valid_hop:
            return True
        if not self._hop.is_valid(hop):
            return False
        caller.valid_hop = hop
        return True

    def _make_no_route_error(self, customer: str) -> CallFailedError:
        if not self._context.is_starting(customer):
            return _make_error(RefusalReason.NO_ROUTE, f"customer {customer} has no matching route")
        detail = f"no version of customer {customer} is in force here yet"
        refusal = make_refusal(
            RefusalReason.NOT_READY,
            Verdict.NOT_RUN,
            detail,
            retry_after_s=_NOT_READY_RETRY_AFTER_S,
        )
        return CallFailedError(refusal)

    def _read_from_caller(self, request: h11.Request, headers: MessageHeaders, now: float) -> Call:
        path = _read_path(request.target)
        customer = self._read_customer(headers)
        route = self._context.routing_table.match(customer, request.method.decode(), path)
        if route is None:
            raise self._make_no_route_error(customer)
        remaining_ms = _read_remaining_ms(headers)
        return Call(
            request=request,
            customer=customer,
            service=route.pool.service,
            path=path,
            arrived_at=now,
            deadline=compute_deadline(now, route.route.timeout_ms, remaining_ms),
            route=route,
            priority=route.priority,
            weight=route.limit.weight if route.limit else 1.0,
            key=headers.get_daemon_header(_headers.IDEMPOTENCY_KEY),
            headers=headers,
            attempt=self._read_attempt(headers),
        )

    def _read_customer(self, headers: MessageHeaders) -> str:
        customer = headers.get_daemon_header(_headers.CUSTOMER) or self._context.default_customer
        if not customer:
            raise _make_error(RefusalReason.NO_CUSTOMER, "the request names no customer")
        if len(customer) > _MAX_CUSTOMER_LENGTH or not customer.isprintable():
            raise _make_error(RefusalReason.NO_CUSTOMER, "the customer's name is malformed")
        return customer

    def _read_attempt(self, headers: MessageHeaders) -> Attempt:
        return self._budgets.make_first_attempt(
            headers.get_daemon_header(_headers.ATTEMPT),
            headers.get_daemon_header(_headers.RETRY_BUDGET),
        )


def _read_from_daemon(request: h11.Request, headers: MessageHeaders, now: float) -> Call:
    return Call(
        request=request,
        customer=headers.get_daemon_header(_headers.CUSTOMER),
        service=headers.get_daemon_header(_headers.SERVICE),
        path="",
        arrived_at=now,
        deadline=compute_deadline(now, _FORWARDED_TIMEOUT_MS, _read_remaining_ms(headers)),
        priority=read_priority(headers.daemon_headers.get(_headers.PRIORITY)),
        weight=read_weight(headers.daemon_headers.get(_headers.WEIGHT)),
        forwarded=True,
        headers=headers,
        attempt=_read_forwarded_attempt(headers),
    )


def _read_remaining_ms(headers: MessageHeaders) -> int | None:
    return parse_remaining_ms(headers.get_daemon_header(_headers.DEADLINE))


def _read_forwarded_attempt(headers: MessageHeaders) -> Attempt:
    number = headers.get_daemon_header(_headers.ATTEMPT)
    remaining_retries = headers.get_daemon_header(_headers.RETRY_BUDGET)
    return Attempt(
        int(number) if number.isdecimal() else 1,
        int(remaining_retries) if remaining_retries.isdecimal() else 0,
    )


def _read_path(target: bytes) -> str:
    """Returns the path of a request target; refuses one that upstreams may parse differently."""
    path = target.partition(b"?")[0]
    if not path.startswith(b"/"):
        path = _absolute_path(path)
    normalized = path.lower().replace(b"%2e", b".")
    if b"/./" in normalized + b"/" or b"/../" in normalized + b"/" or b"\\" in path:
        raise _make_error(RefusalReason.BAD_REQUEST, "the path has dot segments")
    return path.decode("ascii", "replace")


def _absolute_path(path: bytes) -> bytes:
    scheme, _, rest = path.partition(b"://")
    if scheme.lower() not in (b"http", b"https") or not rest:
        raise _make_error(RefusalReason.BAD_REQUEST, "the request target is not a path")
    return b"/" + rest.partition(b"/")[2]


def _make_error(reason: RefusalReason, detail: str) -> CallFailedError:
    return CallFailedError(make_refusal(reason, Verdict.NOT_RUN, detail))
