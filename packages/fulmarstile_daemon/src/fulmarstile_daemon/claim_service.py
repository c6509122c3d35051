"""Claims on at-most-once calls, made by the call proxy and decided by the core."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_calls.claims import ClaimFailed, ClaimLost, ClaimWon, normalize_key
from fulmarstile_daemon.calls import ClaimAnswered, ClaimGranted, ClaimRefused, StoredAnswer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarstile_calls.claims import ClaimRequester
    from fulmarstile_daemon.calls import ClaimRequest, ClaimResult
    from fulmarstile_mesh import Effect
    from fulmarstile_wire.records import OutcomeRecord

_CONTENT_TYPE: Final = b"content-type"

ClaimEffect = ClaimWon | ClaimLost | ClaimFailed
"""Result of a claim, as an effect of the core."""


class _Waiter:
    """A call that waits for the result of its claim."""

    __slots__ = ("decided", "result")

    def __init__(self) -> None:
        self.decided = trio.Event()
        self.result: ClaimEffect | None = None


class ClaimService:
    """Makes claims through the core and waits for their results.

    Args:
        requester: Core that claims idempotency keys.
        execute_effects: Executes the effects of the core.
    """

    def __init__(
        self, requester: ClaimRequester, execute_effects: Callable[[Iterable[Effect]], None]
    ) -> None:
        self._requester = requester
        self._execute_effects = execute_effects
        self._waiters: dict[str, _Waiter] = {}

    async def claim(self, request: ClaimRequest) -> ClaimResult:
        """Claims the right to run a call.

        Args:
            request: The customer, idempotency key, body hash and deadline of the call.

        Returns:
            The granted claim, the stored answer of the same call, or a refusal.
        """
        start = self._requester.claim(
            request.customer,
            normalize_key(request.key),
            request.body_hash,
            trio.current_time(),
            wall_clock_ms=time.time_ns() // 1_000_000,
            deadline_s=request.deadline,
        )
        waiter = self._waiters[start.claim_id] = _Waiter()
        try:
            self._execute_effects(start.effects)
            await waiter.decided.wait()
        except trio.Cancelled:
            self._abandon(start.claim_id, waiter)
            raise
        finally:
            del self._waiters[start.claim_id]
        return _convert_result(waiter.result)

    def on_result(self, effect: ClaimEffect) -> None:
        """Passes the result of a claim to the call that waits for it."""
        waiter = self._waiters.get(effect.claim_id)
        if waiter is not None:
            waiter.result = effect
            waiter.decided.set()

    def on_not_run(self, granted: ClaimGranted) -> None:
        """Releases a claim whose call certainly did not run."""
        self._execute_effects(self._requester.release(granted.claim_id, trio.current_time()))

    def on_answered(self, granted: ClaimGranted, answer: StoredAnswer | None) -> None:
        """Stores the answer of a claimed call; without one, reports that the call may have run."""
        now = trio.current_time()
        if answer is None:
            self._execute_effects(self._requester.finish_unknown(granted.claim_id, now))
            return
        content_type = dict(answer.headers).get(_CONTENT_TYPE, b"").decode("latin-1")
        effects = self._requester.finish(
            granted.claim_id, answer.status, content_type, answer.body, now
        )
        self._execute_effects(effects)

    def _abandon(self, claim_id: str, waiter: _Waiter) -> None:
        now = trio.current_time()
        if isinstance(waiter.result, ClaimWon):
            self._execute_effects(self._requester.release(claim_id, now))
        else:
            self._execute_effects(self._requester.abandon(claim_id, now))


def _convert_result(result: ClaimEffect | None) -> ClaimResult:
    if isinstance(result, ClaimWon):
        return ClaimGranted(result.claim_id)
    assert result is not None
    if isinstance(result, ClaimLost) and result.outcome is not None:
        return ClaimAnswered(_restore_answer(result.outcome))
    assert result.refusal is not None
    return ClaimRefused(result.refusal)


def _restore_answer(outcome: OutcomeRecord) -> StoredAnswer:
    headers = ()
    if outcome.content_type:
        headers = ((_CONTENT_TYPE, outcome.content_type.encode("latin-1")),)
    return StoredAnswer(outcome.status, headers, outcome.body)
