"""A randomized soak: the real programs under faults from outside them.

``python -m soak --seed 7`` plays one seed; docs/design/soak.md tells more.
"""
