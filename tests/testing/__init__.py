"""Tests of fulmarstile_testing."""
