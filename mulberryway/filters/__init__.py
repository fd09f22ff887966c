"""The chain that each request passes through."""
