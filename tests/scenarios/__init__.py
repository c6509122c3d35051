"""Tests of fulmarstile_mesh."""
