"""Tests that run real processes on loopback against their limits, one at a time."""
