"""Builders of test data, one module for each concern."""
