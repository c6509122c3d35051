"""Tests of fulmarstile_cli."""
