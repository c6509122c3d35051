"""Calls between services whose upstreams announce themselves: trio shell around the cores."""
