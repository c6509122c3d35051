"""Tests of fulmarstile_platform."""
