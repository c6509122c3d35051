"""Routing, balancing, admission, retry and claim cores."""
