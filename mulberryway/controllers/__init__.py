"""Threads that keep the process's state in step with the fleet."""
