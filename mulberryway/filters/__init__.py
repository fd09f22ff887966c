"""Filters that process each request, and the chain that runs them."""
