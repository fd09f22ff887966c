"""The platform's object API, behind one abstract base class."""
