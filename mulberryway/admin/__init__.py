"""The administration API: edits, history, status; one on every VM."""
