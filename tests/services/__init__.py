"""Tests of calls between services."""
