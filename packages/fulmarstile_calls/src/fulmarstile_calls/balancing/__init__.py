"""Load balancing: the choice of an upstream for each call."""

from fulmarstile_calls.balancing.balancer import Balancer, CallSample
from fulmarstile_calls.balancing.baselines import RandomBalancer, RoundRobinBalancer
from fulmarstile_calls.balancing.two_choices import BalancerSettings, TwoChoicesBalancer

__all__ = [
    "Balancer",
    "BalancerSettings",
    "CallSample",
    "RandomBalancer",
    "RoundRobinBalancer",
    "TwoChoicesBalancer",
]
