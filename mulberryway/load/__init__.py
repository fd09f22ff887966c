"""Callers for tests and measurements: what they send, and what they get."""
