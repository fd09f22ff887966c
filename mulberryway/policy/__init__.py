"""Decisions under load, without I/O, threads or clock reads."""
