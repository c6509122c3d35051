"""Tests of fulmarstile_daemon."""
