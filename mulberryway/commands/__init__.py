"""The programs; each is a thin layer over an object."""
