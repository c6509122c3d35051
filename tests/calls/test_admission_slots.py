"""Slots are never exceeded and every request gets one decision, whatever the order of events."""

from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fulmarstile_calls.admission import (
    AdmissionSettings,
    Admitted,
    FairAdmission,
    FifoAdmission,
    Refused,
    UnboundedAdmission,
)
from fulmarstile_config.document import Priority
from fulmarstile_testing.builders.calls import make_ticket
from fulmarstile_wire.verdict import Verdict

QUEUE_LIMIT = 6
CONNECTIONS = 5


class AdmissionMachine(RuleBasedStateMachine):
    """Random events at `FairAdmission`, checked against a plain count."""

    def __init__(self) -> None:
        super().__init__()
        self.slots = 3
        self.admission = FairAdmission(AdmissionSettings(self.slots, QUEUE_LIMIT, CONNECTIONS))
        self.now = 0.0
        self.next_id = 0
        self.running: set[int] = set()
        self.waiting: set[int] = set()
        self.draining = False

    def perform(self, effects) -> None:
        for effect in effects:
            assert effect.ticket_id in self.waiting, "a request was decided on twice"
            self.waiting.remove(effect.ticket_id)
            if isinstance(effect, Admitted):
                assert len(self.running) < self.slots, "a slot was given twice"
                assert not self.draining
                self.running.add(effect.ticket_id)
            else:
                assert isinstance(effect, Refused)
                assert effect.refusal.verdict is Verdict.NOT_RUN
                assert effect.refusal.retry_after_s > 0

    @rule(
        customer=st.sampled_from("abc"),
        priority=st.sampled_from(Priority),
        weight=st.sampled_from((0.0, 0.5, 1.0, 4.0)),
        timeout_s=st.sampled_from((0.0, 0.05, 1.0, 1e6)),
    )
    def arrive(self, customer, priority, weight, timeout_s):
        self.next_id += 1
        ticket = make_ticket(
            self.next_id,
            customer=customer,
            priority=priority,
            weight=weight,
            deadline_s=self.now + timeout_s,
        )
        self.waiting.add(ticket.ticket_id)
        self.perform(self.admission.on_arrival(ticket, self.now))

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def finish(self, data):
        ticket_id = data.draw(st.sampled_from(sorted(self.running)))
        self.running.remove(ticket_id)
        self.perform(self.admission.on_finished(ticket_id, self.now))

    @precondition(lambda self: self.running | self.waiting)
    @rule(data=st.data())
    def cancel(self, data):
        ticket_id = data.draw(st.sampled_from(sorted(self.running | self.waiting)))
        self.running.discard(ticket_id)
        self.waiting.discard(ticket_id)
        self.perform(self.admission.on_cancelled(ticket_id, self.now))

    @rule(delay_s=st.sampled_from((0.001, 0.1, 2.0)))
    def pass_time(self, delay_s):
        self.now += delay_s
        self.perform(self.admission.on_tick(self.now))

    @rule(slots=st.integers(min_value=0, max_value=8))
    def resize(self, slots):
        self.slots = min(slots, CONNECTIONS)
        self.perform(self.admission.set_slots(slots, self.now))

    @rule(chance=st.integers(min_value=0, max_value=9))
    def drain(self, chance):
        if chance == 0:
            self.draining = True
            self.perform(self.admission.begin_draining(self.now))

    @invariant()
    def counts_agree(self):
        assert self.admission.running == len(self.running)
        assert self.admission.queued == len(self.waiting) <= QUEUE_LIMIT
        if self.waiting:
            assert len(self.running) >= self.slots, "a slot is free while requests wait"


class AdmissionSlotsTest(AdmissionMachine.TestCase):
    """Runs the machine."""

    settings = settings(max_examples=150, stateful_step_count=40, deadline=None, derandomize=True)


class SlotLimitTest(unittest.TestCase):
    """Every admission control stays within slots and connections."""

    def test_running_requests_do_not_exceed_the_connections(self):
        for admission_type in (FairAdmission, FifoAdmission, UnboundedAdmission):
            admission = admission_type(AdmissionSettings(slots=10, queue_limit=5, connections=2))
            for ticket_id in range(8):
                admission.on_arrival(make_ticket(ticket_id), 0.0)
            with self.subTest(admission_type=admission_type.__name__):
                self.assertEqual(admission.running, 2)
