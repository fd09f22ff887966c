"""The platform's protocol: its names, message formats and calls.

This package makes no routing decisions.  It decodes the platform's names
into the types of the other packages, which do not depend on those names.
"""
