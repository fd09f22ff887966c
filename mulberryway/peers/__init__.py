"""How the processes of the system talk to one another."""
