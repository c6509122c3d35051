"""Admission control for a daemon's local upstream."""

from fulmarstile_calls.admission.admission import (
    Admission,
    AdmissionEffect,
    AdmissionSettings,
    AdmissionTicket,
    Admitted,
    Refused,
)
from fulmarstile_calls.admission.baselines import FifoAdmission, UnboundedAdmission
from fulmarstile_calls.admission.fair import FairAdmission

__all__ = [
    "Admission",
    "AdmissionEffect",
    "AdmissionSettings",
    "AdmissionTicket",
    "Admitted",
    "FairAdmission",
    "FifoAdmission",
    "Refused",
    "UnboundedAdmission",
]
