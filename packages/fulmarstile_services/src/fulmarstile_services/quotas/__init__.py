"""Quotas of customers over all daemons together; see docs/design/quotas.md."""
