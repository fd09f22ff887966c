"""A router for separate prefill and decode pools."""

__all__ = ["VERSION"]

VERSION = "0.1.0"
