"""Helpers of the review's scripts; standard library only."""
