"""Benchmarks; run them with ``python -m benchmarks``."""
