"""The command-line programs, each a thin layer over the library."""
