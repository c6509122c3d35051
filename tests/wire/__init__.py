"""Tests of fulmarstile_wire."""
