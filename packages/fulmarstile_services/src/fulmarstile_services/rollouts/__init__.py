"""Progressive roll-outs: the orders, the evidence, and the decision to promote or to roll back.

Nothing here does I/O or reads a clock; `fulmarstile_daemon.services` supplies evidence and time.
"""
