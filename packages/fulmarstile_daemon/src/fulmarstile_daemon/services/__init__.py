"""Trio runtime for calls between services whose upstreams announce themselves."""
