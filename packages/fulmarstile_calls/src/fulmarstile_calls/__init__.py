"""Routing, balancing, admission, retry and claim cores."""

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
