"""Measurements; ``python -m benchmarks`` runs them all."""
