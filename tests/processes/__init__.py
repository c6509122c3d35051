"""Tests that run real processes on loopback."""
