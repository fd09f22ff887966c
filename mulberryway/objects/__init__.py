"""Access to the platform's object API through abstract base classes."""
