"""Stage of a request that takes a token of its customer's quota."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from fulmarstile_calls.request import RefusalReason
from fulmarstile_services.quotas.lease import Source
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_daemon.services._call import AttemptResult, ServiceCall
    from fulmarstile_daemon.services._replies import CallReplies
    from fulmarstile_daemon.services._server_connection import CallerResponse
    from fulmarstile_daemon.services.quotas import Quotas


class QuotaStage:
    """Refuses requests beyond their customer's quota.

    Args:
        replies: Creates the refusals.
    """

    def __init__(self, replies: CallReplies) -> None:
        self._replies = replies
        self.quotas: Quotas | None = None
        """Tokens of this daemon; None if the deployment has no quotas."""

    async def admit(self, call: ServiceCall) -> CallerResponse | None:
        """Takes a token for a request, if its customer has a quota.

        Args:
            call: The request, whose customer is known.

        Returns:
            The refusal; None if the request may be sent.
        """
        customer = call.customer
        if self.quotas is None or customer is None or customer.rate_per_s <= 0.0:
            return None
        decision, taken_at = await self.quotas.take(customer.name)
        if decision.source is Source.TOKEN:
            call.quota_taken_at = taken_at
            return None
        if decision.source in (Source.SHARE, Source.UNLIMITED):
            return None
        if decision.source is Source.SILENT:
            reason, detail = RefusalReason.QUOTA_UNKNOWN, "the rest of the quota is not known"
        else:
            reason, detail = RefusalReason.QUOTA_EXCEEDED, "the quota is used"
        return self._replies.refuse(
            call, reason, detail, decision.retry_after_s, status=HTTPStatus.TOO_MANY_REQUESTS
        )

    def settle(self, call: ServiceCall, result: AttemptResult) -> None:
        """Gives the token of a request back if no upstream has run it.

        Args:
            call: The request.
            result: Result of its last attempt.
        """
        taken_at, call.quota_taken_at = call.quota_taken_at, None
        if taken_at is None or self.quotas is None or call.customer is None:
            return
        is_run = call.may_have_run or call.last_failure is not None
        if not is_run and result.response is None and result.outcome.verdict is Verdict.NOT_RUN:
            self.quotas.give_back(call.customer.name, taken_at)
