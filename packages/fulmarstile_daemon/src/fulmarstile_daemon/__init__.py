"""The fulmarstiled binary."""
