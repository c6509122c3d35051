"""Weighted fair admission with priority classes and deadlines."""

from __future__ import annotations

from fulmarstile_calls.admission.baselines import FifoAdmission


class FairAdmission(FifoAdmission):
    """Shares an upstream's slots fairly among customers."""
