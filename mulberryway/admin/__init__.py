"""The administration API of a VM: edits, history and status."""
