"""Chores for developers; nothing here ships with the package."""
