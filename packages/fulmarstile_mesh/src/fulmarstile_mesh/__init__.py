"""Membership, overlay and dissemination cores."""
