"""Seeded search for versions of the document that are in force too late (rule CONFIG)."""
