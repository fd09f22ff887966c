"""Scheduling policy without I/O, threads or clock reads."""
