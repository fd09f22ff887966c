"""The operators' platform as it speaks: names, formats and calls.

Nothing here decides.  Names are decoded once, into types of the rest of the
program, and nothing outside this folder knows them.
"""
