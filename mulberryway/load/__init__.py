"""A load generator for tests and measurements."""
