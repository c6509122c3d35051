"""Sans-I/O logic of calls between services: routing, balancing, retries and membership.

Nothing here does I/O or reads a clock; `fulmarstile_daemon.services` drives this package.
"""
