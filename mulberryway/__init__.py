"""An HTTP router for model engines with disaggregated prefill and decode."""

__all__ = ["VERSION"]

VERSION = "0.1.0"
