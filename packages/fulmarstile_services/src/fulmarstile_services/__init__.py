"""Cores of calls between services whose upstreams announce themselves.

Nothing here does I/O or reads a clock; `fulmarstile_daemon.services` runs the cores.
"""
