"""Fakes of what surrounds the decision cores and daemons: clock, links, log, store, upstream."""
