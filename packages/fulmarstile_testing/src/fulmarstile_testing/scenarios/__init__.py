"""Scripted scenarios of failures in virtual time."""
