"""Records decisions about roll-outs in the store, and their status for the operator."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_daemon.background_tasks import keep_running, run_and_log
from fulmarstile_daemon.services._newest_records import read_all_newest
from fulmarstile_daemon.services._rollout_records import (
    ROLLOUTS_TOPIC,
    RolloutDecision,
    decode_decision,
    encode_decision,
)
from fulmarstile_daemon.services.events import DependencyLost, DependencyRegained, RecordIgnored
from fulmarstile_platform.keyed_log import LogConflictError
from fulmarstile_platform.log import LogError
from fulmarstile_wire.errors import WireError
from fulmarstile_wire.rollouts import RolloutPhase

if TYPE_CHECKING:
    import random

    from fulmarstile_daemon.services._known_rollout import KnownRollout
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.ports import Platform
    from fulmarstile_daemon.services.rollouts import Rollouts
    from fulmarstile_platform.keyed_log import KeyedLog, KeyedPage
    from fulmarstile_services.rollouts.model import RolloutOrder
    from fulmarstile_wire.rollouts import RolloutState

_RETRY_S: Final = 0.3
"""Mean pause before a failed call of the store is repeated, in seconds."""
_STATUS_CHECK_S: Final = 1.0
"""Time that the daemon before this one has to write a status, in seconds."""


class RolloutRecorder:
    """Appends decisions, so that exactly one is made about each order.

    Args:
        name: Name of this daemon.
        rollouts: What this daemon knows about roll-outs.
        platform: Encodes the status.
        random: Source of randomness.
        log: Log of the daemon.
    """

    def __init__(
        self,
        name: str,
        rollouts: Rollouts,
        platform: Platform,
        random: random.Random,
        log: EventLog,
    ) -> None:
        self._name = name
        self._rollouts = rollouts
        self._platform = platform
        self._random = random
        self._log = log
        self._store: KeyedLog | None = None
        self._nursery: trio.Nursery | None = None
        self._lost_at: float | None = None
        self._end_offset: int | None = None
        """Where the topic ended when it was last read; None if it must be read again."""
        self._stored: dict[str, RolloutDecision] = {}
        """Decisions that it held then."""

    async def run(
        self, store: KeyedLog, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Reads the decisions that the store holds, then records new ones until cancelled.

        Args:
            store: The platform's store.
            task_status: Told as soon as decisions can be recorded.
        """
        self._store = store
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            nursery.start_soon(keep_running, self._read_decisions, store)
            await trio.sleep_forever()

    def record(self, rollout: KnownRollout) -> None:
        """Records the proposal of a roll-out, unless that is under way."""
        if not rollout.is_recording and self._nursery is not None:
            rollout.is_recording = True
            self._nursery.start_soon(run_and_log, self._record, rollout)

    def report_start(self, rollout: KnownRollout, rank: int, *, is_new: bool) -> None:
        """Tells the operator that a roll-out runs, unless another evaluator has done so.

        Args:
            rollout: The roll-out.
            rank: Rank of this daemon among the evaluators; 0 for the first.
            is_new: Whether no other daemon had evaluated the roll-out before.
        """
        if not rollout.is_reporting_start and self._nursery is not None:
            rollout.is_reporting_start = True
            phase, delay_s = RolloutPhase.CANARY, rank * _STATUS_CHECK_S
            is_first = is_new and not rank
            self._nursery.start_soon(
                run_and_log, self._write_status, rollout, phase, delay_s, not is_first
            )

    def ensure_status(self, rollout: KnownRollout) -> None:
        """Writes the status of a roll-out that has ended, if it is still missing in a while."""
        if rollout.phase is not None and self._nursery is not None:
            self._nursery.start_soon(
                run_and_log, self._write_status, rollout, rollout.phase, 2 * _STATUS_CHECK_S, True
            )

    async def _read_decisions(self, store: KeyedLog) -> None:
        while not self._rollouts.has_decisions:
            try:
                await self._read(store)
            except LogError as error:
                await self._wait_for_store(error)
                continue
            self._on_store_call()
            self._rollouts.on_decisions(self._stored.values())

    async def _record(self, rollout: KnownRollout) -> None:
        try:
            while rollout.proposal is not None and self._rollouts.is_current(rollout):
                proposal = rollout.proposal
                try:
                    is_own = await self._append(rollout, proposal)
                except LogConflictError:
                    # Another record came first; it is read before the next try.
                    self._end_offset = None
                    continue
                except LogError as error:
                    # The append may have taken effect.
                    self._end_offset = None
                    await self._wait_for_store(error)
                    continue
                self._on_store_call()
                rollout.proposal = None
                if is_own:
                    await self._write_status(rollout, proposal.phase, 0.0, False)
        finally:
            rollout.is_recording = False

    async def _append(self, rollout: KnownRollout, proposal: RolloutState) -> bool:
        """Appends a decision, or adopts the one that the store holds.

        Returns:
            Whether this daemon's decision is the one that holds.

        Raises:
            LogError: If the store cannot be read or written.
        """
        store = self._store
        if store is None:
            return False
        if self._end_offset is None:
            await self._read(store)
        end_offset = self._end_offset
        stored = self._stored.get(rollout.order.service)
        if stored is None or stored.order_offset < rollout.order.offset:
            decision = self._make_decision(rollout, proposal)
            await store.append_keyed(
                ROLLOUTS_TOPIC, decision.service, encode_decision(decision), at=end_offset
            )
            self._stored[decision.service] = stored = decision
            self._end_offset = None
        if stored.order_offset == rollout.order.offset:
            self._adopt(rollout, stored)
        return stored.order_offset == rollout.order.offset and stored.decided_by == self._name

    async def _read(self, store: KeyedLog) -> None:
        page = await read_all_newest(store, ROLLOUTS_TOPIC)
        self._stored = self._decode_all(page)
        self._end_offset = page.next_offset

    def _adopt(self, rollout: KnownRollout, decision: RolloutDecision) -> None:
        now = self._rollouts.now()
        self._rollouts.log.write_decided(decision)
        if rollout.evaluator is not None:
            rollout.evaluator.record(decision.phase, decision.reason, now)
        state = rollout.make_state(decision.phase, decision.reason, now)
        self._rollouts.adopt(rollout, msgspec.structs.replace(state, is_recorded=True))

    def _make_decision(self, rollout: KnownRollout, proposal: RolloutState) -> RolloutDecision:
        order, evaluator = rollout.order, rollout.evaluator
        rules = self._rollouts.make_rules(rollout, proposal.phase)
        return RolloutDecision(
            service=order.service,
            order_offset=order.offset,
            target_version=order.target_version,
            phase=proposal.phase,
            reason=proposal.reason,
            decided_by=self._name,
            age_ms=proposal.age_ms,
            excluded=tuple(sorted(rules.excluded)),
            only=rules.only,
            figures=None if evaluator is None else evaluator.figures,
        )

    async def _write_status(
        self, rollout: KnownRollout, phase: RolloutPhase, delay_s: float, is_checked: bool
    ) -> None:
        """Writes a status after a delay; if it is checked, only if it is not there already.

        Each append is on condition that the topic has not changed, as one without an answer may be
        done seconds later and would replace the status of the end, or of a later order.
        """
        order, store = rollout.order, self._store
        record = self._platform.encode_rollout_status(order.service, order.target_version, phase)
        topic = self._platform.rollout_status_topic
        await trio.sleep(delay_s)
        while store is not None and self._is_due(rollout, phase):
            try:
                if is_checked:
                    page = await read_all_newest(store, topic)
                    if record in page.records:
                        return
                    end_offset = page.next_offset
                else:
                    end_offset = await store.read_end(topic)
                if is_checked and not phase.is_final and await self._is_decided(store, order):
                    return
                await store.append_keyed(topic, record.key, record.value, at=end_offset)
            except LogConflictError:
                # Another status came first; it may be this one.
                continue
            except LogError as error:
                await self._wait_for_store(error)
                continue
            self._on_store_call()
            self._rollouts.log.write_status(order, phase)
            return

    async def _is_decided(self, store: KeyedLog, order: RolloutOrder) -> bool:
        """Returns whether the store holds a decision about an order, or about a later one.

        Another evaluator may have recorded one that is not known here yet. Its status follows the
        decision, so one that this daemon writes before cannot replace it.

        Raises:
            LogError: If the store cannot be read.
        """
        await self._read(store)
        stored = self._stored.get(order.service)
        return stored is not None and stored.order_offset >= order.offset

    def _is_due(self, rollout: KnownRollout, phase: RolloutPhase) -> bool:
        """Returns whether a status is still that of the service's newest roll-out."""
        return self._rollouts.is_current(rollout) and phase.is_final is rollout.is_final

    def _decode_all(self, page: KeyedPage) -> dict[str, RolloutDecision]:
        decisions = {}
        for record in page.records:
            if not record.value:
                continue
            try:
                decisions[record.key] = decode_decision(record)
            except WireError as error:
                self._log.write(RecordIgnored(source=record.key, reason=str(error)))
        return decisions

    async def _wait_for_store(self, error: LogError) -> None:
        if self._lost_at is None:
            self._lost_at = trio.current_time()
            self._log.write(DependencyLost(dependency=f"store {ROLLOUTS_TOPIC}", reason=str(error)))
        await trio.sleep(_RETRY_S * self._random.uniform(0.5, 1.5))

    def _on_store_call(self) -> None:
        if self._lost_at is None:
            return
        after_s = round(trio.current_time() - self._lost_at, 2)
        self._lost_at = None
        self._log.write(DependencyRegained(dependency=f"store {ROLLOUTS_TOPIC}", after_s=after_s))
