"""The `fulmarstiled` daemon."""
