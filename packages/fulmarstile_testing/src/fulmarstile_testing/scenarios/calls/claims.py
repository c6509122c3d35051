"""Claim cores of one daemon and where their messages and results go."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_calls.claims import (
    ClaimFailed,
    ClaimLost,
    ClaimRequester,
    ClaimSettings,
    ClaimWon,
    ShardBatchers,
)
from fulmarstile_wire.messages import ClaimReply, ClaimRequest, OutcomeReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarstile_calls.request import CallRefusal
    from fulmarstile_mesh import Effect
    from fulmarstile_platform.log import LogPage
    from fulmarstile_testing.scenarios.virtual_daemon import VirtualDaemon
    from fulmarstile_wire.messages import AnyMessage
    from fulmarstile_wire.records import OutcomeRecord
    from fulmarstile_wire.verdict import Verdict

STREAM_PREFIX: Final = "claims."

CLAIM_MESSAGES: Final = (ClaimRequest, ClaimReply, OutcomeReport)
"""Messages that concern claims."""

ClaimResult = ClaimWon | ClaimLost | ClaimFailed


class ClaimDesk:
    """Requests claims for the calls of a daemon, and batches those of its shards.

    Args:
        daemon: The daemon.
    """

    def __init__(self, daemon: VirtualDaemon) -> None:
        settings = ClaimSettings()
        record = daemon.core.membership.record
        self._daemon = daemon
        self._requester = ClaimRequester(
            settings, record.daemon_id, record.peer_address, record.incarnation
        )
        self._batchers = ShardBatchers(settings, record.daemon_id, record.peer_address)
        self._listeners: dict[str, Callable[[ClaimResult], None]] = {}
        self._members: tuple = ()

    @property
    def requester(self) -> ClaimRequester:
        """Core that claims on behalf of calls."""
        return self._requester

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Carries out effects of the claim cores.

        Args:
            effects: The effects.
        """
        others = []
        for effect in effects:
            if isinstance(effect, ClaimWon | ClaimLost | ClaimFailed):
                listener = self._listeners.pop(effect.claim_id, None)
                if listener is not None:
                    listener(effect)
            else:
                others.append(effect)
        self._daemon.carry_out(others)

    def listen(self, claim_id: str, listener: Callable[[ClaimResult], None]) -> None:
        """Sets what is told of the result of a claim."""
        self._listeners[claim_id] = listener

    def on_message(self, message: AnyMessage, now: float) -> None:
        """Handles a message that concerns claims."""
        match message:
            case ClaimRequest():
                self.carry_out(self._batchers.on_claim_request(message, now))
            case OutcomeReport():
                self.carry_out(self._batchers.on_outcome_report(message, now))
            case ClaimReply():
                self.carry_out(self._requester.on_claim_reply(message, now))

    def on_tick(self, now: float) -> None:
        """Advances the timers and follows the membership."""
        members = tuple(self._daemon.core.membership.members.values())
        if members != self._members:
            self._members = members
            self._requester.replace_members(members, now)
            self.carry_out(self._batchers.replace_members(members, now))
        self.carry_out(self._requester.on_tick(now))
        self.carry_out(self._batchers.on_tick(now))

    def on_log_page(self, stream: str, page: LogPage, now: float) -> None:
        """Handles a page of a claim stream."""
        self.carry_out(self._batchers.on_log_page(stream, page, now))

    def on_log_failure(self, stream: str, now: float) -> None:
        """Handles a failed read of a claim stream."""
        self.carry_out(self._batchers.on_log_failure(stream, now))

    def on_append_done(self, stream: str, offset: int, now: float) -> None:
        """Handles a successful append to a claim stream."""
        self.carry_out(self._batchers.on_append_done(stream, offset, now))

    def on_append_failure(self, stream: str, verdict: Verdict, now: float) -> None:
        """Handles a failed append to a claim stream."""
        self.carry_out(self._batchers.on_append_failure(stream, verdict, now))


def explain(result: ClaimLost | ClaimFailed) -> CallRefusal | OutcomeRecord:
    """Returns what the caller of a claim that did not win is sent."""
    if isinstance(result, ClaimLost) and result.outcome is not None:
        return result.outcome
    return result.refusal
