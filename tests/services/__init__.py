"""Tests of the calls between services."""
