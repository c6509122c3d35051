"""Test suite of fulmarstile."""

from hypothesis import settings

# The verdict must not depend on the machine or on chance.
settings.register_profile("fulmarstile", derandomize=True, deadline=None)
settings.load_profile("fulmarstile")
