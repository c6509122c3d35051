"""Decision logic for calls, free of I/O: balancing, admission, retries, claims and drain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_wire.lazy_exports import export_lazily

if TYPE_CHECKING:
    from fulmarstile_calls.admission import (
        Admission,
        AdmissionSettings,
        AdmissionTicket,
        Admitted,
        FairAdmission,
        Refused,
    )
    from fulmarstile_calls.balancing import (
        Balancer,
        BalancerSettings,
        CallSample,
        TwoChoicesBalancer,
    )
    from fulmarstile_calls.claims import ClaimRequester, ClaimSettings, ShardBatchers
    from fulmarstile_calls.drain import Drain, DrainPhase, DrainSettings
    from fulmarstile_calls.quarantine import Quarantine, QuarantineSettings, request_fingerprint
    from fulmarstile_calls.rate_limiter import RateLimiter
    from fulmarstile_calls.request import CallRefusal, RefusalReason, UpstreamEndpoint
    from fulmarstile_calls.retries import RetryBudgets, RetryDecision, RetryPolicy, RetrySettings
    from fulmarstile_calls.upstream_lease import UpstreamAnnouncement, UpstreamLease

__all__ = [
    "Admission",
    "AdmissionSettings",
    "AdmissionTicket",
    "Admitted",
    "Balancer",
    "BalancerSettings",
    "CallRefusal",
    "CallSample",
    "ClaimRequester",
    "ClaimSettings",
    "Drain",
    "DrainPhase",
    "DrainSettings",
    "FairAdmission",
    "Quarantine",
    "QuarantineSettings",
    "RateLimiter",
    "RefusalReason",
    "Refused",
    "RetryBudgets",
    "RetryDecision",
    "RetryPolicy",
    "RetrySettings",
    "ShardBatchers",
    "TwoChoicesBalancer",
    "UpstreamAnnouncement",
    "UpstreamEndpoint",
    "UpstreamLease",
    "request_fingerprint",
]

__getattr__ = export_lazily(
    __name__,
    {
        "fulmarstile_calls.admission": (
            "Admission",
            "AdmissionSettings",
            "AdmissionTicket",
            "Admitted",
            "FairAdmission",
            "Refused",
        ),
        "fulmarstile_calls.balancing": (
            "Balancer",
            "BalancerSettings",
            "CallSample",
            "TwoChoicesBalancer",
        ),
        "fulmarstile_calls.claims": (
            "ClaimRequester",
            "ClaimSettings",
            "ShardBatchers",
        ),
        "fulmarstile_calls.drain": (
            "Drain",
            "DrainPhase",
            "DrainSettings",
        ),
        "fulmarstile_calls.quarantine": (
            "Quarantine",
            "QuarantineSettings",
            "request_fingerprint",
        ),
        "fulmarstile_calls.rate_limiter": ("RateLimiter",),
        "fulmarstile_calls.request": (
            "CallRefusal",
            "RefusalReason",
            "UpstreamEndpoint",
        ),
        "fulmarstile_calls.retries": (
            "RetryBudgets",
            "RetryDecision",
            "RetryPolicy",
            "RetrySettings",
        ),
        "fulmarstile_calls.upstream_lease": (
            "UpstreamAnnouncement",
            "UpstreamLease",
        ),
    },
)
