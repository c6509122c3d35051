"""Tests of fulmarstile_calls."""
