"""Access to the platform's object API and to the tables stored there."""
