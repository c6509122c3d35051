"""Test suite of fulmarstile."""
