"""Model engines and plain services, behind abstract base classes."""
