"""Randomized soak test that runs the real programs under injected faults.

``python -m soak --seed 7`` runs one seed; see docs/design/soak.md.
"""
