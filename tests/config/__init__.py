"""Tests of fulmarstile_config."""
